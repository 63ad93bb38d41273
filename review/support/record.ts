/**
 * Record of a case: what was sent, answered and run.
 */
import { closeSync, openSync, writeSync } from "node:fs";

/** Writes lines with the milliseconds since the start of the case. */
export interface Recorder {
    write(event: string, fields?: object): void;
    close(): void;
}

/** Opens the record anew. */
export function openRecord(file: string): Recorder {
    const descriptor = openSync(file, "w");
    const startedAt = performance.now();
    return {
        write(event, fields = {}) {
            const milliseconds = String(Math.round(performance.now() - startedAt)).padStart(6);
            writeSync(descriptor, `${milliseconds} ${event} ${JSON.stringify(fields)}\n`);
        },
        close: () => closeSync(descriptor),
    };
}
