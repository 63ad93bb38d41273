/**
 * What stops on a worker would make room for, and which of them cost least.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import type { Task } from "../job-table/task.js";
import { addSize, fitsInto, ZERO_SIZE } from "../model/size.js";
import type { Size } from "../model/size.js";
import { isWithinLimit } from "./candidate.js";
import type { Candidate } from "./candidate.js";
import { mayStartBeside } from "./crashes.js";
import type { AwayBudget, Yielding } from "./yielding.js";

/** Limit of stops on one worker in one pass. */
const MAXIMUM_STOPS_PER_WORKER = 3;

/** Tasks of one step that are counted for the room on one worker. */
const MAXIMUM_TASKS_PER_OFFER = 8;

/** A step that waits for room. */
export interface Caller {
    readonly task: Task;
    readonly size: Size;
    readonly priority: number;
    /** Lowest priority number of lasting tasks, and of others, whose room it may take. */
    readonly lastingFrom: number;
    readonly othersFrom: number;
    /** Work, in thousandths of a core times milliseconds, that each of its tasks does on room that it gets. */
    readonly work: number;
}

/** Stops on one worker that make room for a step. */
export interface Offer {
    readonly candidate: Candidate;
    readonly yielding: readonly Yielding[];
    /** Number of tasks that fit after the stops. */
    readonly tasks: number;
    /** Priority of the most urgent attempt that is stopped. */
    readonly priority: number;
    /** Cores that the step gets, for each that is freed. */
    readonly score: number;
}

/** Whether a task may run on a worker once there is room. */
export function mayRunOn(task: Task, { load, reservation, worker }: Candidate, now: number): boolean {
    const { avoidedWorkers, step: { requiredLabel } } = task;
    return (requiredLabel === undefined || worker.labels.includes(requiredLabel))
        && (reservation === undefined || reservation.step === stepProgressOf(task))
        && !avoidedWorkers.includes(worker.id) && mayStartBeside(task, load, now) && isWithinLimit(task, load);
}

/** Finds the stops on a worker that cost least for the room that they make; `undefined` if the task would not fit after them. */
export function findOffer(
    caller: Caller,
    candidate: Candidate,
    all: readonly Yielding[],
    budget: AwayBudget,
): Offer | undefined {
    const { lastingFrom, othersFrom, size } = caller;
    const { load: { used }, worker: { capacity } } = candidate;
    const free = addSize(capacity, used, -1);
    const allowed = all.filter(({ attempt: { task }, priority, released }) =>
        priority >= (task.step.isLasting ? lastingFrom : othersFrom) && helps(released, size, free)
        && (!task.step.isLasting || budget.isLeft(task))
    ).sort(compareYielding);
    if (allowed.length === 0) {
        return undefined;
    }
    const single = allowed.map(yielding => describeOffer(caller, candidate, [yielding]))
        .filter(offer => offer !== undefined)
        .sort(compareOffers)[0];
    if (single !== undefined) {
        return single;
    }
    // Only one lasting task of a step, so that its budget is not exceeded.
    const steps = new Set<StepProgress>();
    const separate = allowed.filter(({ attempt: { task } }) => {
        const step = stepProgressOf(task);
        const isFirst = !steps.has(step);
        steps.add(step);
        return isFirst || !task.step.isLasting;
    });
    for (let count = 2; count <= Math.min(separate.length, MAXIMUM_STOPS_PER_WORKER); count++) {
        const offer = describeOffer(caller, candidate, separate.slice(0, count));
        if (offer !== undefined) {
            return offer;
        }
    }
    return undefined;
}

/** Sorts offers: those that stop the least urgent work first, then those that free the least for what the step gets. */
export function compareOffers(left: Offer, right: Offer): number {
    return right.priority - left.priority || right.score - left.score;
}

function compareYielding(left: Yielding, right: Yielding): number {
    return right.priority - left.priority || left.lostWork - right.lostWork
        || right.released.millicores - left.released.millicores;
}

/** Describes an offer; `undefined` if no task would fit, or more work would be thrown away than is done on the room. */
function describeOffer(
    { size, work }: Caller,
    candidate: Candidate,
    yielding: readonly Yielding[],
): Offer | undefined {
    const { load: { used }, worker: { capacity } } = candidate;
    let freed = addSize(capacity, used, -1);
    let [lostWork, releasedMillicores, priority] = [0, 0, Infinity];
    for (const attempt of yielding) {
        freed = addSize(freed, attempt.released);
        lostWork += attempt.lostWork;
        releasedMillicores += attempt.released.millicores;
        priority = Math.min(priority, attempt.priority);
    }
    const tasks = countFitting(size, freed);
    const score = tasks * size.millicores / Math.max(releasedMillicores, 1);
    return tasks > 0 && lostWork <= tasks * work ? { candidate, yielding, tasks, priority, score } : undefined;
}

/** Whether a release adds to a resource that the task lacks. */
function helps(released: Size, size: Size, free: Size): boolean {
    return released.millicores > 0 && free.millicores < size.millicores
        || released.memoryMegabytes > 0 && free.memoryMegabytes < size.memoryMegabytes
        || released.accelerators > 0 && free.accelerators < size.accelerators;
}

function countFitting(size: Size, free: Size): number {
    let count = 0;
    while (count < MAXIMUM_TASKS_PER_OFFER && fitsInto(addSize(ZERO_SIZE, size, count + 1), free)) {
        count += 1;
    }
    return count;
}
