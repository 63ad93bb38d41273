/**
 * Second copies of tasks whose first one is in trouble, where the caller allows it.
 *
 * The load that this answers: a short job waits for its slowest task; on a slow or silent worker that is all there is to it.
 */
import type { Attempt } from "../job-table/task.js";
import type { Durations } from "./durations.js";
import { slownessOf } from "./health.js";

/** A copy is worth its cores where the first one is expected to take this many times as long as its like. */
const COPY_FACTOR = 2;

/** Whether another copy of the attempt's task should be started. */
export function needsCopy(attempt: Attempt, isWorkerDoubtful: boolean, durations: Durations, now: number): boolean {
    const { task } = attempt;
    if (
        !task.step.allowsCopies || task.step.isGang || task.attempts.length !== 1 || task.phase === "done"
        || attempt.phase === "stopping"
    ) {
        return false;
    }
    return isWorkerDoubtful || (slownessOf(attempt, durations, now) ?? 0) >= COPY_FACTOR;
}
