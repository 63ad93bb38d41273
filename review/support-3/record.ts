/**
 * The record of a case: what was sent, answered and run, one line each.
 */
import { createWriteStream } from "node:fs";
import { finished } from "node:stream/promises";

/** Writes the record of a case. */
export interface Recorder {
    write(event: string, fields: object): void;
    close(): Promise<void>;
}

/** Opens the record; the lines begin with the seconds since then. */
export function createRecorder(path: string): Recorder {
    const stream = createWriteStream(path);
    const startedAt = performance.now();
    return {
        write(event, fields) {
            const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
            stream.write(`${seconds} ${event} ${JSON.stringify(fields)}\n`);
        },
        async close() {
            stream.end();
            await finished(stream);
        },
    };
}
