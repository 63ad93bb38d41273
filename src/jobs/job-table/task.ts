/**
 * Types of tasks and their attempts, and the numbering of attempts.
 */
import type { JobStep } from "../model/job.js";
import type { TaskKey } from "../model/task-key.js";
import type { JobEntry, Occurrence } from "./job.js";

/** Phase of an attempt as recorded by its cell. */
export type AttemptPhase =
    /** The start order was sent, or its answer was lost. */
    | "ordered"
    | "running"
    /** A stop order was sent to the worker. */
    | "stopping";

/** An attempt that may be running on a worker. It uses capacity there until its end is confirmed. */
export interface Attempt {
    readonly task: Task;
    readonly number: number;
    readonly worker: string;
    readonly orderedAtMilliseconds: number;
    /** When the latest order to start it was sent; absent if this owner has sent none. */
    sentAtMilliseconds: number | undefined;
    /** When the latest of the orders to start it that have no answer was sent; absent if all have one. */
    unansweredStartAtMilliseconds: number | undefined;
    phase: AttemptPhase;
    /** The worker's clock when it confirmed the start. Reports with an earlier clock do not cover this attempt. */
    confirmedClockMilliseconds: number | undefined;
    /** Since when reports that have to list the attempt while it runs have left it out; absent if the latest did not. */
    unlistedSinceMilliseconds: number | undefined;
    /** When the worker first confirmed or reported the attempt. */
    runningSinceMilliseconds: number | undefined;
    checkpoint: string;
    percent: number;
    /** Percentage already done by earlier attempts, from the first report; -1 before it. */
    percentAtStart: number;
    /** When `percent` last increased. */
    progressedAtMilliseconds: number;
    /** Latest value reported by the worker, see `RunningAttempt.measurement`. */
    measurement: number;
    /** Percentage of full speed in the latest pace order. */
    pacePercent: number;
    /** Since when a serving task has been at or above its latency objective; absent while it is below. */
    overObjectiveSinceMilliseconds: number | undefined;
    /** When the pace was last changed. */
    pacedAtMilliseconds: number;
}

/** Phase of a task. */
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
    /** Attempts whose end is not confirmed yet; more than one only if the step allows copies. */
    readonly attempts: Attempt[];
    /** Highest attempt number used so far. */
    lastAttempt: number;
    /** Numbers of the attempts that failed. */
    readonly failedAttempts: number[];
    /** Numbers of the attempts suspected of a crash of their worker. */
    readonly crashedAttempts: number[];
    /** Numbers of the attempts that were started shortly before many workers crashed together, theirs among them. */
    readonly doubtedAttempts: number[];
    /** Latest checkpoint; empty if there is none. */
    checkpoint: string;
    readyAtMilliseconds: number;
    /** Whether a worker has reported an attempt of a former owner as running, so that no other worker runs one. */
    wasSeenRunning: boolean;
    /** When an attempt of the task was last stopped for more urgent work, as far as this owner knows. */
    gaveWayAtMilliseconds: number | undefined;
    /** Workers on which an attempt failed or was lost, latest last. */
    readonly avoidedWorkers: string[];
}

/** Attempt numbers reserved for each epoch, so that a new owner never reuses a number of its predecessor. */
export const ATTEMPTS_PER_EPOCH = 1_000;

/** Returns the number of a task's next attempt in an epoch. */
export function nextAttemptNumber(task: Task, epoch: number): number {
    return Math.max(task.lastAttempt, (epoch - 1) * ATTEMPTS_PER_EPOCH) + 1;
}
