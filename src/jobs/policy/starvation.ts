/**
 * Whether a job stands still although its pool is half empty.
 *
 * Workload: after a disturbance, a backlog of late jobs drains for a minute or more. Each of them is to go on meanwhile, not only those whose
 * turn comes first.
 */
import type { Occurrence, StepProgress } from "../job-table/job.js";
import type { Attempt, Task } from "../job-table/task.js";
import type { Candidate } from "./candidate.js";

/** Time without a running attempt after which a filler of a job that can still be on time is the first to share the cores of a worker. */
const SHARING_MILLISECONDS = 500;

/** Time without a running attempt after which the job starves; the platform's documentation allows twice that. */
const STARVING_MILLISECONDS = 1_500;

/** Time after its order from which an attempt that no worker has confirmed no longer counts as running. */
const CONFIRMATION_MILLISECONDS = 1_000;

/** Share of a pool's cores that others than fillers use, below which no job may starve; the platform's documentation requires half. */
const STARVING_USE_SHARE = 0.55;

/** How badly a job needs one of its tasks to start, least first. */
export const STARVATIONS = [
    "none",
    /** A filler may start where those of jobs that need it more have taken the cores of all. */
    "waiting",
    /** A filler may start where it gets few cores, beside no tasks but other fillers. */
    "idle",
    /** The same with still fewer cores: a late job gains more by going on than by speed. */
    "late",
    /** A filler may also start slowly where it is expected to disturb serving tasks. */
    "starving",
] as const;

/** How badly a job needs one of its tasks to start. */
export type Starvation = typeof STARVATIONS[number];

/** What the assessment of a task's job depends on besides the task. */
export interface StarvationConditions {
    /** Whether others than fillers use less than about half of the pool; no job starves elsewhere. */
    readonly isPoolHalfEmpty: boolean;
    /** Whether the job cannot be on time any more. */
    readonly isLate: () => boolean;
}

/** Assesses how badly a filler's job needs it to start. */
export function assessStarvation(
    task: Task,
    { isLate, isPoolHalfEmpty }: StarvationConditions,
    now: number,
): Starvation {
    if (!task.step.isFiller || !isPoolHalfEmpty || !isIdle(task.occurrence, now)) {
        return "none";
    }
    if (isLongIdle(task, now)) {
        return "starving";
    }
    if (isLate()) {
        return "late";
    }
    return now - idleSince(task) >= SHARING_MILLISECONDS ? "idle" : "waiting";
}

/** Whether a task of a job of which nothing runs has been ready for so long that the job starves. */
export function isLongIdle(task: Task, now: number): boolean {
    return now - idleSince(task) >= STARVING_MILLISECONDS;
}

/** Whether no attempt of an occurrence runs. One whose worker has not confirmed it for some time counts as not running. */
export function isIdle({ steps }: Occurrence, now: number): boolean {
    return !steps.some(progress => hasLikelyAttempts(progress, now));
}

/** Since when a task has been ready while nothing of its occurrence has run. */
export function idleSince({ occurrence: { lastEndedAtMilliseconds }, readyAtMilliseconds }: Task): number {
    return Math.max(readyAtMilliseconds, lastEndedAtMilliseconds ?? -Infinity);
}

/**
 * Whether about half of a pool's cores are free. Those that fillers use count as free, as fillers reserve none. What tasks hold beyond the cores
 * of a worker that has shrunk takes nothing from other workers.
 */
export function isHalfEmpty(pool: Iterable<Candidate>): boolean {
    let capacity = 0;
    let used = 0;
    for (const { load, worker } of pool) {
        capacity += worker.capacity.millicores;
        used += Math.min(load.used.millicores, worker.capacity.millicores);
    }
    return used < capacity * STARVING_USE_SHARE;
}

function hasLikelyAttempts({ openTasks }: StepProgress, now: number): boolean {
    for (const { attempts } of openTasks.values()) {
        if (attempts.some(attempt => isLikelyRunning(attempt, now))) {
            return true;
        }
    }
    return false;
}

function isLikelyRunning({ orderedAtMilliseconds, runningSinceMilliseconds }: Attempt, now: number): boolean {
    return runningSinceMilliseconds !== undefined || now - orderedAtMilliseconds < CONFIRMATION_MILLISECONDS;
}
