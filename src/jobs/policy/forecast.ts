/**
 * When attempts are expected to end, and when a worker is expected to have room.
 *
 * Workload: callers' estimates are off by half or more, with long tails. What an attempt has reported of its progress counts more than the
 * estimate, and one that has outlived its estimate is expected to go on in proportion to its age.
 */
import { reservedSize } from "../job-table/occupancy.js";
import type { WorkerLoad } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";
import type { JobStep } from "../model/job.js";
import { addSize, fitsInto } from "../model/size.js";
import type { Size } from "../model/size.js";
import type { Durations } from "./durations.js";

/** Part of its work, in percent, that an attempt has to have done before its end is computed from its speed. */
const MEANINGFUL_PERCENT = 20;

/** An attempt that has outlived its estimate is expected to go on for this share of its age. */
const OVERRUN_SHARE = 0.5;

/** An attempt is not expected to end sooner than this, in milliseconds: its end has to be reported first. */
const SHORTEST_REST_MILLISECONDS = 50;

/** A task that starts now is expected to be gone after this many times its estimate, because estimates are off by half. */
const BACKFILL_SAFETY_FACTOR = 1.5;

/** Time that orders and reports of a start and an end take, in milliseconds. */
const ORDER_MILLISECONDS = 100;

/** Room that a worker is expected to have. */
export interface ExpectedRoom {
    /** Number of tasks that fit. */
    readonly count: number;
    readonly atMilliseconds: number;
}

/** When an attempt is expected to end; Infinity for one that lasts or stands still. */
export function expectedEndOf(attempt: Attempt, durations: Durations, now: number): number {
    const { orderedAtMilliseconds, pacePercent, percent, percentAtStart, phase, task: { step } } = attempt;
    if (phase === "stopping") {
        return now + SHORTEST_REST_MILLISECONDS;
    }
    if (step.isLasting || pacePercent === 0) {
        return Infinity;
    }
    const startedAt = attempt.runningSinceMilliseconds ?? orderedAtMilliseconds;
    const percentBefore = Math.max(0, percentAtStart);
    const gained = percentAtStart < 0 ? 0 : percent - percentBefore;
    const { progressedAtMilliseconds: progressedAt } = attempt;
    const end = gained >= MEANINGFUL_PERCENT && progressedAt > startedAt
        ? progressedAt + (progressedAt - startedAt) / gained * (100 - percent)
        : startedAt + durations.estimate(step) * (100 - percentBefore) / pacePercent;
    return end > now + SHORTEST_REST_MILLISECONDS
        ? end
        : now + Math.max(SHORTEST_REST_MILLISECONDS, (now - startedAt) * OVERRUN_SHARE);
}

/** When a task of the step is expected to have ended if it starts now, with a margin for a wrong estimate; Infinity for one that lasts. */
export function expectedEndIfStarted(step: JobStep, durations: Durations, now: number): number {
    return step.isLasting ? Infinity : now + durations.estimate(step) * BACKFILL_SAFETY_FACTOR + ORDER_MILLISECONDS;
}

/** Lists for how many tasks of a size, up to a limit, a worker is expected to have room, each with the earliest time until `until`. */
export function forecastRoom(
    load: Readonly<WorkerLoad>,
    capacity: Size,
    size: Size,
    limit: number,
    { durations, now, until }: { readonly durations: Durations; readonly now: number; readonly until: number; },
): ExpectedRoom[] {
    const ends = load.attempts
        .filter(({ phase, task: { step } }) => !step.isLasting || phase === "stopping")
        .map(attempt => ({ atMilliseconds: expectedEndOf(attempt, durations, now), step: attempt.task.step }))
        .filter(({ atMilliseconds }) => atMilliseconds <= until);
    const rooms: ExpectedRoom[] = [];
    let free = addSize(capacity, load.used, -1);
    const freeAtLast = ends.reduce((sum, { step }) => addSize(sum, reservedSize(step)), free);
    if (!fitsInto(size, freeAtLast)) {
        return rooms;
    }
    ends.sort((left, right) => left.atMilliseconds - right.atMilliseconds);
    const collect = (atMilliseconds: number): void => {
        while (rooms.length < limit && fitsInto(addSize(size, size, rooms.length), free)) {
            rooms.push({ count: rooms.length + 1, atMilliseconds });
        }
    };
    collect(now);
    for (const { atMilliseconds, step } of ends) {
        free = addSize(free, reservedSize(step));
        collect(atMilliseconds);
    }
    return rooms;
}
