/**
 * Detection and quarantine of workers whose attempts fail, stall or are slow.
 *
 * Workload: a few workers fail every task within milliseconds or stall, and yet report themselves as healthy. A broken job
 * fails on every worker, so the failures of a single job are no evidence against a worker.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";
import type { Durations } from "./durations.js";

/** Health of a worker. */
export interface WorkerHealth {
    /** Jobs whose attempts failed on the worker since its last successful attempt, and when. */
    readonly failedJobs: Map<string, number>;
    /** No new attempts before this time. */
    quarantinedUntilMilliseconds: number;
    /** Number of quarantines since the last successful attempt; each one is longer. */
    quarantines: number;
}

/** Different jobs that must fail in a row; at a failure rate of 3 %, two by chance are one in a thousand. */
const FAILED_JOBS_BEFORE_QUARANTINE = 2;

/** Failures further apart are not in a row: lasting tasks never end successfully, however long they have worked. */
const FAILURE_MEMORY_MILLISECONDS = 10_000;

/** Length of the first quarantine; each further one is twice as long, up to the longest. A longer pause starts anew. */
const QUARANTINE_MILLISECONDS = 1_500;
const LONGEST_QUARANTINE_MILLISECONDS = 12_000;

/** Shortest time without progress after which a task is stalled; a task of some seconds progresses by some percent in it. */
const STALLED_AFTER_MILLISECONDS = 2_000;

/** Percents that a stalled task is behind what its image and its share of the cores lead to expect; estimates are often off by half. */
const STALLED_PERCENTS = 3;

/** Share of a worker's cores that fillers are expected to get at least, as other tasks rarely use all that they have reserved. */
const LEAST_FREE_SHARE = 0.05;

/** A task that is expected to take this many times the usual duration indicates a slow worker. */
const SLOW_FACTOR = 2.5;

/** Time before which a task's progress is too small for an estimate. */
const SLOWNESS_WARM_UP_MILLISECONDS = 600;

/** Creates the health of a new worker. */
export function createWorkerHealth(): WorkerHealth {
    return { failedJobs: new Map(), quarantinedUntilMilliseconds: 0, quarantines: 0 };
}

/** Records a successful attempt. */
export function recordSuccess(health: WorkerHealth): void {
    health.failedJobs.clear();
    health.quarantines = 0;
}

/** Records a failed attempt; returns true if the worker is quarantined because of it. */
export function recordFailedJob(health: WorkerHealth, job: string, now: number): boolean {
    for (const [failed, at] of health.failedJobs) {
        if (now - at > FAILURE_MEMORY_MILLISECONDS) {
            health.failedJobs.delete(failed);
        }
    }
    health.failedJobs.set(job, now);
    return health.failedJobs.size >= FAILED_JOBS_BEFORE_QUARANTINE && quarantine(health, now);
}

/** Quarantines a worker; returns false if it is in quarantine already. */
export function quarantine(health: WorkerHealth, now: number): boolean {
    if (now < health.quarantinedUntilMilliseconds) {
        return false;
    }
    if (now - health.quarantinedUntilMilliseconds > LONGEST_QUARANTINE_MILLISECONDS) {
        health.quarantines = 0;
    }
    const length = Math.min(QUARANTINE_MILLISECONDS * 2 ** health.quarantines, LONGEST_QUARANTINE_MILLISECONDS);
    health.quarantines += 1;
    health.quarantinedUntilMilliseconds = now + length;
    return true;
}

/** What the expected progress of an attempt depends on besides its worker's load. */
export interface ProgressConditions {
    readonly capacityMillicores: number;
    readonly durations: Durations;
}

/** Lists the stalled attempts on a worker. */
export function listStalledAttempts(
    load: Readonly<WorkerLoad>,
    { capacityMillicores, durations }: ProgressConditions,
    now: number,
): Attempt[] {
    const fillerShare = fillerShareOf(load, capacityMillicores);
    return load.attempts.filter(attempt => {
        const { pacePercent, pacedAtMilliseconds, percent, phase, progressedAtMilliseconds, task: { step } } = attempt;
        if (phase !== "running" || pacePercent < 100 || percent >= 100) {
            return false;
        }
        const percentMilliseconds = durations.estimate(step) / 100 / (step.isFiller ? fillerShare : 1);
        const limit = Math.max(STALLED_AFTER_MILLISECONDS, percentMilliseconds * STALLED_PERCENTS);
        return now - Math.max(progressedAtMilliseconds, pacedAtMilliseconds) >= limit;
    });
}

/** Share of the cores they ask for that the fillers of a worker get, if the other tasks use all that they have reserved. */
function fillerShareOf({ fillerMillicores, used }: Readonly<WorkerLoad>, capacityMillicores: number): number {
    const free = Math.max(capacityMillicores - used.millicores, capacityMillicores * LEAST_FREE_SHARE);
    return Math.min(1, free / Math.max(1, fillerMillicores));
}

/** Expected duration of an attempt as a multiple of the usual one; absent while it cannot be estimated. */
export function slownessOf(attempt: Attempt, durations: Durations, now: number): number | undefined {
    const { pacePercent, percent, percentAtStart, runningSinceMilliseconds, task: { step } } = attempt;
    const elapsed = now - (runningSinceMilliseconds ?? now);
    if (step.isLasting || pacePercent < 100 || elapsed < SLOWNESS_WARM_UP_MILLISECONDS || attempt.phase !== "running") {
        return undefined;
    }
    const progress = Math.max(0.5, percent - percentAtStart) / 100;
    return elapsed / progress / durations.estimate(step);
}

/** Whether a worker is slow: at least two, and the majority, of the tasks with an estimate are slow. */
export function isSlow(load: Readonly<WorkerLoad>, durations: Durations, now: number): boolean {
    const slownesses = load.attempts.filter(({ task }) => !task.step.isFiller)
        .flatMap(attempt => slownessOf(attempt, durations, now) ?? []);
    const slow = slownesses.filter(slowness => slowness >= SLOW_FACTOR);
    return slow.length >= 2 && slow.length > slownesses.length / 2;
}
