/**
 * Whether a task's job gains by room that is kept for it, or loses by room that is kept for others.
 */
import type { Task } from "../job-table/task.js";
import type { Queue } from "../model/catalog.js";
import type { Durations } from "./durations.js";
import { assessTimeliness } from "./order.js";

/** A task that has waited longer gains by room that is kept for it even where its job is late, in milliseconds. */
const LONG_WAIT_MILLISECONDS = 4_000;

/** A job that would be late if it waited this long, in milliseconds, is not kept waiting by reservations for others. */
const PRESSED_MILLISECONDS = 500;

/** What tells whether a job can be on time. */
export interface UrgencyOptions {
    /** The task's queue; absent where the configuration no longer has it. */
    readonly queue: Queue | undefined;
    readonly durations: Durations;
}

/** Whether a task's job can be on time, but not if it waits much longer. */
export function isPressed({ occurrence }: Task, { durations, queue }: UrgencyOptions, now: number): boolean {
    const timelinessAt = (time: number) => assessTimeliness(occurrence, queue, durations, time).timeliness;
    return timelinessAt(now) === 0 && timelinessAt(now + PRESSED_MILLISECONDS) > 0;
}

/** Whether room that comes at a time is worth keeping for a task: the wait makes its job no later than it is, or has been long. */
export function isWorthWaiting(
    { occurrence, readyAtMilliseconds }: Task,
    { durations, queue }: UrgencyOptions,
    atMilliseconds: number,
    now: number,
): boolean {
    const timelinessAt = (time: number) => assessTimeliness(occurrence, queue, durations, time).timeliness;
    return now - readyAtMilliseconds >= LONG_WAIT_MILLISECONDS
        || timelinessAt(now) < 2 && timelinessAt(atMilliseconds) === timelinessAt(now);
}
