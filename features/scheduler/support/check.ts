/**
 * Evaluates the records of workers, independently of the scheduler's code.
 */
import type { WorkerRecord } from "../../../stand-ins/worker/index.js";

/** An attempt that has started and not ended. */
export interface RunningRecord {
    readonly taskId: string;
    readonly attempt: number;
    readonly rule: string;
    readonly worker: string;
}

/** Lists the attempts that still run at the end of the records. */
export function listRunning(records: readonly WorkerRecord[]): RunningRecord[] {
    const running = new Map<string, RunningRecord>();
    for (const record of records) {
        if (record.event === "attempt-started") {
            running.set(nameRun(record), record);
        }
        if (record.event === "attempt-ended") {
            running.delete(nameRun(record));
        }
    }
    return [...running.values()];
}

/** Finds tasks of which two attempts ran at the same time. */
export function findOverlaps(records: readonly WorkerRecord[]): string[] {
    const running = new Map<string, string>();
    const overlaps: string[] = [];
    for (const record of records) {
        if (record.event === "attempt-started") {
            const other = running.get(record.taskId);
            if (other !== undefined) {
                overlaps.push(`${nameRun(record)} started while ${other} ran`);
            }
            running.set(record.taskId, nameRun(record));
        }
        if (record.event === "attempt-ended" && running.get(record.taskId) === nameRun(record)) {
            running.delete(record.taskId);
        }
    }
    return overlaps;
}

function nameRun(record: { readonly taskId: string; readonly attempt: number; readonly worker: string; }): string {
    return `${record.taskId}#${record.attempt} on ${record.worker}`;
}
