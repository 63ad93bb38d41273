/**
 * Which tasks are suspected when a worker crashes, and when a task is given up.
 *
 * Workload: some tasks crash each worker that starts them, within milliseconds. A crash also ends a dozen other tasks, which are to
 * run to their end elsewhere. The tasks of a step start together, so that they crash many workers at once, as a loss of power does.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import type { Attempt, Task } from "../job-table/task.js";

/** A task is given up when this many workers have crashed under it, if one of them points to the task. */
const CRASHES_BEFORE_GIVING_UP = 3;

/** A task is given up when this many workers have crashed under it, whatever each crash points to. */
const DOUBTED_CRASHES_BEFORE_GIVING_UP = 5;

/** A task is suspected after this many crashes of many workers; a single one may well have another cause. */
const DOUBTED_CRASHES_BEFORE_SUSPICION = 2;

/** Attempts that were ordered longer before a crash are not suspected. */
const SUSPICION_MILLISECONDS = 1_000;

/** Time after the order to a suspect in which its worker gets no other; it covers the start and the detection of a crash. */
const TRIAL_MILLISECONDS = 300;

/** Time since a worker's last order before a suspect is started there, so that an earlier task's crash is not put down to it. */
const QUIET_MILLISECONDS = 200;

/** This many workers that crash within the time may have a common cause other than a task. */
const MANY_CRASHES = 4;
const SIMULTANEOUS_MILLISECONDS = 150;

/** Share of the workers that crash together without a start shortly before, from which on they have a common cause. */
const COMMON_CAUSE_SHARE = 0.25;

/** A worker's crash, as far as it matters to those that come with it. */
export interface CrashSign {
    readonly atMilliseconds: number;
    /** Whether an attempt was ordered so shortly before that it may have crashed the worker at its start. */
    readonly followsStart: boolean;
}

/** What a crash says about the tasks that may have caused it. */
export type CrashEvidence =
    /** It points to them. */
    | "certain"
    /** Many workers have crashed together, which these tasks or a common cause may have brought about. */
    | "doubtful";

/** Whether a task starts by itself, because workers have crashed under it. */
export function isSuspect({ crashedAttempts, doubtedAttempts }: Task): boolean {
    return crashedAttempts.length > 0 || doubtedAttempts.length >= DOUBTED_CRASHES_BEFORE_SUSPICION;
}

/** Whether enough workers have crashed under a task to give it up. */
export function isDeadly({ crashedAttempts, doubtedAttempts }: Task): boolean {
    const crashes = crashedAttempts.length + doubtedAttempts.length;
    return crashes >= CRASHES_BEFORE_GIVING_UP && crashedAttempts.length > 0
        || crashes >= DOUBTED_CRASHES_BEFORE_GIVING_UP;
}

/** Whether an attempt was ordered so shortly before a crash that it may have crashed the worker at its start. */
export function mayHaveCrashedAtStart({ orderedAtMilliseconds }: Attempt, crashedAtMilliseconds: number): boolean {
    return crashedAtMilliseconds - orderedAtMilliseconds <= TRIAL_MILLISECONDS;
}

/** Whether an attempt of a suspect was ordered so shortly before a crash that it had the starts of the worker to itself. */
export function isOnTrial(attempt: Attempt, crashedAtMilliseconds: number): boolean {
    return isSuspect(attempt.task) && mayHaveCrashedAtStart(attempt, crashedAtMilliseconds);
}

/**
 * Lists the attempts that may have caused a crash, of those ordered shortly before: only those on trial if there are any; else the suspects,
 * if nothing was started after their trial; else all.
 */
export function listSuspects(attempts: readonly Attempt[], crashedAtMilliseconds: number): Attempt[] {
    const recent = attempts.filter(({ orderedAtMilliseconds }) =>
        crashedAtMilliseconds - orderedAtMilliseconds <= SUSPICION_MILLISECONDS
    );
    const onTrial = recent.filter(attempt => isOnTrial(attempt, crashedAtMilliseconds));
    if (onTrial.length > 0) {
        return onTrial;
    }
    const known = recent.filter(({ task }) => isSuspect(task));
    const followsStart = recent.some(attempt => mayHaveCrashedAtStart(attempt, crashedAtMilliseconds));
    return known.length > 0 && !followsStart ? known : recent;
}

/**
 * Judges a crash by those that came with it. Where many workers crash together, only a trial shows which task is to blame, and not even that
 * where workers crash on which nothing was started: these have a common cause.
 */
export function judgeCrash(crash: CrashSign, known: readonly CrashSign[], wasTrial: boolean): CrashEvidence {
    const simultaneous = known.filter(({ atMilliseconds }) =>
        Math.abs(atMilliseconds - crash.atMilliseconds) <= SIMULTANEOUS_MILLISECONDS
    );
    if (simultaneous.length < MANY_CRASHES) {
        return "certain";
    }
    const unexplained = simultaneous.filter(({ followsStart }) => !followsStart).length;
    return wasTrial && unexplained < simultaneous.length * COMMON_CAUSE_SHARE ? "certain" : "doubtful";
}

/** What keeps a task from a worker so that the next crash shows which task causes it. */
export type CrashPrecaution =
    /** A suspect of a crash was ordered there a moment ago. */
    | "beside-suspect"
    /** The task is a suspect itself, and another one was ordered there a moment ago. */
    | "suspect-needs-quiet";

/** Whether a worker may get a start now, see `findCrashPrecaution`. */
export function mayStartBeside(task: Task, load: Readonly<WorkerLoad>, now: number): boolean {
    return findCrashPrecaution(task, load, now) === undefined;
}

/**
 * Finds what keeps a task from a worker for now; absent if nothing does. Suspects start by themselves, so that the next crash shows which
 * task causes it. The members of a gang start together, and are given up together.
 */
export function findCrashPrecaution(
    task: Task,
    load: Readonly<WorkerLoad>,
    now: number,
): CrashPrecaution | undefined {
    const isApart = (attempts: readonly Attempt[], milliseconds: number): boolean =>
        attempts.every(({ orderedAtMilliseconds, task: other }) =>
            now - orderedAtMilliseconds >= milliseconds || isSameGang(task, other)
        );
    if (!isApart(load.suspects, TRIAL_MILLISECONDS)) {
        return "beside-suspect";
    }
    return !isSuspect(task) || isApart(load.attempts, QUIET_MILLISECONDS) ? undefined : "suspect-needs-quiet";
}

function isSameGang(left: Task, right: Task): boolean {
    return left.step.isGang && left.occurrence === right.occurrence && left.stepIndex === right.stepIndex;
}
