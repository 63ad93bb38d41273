/**
 * Workers that fail what they start, stand still or are slow, and what to do about their tasks.
 *
 * The load that this answers: a few workers fail every task within milliseconds, or let them stand still, and say that they
 * are well. A job that never works fails on every worker, so that one job's failures say nothing about a worker.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";
import type { Durations } from "./durations.js";

/** Signs of a worker's health. */
export interface WorkerHealth {
    /** Jobs whose attempts failed here since the last attempt that was done. */
    readonly failedJobs: Set<string>;
    /** No new tasks before this time. */
    quarantinedUntilMilliseconds: number;
    /** Quarantines without an attempt that was done in between; each one is longer. */
    quarantines: number;
}

/** Different jobs that have to fail in a row: with three failures in a hundred, twice by chance is one in a thousand. */
const FAILED_JOBS_BEFORE_QUARANTINE = 2;

/** First quarantine; each further one is twice as long. */
const QUARANTINE_MILLISECONDS = 1_500;
const LONGEST_QUARANTINE_MILLISECONDS = 12_000;

/** Without any progress for this long a task stands still; one of a slow worker has moved by some percent. */
const STALLED_AFTER_MILLISECONDS = 2_000;

/** A task that is expected to take this many times as long as its like is on a slow worker. */
const SLOW_FACTOR = 2.5;

/** Before this time a task's progress says little. */
const SLOWNESS_WARM_UP_MILLISECONDS = 600;

/** Creates the signs of a worker that nothing is known of. */
export function createWorkerHealth(): WorkerHealth {
    return { failedJobs: new Set(), quarantinedUntilMilliseconds: 0, quarantines: 0 };
}

/** An attempt was done. */
export function recordSuccess(health: WorkerHealth): void {
    health.failedJobs.clear();
    health.quarantines = 0;
}

/** An attempt failed; true where the worker gets no new tasks for a while because of it. */
export function recordFailedJob(health: WorkerHealth, job: string, now: number): boolean {
    health.failedJobs.add(job);
    return health.failedJobs.size >= FAILED_JOBS_BEFORE_QUARANTINE && quarantine(health, now);
}

/** Keeps new tasks away from a worker for a while. */
export function quarantine(health: WorkerHealth, now: number): boolean {
    if (now < health.quarantinedUntilMilliseconds) {
        return false;
    }
    const length = Math.min(QUARANTINE_MILLISECONDS * 2 ** health.quarantines, LONGEST_QUARANTINE_MILLISECONDS);
    health.quarantines += 1;
    health.quarantinedUntilMilliseconds = now + length;
    return true;
}

/** Attempts on a worker that stand still. */
export function listStalledAttempts(load: Readonly<WorkerLoad>, now: number): Attempt[] {
    return load.attempts.filter(attempt =>
        attempt.phase === "running" && attempt.pacePercent === 100 && attempt.percent < 100
        && now - Math.max(attempt.progressedAtMilliseconds, attempt.pacedAtMilliseconds) >= STALLED_AFTER_MILLISECONDS
    );
}

/** How many times as long as expected an attempt is going to take; absent before that can be told. */
export function slownessOf(attempt: Attempt, durations: Durations, now: number): number | undefined {
    const { pacePercent, percent, percentAtStart, runningSinceMilliseconds, task: { step } } = attempt;
    const elapsed = now - (runningSinceMilliseconds ?? now);
    if (step.isLasting || pacePercent < 100 || elapsed < SLOWNESS_WARM_UP_MILLISECONDS || attempt.phase !== "running") {
        return undefined;
    }
    const progress = Math.max(0.5, percent - percentAtStart) / 100;
    return elapsed / progress / durations.estimate(step);
}

/** Whether a worker is slow: most of the tasks that tell are. */
export function isSlow(load: Readonly<WorkerLoad>, durations: Durations, now: number): boolean {
    const slownesses = load.attempts.filter(({ task }) => !task.step.isFiller)
        .flatMap(attempt => slownessOf(attempt, durations, now) ?? []);
    const slow = slownesses.filter(slowness => slowness >= SLOW_FACTOR);
    return slow.length >= 2 && slow.length > slownesses.length / 2;
}
