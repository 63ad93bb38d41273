/**
 * What a worker writes down of what it ran: the checkers' source, one JSON line per record.
 */
import { appendFileSync, closeSync, openSync } from "node:fs";
import * as z from "zod";

const common = {
    worker: z.string(),
    /** Milliseconds since the Unix epoch. */
    at: z.number(),
};

const attempt = { taskId: z.string(), attempt: z.int() };

const request = {
    ...attempt,
    service: z.string(),
    requestId: z.string(),
    /** Value of the query parameter `call`, by which callers know their requests. */
    call: z.string(),
    /** Numbers the runs of requests on one worker. */
    run: z.int(),
};

/** One line of a worker's log. */
export const WorkerRecord = z.discriminatedUnion("event", [
    z.object({
        event: z.literal("worker"),
        ...common,
        incarnation: z.string(),
        slots: z.int(),
        cores: z.number(),
        memoryBytes: z.number(),
        accelerators: z.int(),
        connections: z.int(),
    }),
    z.object({
        event: z.literal("attempt-started"),
        ...common,
        ...attempt,
        rule: z.string(),
        kind: z.enum(["service", "batch"]),
        cell: z.string(),
        epoch: z.int(),
        owner: z.string(),
        cores: z.number(),
        memoryBytes: z.number(),
        accelerators: z.int(),
        /** Share of the work that the checkpoint brought, 0 to 1. */
        resumedProgress: z.number(),
    }),
    z.object({
        event: z.literal("attempt-ended"),
        ...common,
        ...attempt,
        rule: z.string(),
        state: z.enum(["finished", "failed", "stopped", "lapsed", "lost"]),
        progress: z.number(),
        checkpointed: z.boolean(),
    }),
    /** The cell's owner has taken note of an ended attempt; the worker forgets it. */
    z.object({ event: z.literal("attempt-acknowledged"), ...common, ...attempt }),
    z.object({
        event: z.literal("request-started"),
        ...common,
        ...request,
        method: z.string(),
        path: z.string(),
        idempotencyKey: z.string(),
        gateway: z.string(),
        deadline: z.number(),
    }),
    z.object({
        event: z.literal("request-ended"),
        ...common,
        ...request,
        outcome: z.enum(["answered", "deadline", "truncated", "dropped", "crossed", "silent", "lost"]),
    }),
    z.object({
        event: z.literal("request-refused"),
        ...common,
        service: z.string(),
        call: z.string(),
        requestId: z.string(),
        reason: z.string(),
    }),
    /** The stand-in's own process stood still; what reached it meanwhile is dated too late. */
    z.object({ event: z.literal("stalled"), ...common, milliseconds: z.number() }),
    z.object({ event: z.literal("connection-refused"), ...common, open: z.int() }),
]);
export type WorkerRecord = z.infer<typeof WorkerRecord>;

/** Takes records. */
export type Recorder = (record: WorkerRecord) => void;

/** A log file that records are appended to. */
export interface RecordFile {
    readonly record: Recorder;
    close(): void;
}

const FLUSH_AT_LINES = 64;
const FLUSH_EVERY_MILLISECONDS = 50;

/** Opens a log file; records reach it within 50 ms, or when it is closed. */
export function openRecordFile(path: string): RecordFile {
    const file = openSync(path, "a");
    let lines: string[] = [];
    const flush = () => {
        if (lines.length > 0) {
            appendFileSync(file, lines.join(""));
            lines = [];
        }
    };
    const timer = setInterval(flush, FLUSH_EVERY_MILLISECONDS);
    return {
        record(entry) {
            lines.push(`${JSON.stringify(entry)}\n`);
            if (lines.length >= FLUSH_AT_LINES) {
                flush();
            }
        },
        close() {
            clearInterval(timer);
            flush();
            closeSync(file);
        },
    };
}
