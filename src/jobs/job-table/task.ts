/**
 * Tasks of a job that is under way, and their attempts.
 */
import type { JobStep } from "../model/job.js";
import type { TaskKey } from "../model/task-key.js";
import type { JobEntry, Occurrence } from "./job.js";

/** Where an attempt stands, as far as its cell knows. */
export type AttemptPhase =
    /** The order is on its way, or its answer was lost. */
    | "ordered"
    | "running"
    /** The worker has been told to stop it. */
    | "stopping";

/** An attempt that may be running on a worker; it takes up room there until its end is known. */
export interface Attempt {
    readonly task: Task;
    readonly number: number;
    readonly worker: string;
    readonly orderedAtMilliseconds: number;
    phase: AttemptPhase;
    /** The worker's clock when it confirmed the start; reports from before say nothing about this attempt. */
    confirmedClockMilliseconds: number | undefined;
    /** When the worker was first seen to run it. */
    runningSinceMilliseconds: number | undefined;
    checkpoint: string;
    percent: number;
    /** Share of the work that an earlier attempt had done, as first seen. */
    percentAtStart: number;
    /** When the percentage last rose. */
    progressedAtMilliseconds: number;
    /** Latest figure of the worker, see `RunningAttempt.measure`. */
    measurement: number;
    /** Share of its speed that it was last told to work at. */
    pacePercent: number;
    /** Since when a task that serves has been over its latency objective; absent while it is below. */
    overObjectiveSinceMilliseconds: number | undefined;
    /** When it was last told another pace. */
    pacedAtMilliseconds: number;
}

/** Where a task stands. */
export type TaskPhase = "waiting" | "ready" | "active" | "done";

/** A task of one occurrence of a job. */
export interface Task {
    readonly key: TaskKey;
    readonly entry: JobEntry;
    readonly occurrence: Occurrence;
    readonly step: JobStep;
    readonly stepIndex: number;
    readonly index: number;
    phase: TaskPhase;
    /** Attempts whose end is not known yet; more than one only where the step allows copies. */
    readonly attempts: Attempt[];
    /** Highest attempt number that is known to have been used. */
    lastAttempt: number;
    /** Attempts that ended as failed. */
    readonly failedAttempts: number[];
    /** Newest checkpoint; empty without one. */
    checkpoint: string;
    readyAtMilliseconds: number;
    /** Workers on which an attempt failed or got lost, newest last. */
    readonly avoidedWorkers: string[];
}

/** How many attempt numbers belong to one epoch, so that a new owner never repeats one of its predecessor. */
export const ATTEMPTS_PER_EPOCH = 1_000;

/** The number for a task's next attempt in an epoch. */
export function nextAttemptNumber(task: Task, epoch: number): number {
    return Math.max(task.lastAttempt, (epoch - 1) * ATTEMPTS_PER_EPOCH) + 1;
}
