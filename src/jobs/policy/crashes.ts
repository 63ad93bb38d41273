/**
 * Which tasks are suspected when a worker crashes, and when a task is given up.
 *
 * Workload: some tasks crash each worker that starts them, within milliseconds. A crash also ends a dozen other tasks, which are to
 * run to their end elsewhere.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import type { Attempt, Task } from "../job-table/task.js";

/** A task is given up when this many workers have crashed under it. */
const CRASHES_BEFORE_GIVING_UP = 3;

/** Attempts that were ordered longer before a crash are not suspected. */
const SUSPICION_MILLISECONDS = 1_000;

/** Time after the order to a suspect in which its worker gets no other; it covers the start and the detection of a crash. */
const TRIAL_MILLISECONDS = 300;

/** Time since a worker's last order before a suspect is started there, so that an earlier task's crash is not put down to it. */
const QUIET_MILLISECONDS = 200;

/** This many workers that crash within the time have a common cause other than a task. */
const MANY_CRASHES = 4;
const SIMULTANEOUS_MILLISECONDS = 150;

/** Whether a worker has crashed under a task. */
export function isSuspect({ crashedAttempts }: Task): boolean {
    return crashedAttempts.length > 0;
}

/** Whether enough workers have crashed under a task to give it up. */
export function isDeadly({ crashedAttempts }: Task): boolean {
    return crashedAttempts.length >= CRASHES_BEFORE_GIVING_UP;
}

/** Lists the attempts that may have caused a crash: of those ordered shortly before, the suspects if there are any, or else all. */
export function listSuspects(attempts: readonly Attempt[], crashedAtMilliseconds: number): Attempt[] {
    const recent = attempts.filter(({ orderedAtMilliseconds }) =>
        crashedAtMilliseconds - orderedAtMilliseconds <= SUSPICION_MILLISECONDS
    );
    const known = recent.filter(({ task }) => isSuspect(task));
    return known.length > 0 ? known : recent;
}

/** Whether so many workers have crashed together that no task is suspected. */
export function isCrashOfMany(crashTimes: readonly number[], crashedAtMilliseconds: number): boolean {
    const simultaneous = crashTimes.filter(at => Math.abs(at - crashedAtMilliseconds) <= SIMULTANEOUS_MILLISECONDS);
    return simultaneous.length >= MANY_CRASHES;
}

/**
 * Whether a worker may get a start now: suspects start by themselves, so that the next crash shows which task causes it. The members of a
 * gang start together, and are given up together.
 */
export function mayStartBeside(task: Task, load: Readonly<WorkerLoad>, now: number): boolean {
    const quietMilliseconds = isSuspect(task) ? QUIET_MILLISECONDS : 0;
    return load.attempts.every(({ orderedAtMilliseconds, task: other }) => {
        const isolationMilliseconds = isSuspect(other) ? TRIAL_MILLISECONDS : quietMilliseconds;
        return now - orderedAtMilliseconds >= isolationMilliseconds || isSameGang(task, other);
    });
}

function isSameGang(left: Task, right: Task): boolean {
    return left.step.isGang && left.occurrence === right.occurrence && left.stepIndex === right.stepIndex;
}
