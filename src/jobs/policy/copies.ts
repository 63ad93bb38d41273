/**
 * Second copies of tasks whose first attempt is slow or on an unreliable worker, if the caller allows copies.
 *
 * Workload: a short job ends with its slowest task, so one slow or silent worker delays the whole job.
 */
import type { Attempt } from "../job-table/task.js";
import { isSuspect } from "./crashes.js";
import type { Durations } from "./durations.js";
import { slownessOf } from "./health.js";

/** A copy is started if the first attempt is expected to take this many times the usual duration. */
const COPY_FACTOR = 2;

/** Whether another copy of the attempt's task should be started. */
export function needsCopy(attempt: Attempt, isWorkerDoubtful: boolean, durations: Durations, now: number): boolean {
    const { task } = attempt;
    if (
        !task.step.allowsCopies || task.step.isGang || task.attempts.length !== 1 || task.phase === "done"
        || attempt.phase === "stopping" || isSuspect(task)
    ) {
        return false;
    }
    return isWorkerDoubtful || (slownessOf(attempt, durations, now) ?? 0) >= COPY_FACTOR;
}
