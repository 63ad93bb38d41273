/**
 * Search for workers that are expected to have room soon for a task that fits on none, or for all members of its gang.
 */
import type { Task } from "../job-table/task.js";
import { addSize, fitsInto, ZERO_SIZE } from "../model/size.js";
import type { Size } from "../model/size.js";
import { isWithinLimit } from "./candidate.js";
import type { Candidate } from "./candidate.js";
import type { Durations } from "./durations.js";
import { forecastRoom } from "./forecast.js";

/** How far ahead room is looked for, in milliseconds. */
const HORIZON_MILLISECONDS = 3_000;

/** Share of the cores that lasting tasks leave in a pool that is reserved at the same time; the others stay available to all. */
const RESERVED_SHARE = 0.2;

/** Share that is reserved for a gang if nothing else is reserved; a single task is then reserved for in any case. */
const LARGEST_GANG_SHARE = 0.5;

/** A worker that is to be kept for the tasks of a step. */
export interface Hold {
    readonly worker: string;
    readonly size: Size;
    /** When the room for the task, or for all members of the gang, is expected to be free. */
    readonly expectedAtMilliseconds: number;
}

/** Finds the workers that are expected to have room first; none if it is not expected to come within the horizon. */
export function findGap(
    task: Task,
    candidates: readonly Candidate[],
    avoidedWorkers: ReadonlyMap<string, unknown>,
    durations: Durations,
    now: number,
): Hold[] {
    const { isGang, limitPerWorker, size, taskCount } = task.step;
    const wanted = isGang ? taskCount : 1;
    const limit = limitPerWorker > 0 ? Math.min(limitPerWorker, wanted) : wanted;
    const options = { durations, now, until: now + HORIZON_MILLISECONDS };
    const rooms = candidates.flatMap(({ load, reservation, worker }) =>
        reservation === undefined && !avoidedWorkers.has(worker.id) && isSuited(task, worker, load)
            ? forecastRoom(load, worker.capacity, size, limit, options)
                // Where a task does not start although it fits, it waits for something else than room.
                .filter(({ atMilliseconds }) => isGang || atMilliseconds > now)
                .map(room => ({ ...room, worker: worker.id }))
            : []
    ).sort((left, right) => left.atMilliseconds - right.atMilliseconds).slice(0, wanted);
    const counts = new Map(rooms.map(({ count, worker }) => [worker, count]));
    const last = rooms.at(-1);
    if (last === undefined || rooms.length < wanted || !isWithinShare(wanted * size.millicores, isGang, candidates)) {
        return [];
    }
    // The members of a gang start together, so that all of the room may be used until the last part of it is free.
    return [...counts].map(([worker, count]) => ({
        worker,
        size: addSize(ZERO_SIZE, size, count),
        expectedAtMilliseconds: last.atMilliseconds,
    }));
}

/** Whether the workers could hold a task, or all members of its gang, if nothing else ran on them. */
export function isWithinPool({ step }: Task, candidates: readonly Candidate[]): boolean {
    const { isGang, limitPerWorker, requiredLabel, size, taskCount } = step;
    const limit = limitPerWorker > 0 ? limitPerWorker : Infinity;
    let missing = isGang ? taskCount : 1;
    for (const { worker: { capacity, labels } } of candidates) {
        if (requiredLabel === undefined || labels.includes(requiredLabel)) {
            missing -= Math.min(
                limit,
                countWithin(size.millicores, capacity.millicores),
                countWithin(size.memoryMegabytes, capacity.memoryMegabytes),
                countWithin(size.accelerators, capacity.accelerators),
            );
        }
        if (missing <= 0) {
            return true;
        }
    }
    return false;
}

function countWithin(size: number, capacity: number): number {
    return size > 0 ? Math.floor(capacity / size) : Infinity;
}

function isSuited(task: Task, { capacity, labels }: Candidate["worker"], load: Candidate["load"]): boolean {
    const { requiredLabel, size } = task.step;
    return fitsInto(size, capacity) && isWithinLimit(task, load)
        && (requiredLabel === undefined || labels.includes(requiredLabel));
}

/** Whether as many cores may be reserved besides those that are. A worker that has shrunk below what serves there takes nothing from others. */
function isWithinShare(millicores: number, isGang: boolean, candidates: readonly Candidate[]): boolean {
    let reserved = 0;
    let shared = 0;
    for (const { load, reservation, worker } of candidates) {
        reserved += reservation?.size.millicores ?? 0;
        shared += Math.max(0, worker.capacity.millicores - load.servingMillicores);
    }
    return reserved === 0
        ? !isGang || millicores <= shared * LARGEST_GANG_SHARE
        : reserved + millicores <= shared * RESERVED_SHARE;
}
