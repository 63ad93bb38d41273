/**
 * Decisions and changes of belief, one JSON line each on standard output: bounded, and never waiting for a reader.
 */
import { write as writeToDescriptor } from "node:fs";
import type { Clock } from "./time.js";

/** Fields of an event beside time, event and instance. */
export type EventFields = Record<string, unknown>;

/** How much an event matters when not all can be written. */
export type EventWeight =
    /** Start, stop, ownership, dependencies, failures. */
    | "vital"
    /** One for each decision on a request. */
    | "routine";

/** Writes events. */
export interface EventLog {
    /** Writes an event, or counts it as left out where too many of its name have been written this second. */
    write(event: string, fields: EventFields, weight?: EventWeight): void;
    /** Writes what is waiting; resolves when the reader has it, or after the limit. */
    flush(limitMilliseconds: number): Promise<void>;
}

/** Options of an event log. */
export interface EventLogOptions {
    readonly clock: Clock;
    /** Fields of every line. */
    readonly fixedFields: EventFields;
    /** Where lines go; standard output by default. */
    readonly sink?: EventSink;
    /** Lines a second of one event; more are counted and left out. */
    readonly linesPerSecond?: number;
    /** Characters that may wait for a slow reader; more are counted and left out. */
    readonly bufferedCharacters?: number;
}

/** Takes text; calls back when it has been written. */
export type EventSink = (text: string, done: (error: Error | null) => void) => void;

/** Routine lines of one event a second: all starts of a small deployment at its peak, and 20 KB/s. */
const DEFAULT_LINES_PER_SECOND = 400;

/** What waits for a slow reader: some seconds of lines. */
const DEFAULT_BUFFERED_CHARACTERS = 262_144;

/** Lines of some milliseconds go out together: one write costs more than many lines. */
const GATHER_MILLISECONDS = 100;

const STANDARD_OUTPUT = 1;

/** Creates an event log. */
export function createEventLog(options: EventLogOptions): EventLog {
    const { clock, fixedFields, sink = writeToStandardOutput } = options;
    const linesPerSecond = options.linesPerSecond ?? DEFAULT_LINES_PER_SECOND;
    const bufferedCharacters = options.bufferedCharacters ?? DEFAULT_BUFFERED_CHARACTERS;
    let waiting: string[] = [];
    let waitingCharacters = 0;
    let isWriting = false;
    let timer: NodeJS.Timeout | undefined;
    let second = 0;
    let written = new Map<string, number>();
    const leftOut = new Map<string, number>();
    const idle: (() => void)[] = [];

    const append = (event: string, fields: EventFields, now: number): void => {
        const line = `${JSON.stringify({ time: new Date(now).toISOString(), event, ...fixedFields, ...fields })}\n`;
        waiting.push(line);
        waitingCharacters += line.length;
    };

    const appendLeftOut = (now: number): void => {
        for (const [event, lines] of leftOut) {
            append("lines-left-out", { of: event, lines }, now);
        }
        leftOut.clear();
    };

    const send = (): void => {
        timer = undefined;
        if (isWriting || waiting.length === 0) {
            return;
        }
        appendLeftOut(clock());
        const text = waiting.join("");
        waiting = [];
        waitingCharacters = 0;
        isWriting = true;
        sink(text, () => {
            // Whoever reads the lines is gone where this fails; the process goes on without.
            isWriting = false;
            if (waiting.length > 0) {
                schedule();
            }
            else {
                idle.splice(0).forEach(resolve => resolve());
            }
        });
    };

    const schedule = (): void => {
        timer ??= setTimeout(send, GATHER_MILLISECONDS);
    };

    return {
        write(event, fields, weight = "routine") {
            const now = clock();
            const current = Math.floor(now / 1_000);
            if (current !== second) {
                second = current;
                written = new Map();
            }
            const count = (written.get(event) ?? 0) + 1;
            written.set(event, count);
            const isFull = waitingCharacters >= bufferedCharacters * (weight === "vital" ? 2 : 1);
            if (isFull || weight === "routine" && count > linesPerSecond) {
                leftOut.set(event, (leftOut.get(event) ?? 0) + 1);
                return;
            }
            append(event, fields, now);
            schedule();
        },
        async flush(limitMilliseconds) {
            if (timer !== undefined) {
                clearTimeout(timer);
            }
            send();
            if (isWriting) {
                await new Promise<void>(resolve => {
                    const limit = setTimeout(resolve, limitMilliseconds);
                    idle.push(() => {
                        clearTimeout(limit);
                        resolve();
                    });
                });
            }
        },
    };
}

/** Runs on a thread of its own, so that a full pipe holds up nothing else. */
function writeToStandardOutput(text: string, done: (error: Error | null) => void): void {
    const buffer = Buffer.from(text);
    const writeRest = (offset: number): void => {
        writeToDescriptor(STANDARD_OUTPUT, buffer, offset, buffer.length - offset, null, (error, bytes) => {
            if (error === null && offset + bytes < buffer.length) {
                writeRest(offset + bytes);
                return;
            }
            if (error?.code === "EAGAIN") {
                setTimeout(() => writeRest(offset), GATHER_MILLISECONDS);
                return;
            }
            done(error);
        });
    };
    writeRest(0);
}
