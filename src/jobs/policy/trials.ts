/**
 * Workers that are kept for the starts of suspects, which would wait without end otherwise.
 *
 * Workload: a suspect starts on a worker that has got no other start shortly before. Under steady traffic each worker gets one several times a
 * second, and what the suspect waits for comes about only once the traffic ends.
 */
import { gangMembersOf, stepProgressOf } from "../job-table/job-table.js";
import { reservedSize } from "../job-table/occupancy.js";
import type { Task } from "../job-table/task.js";
import { addSize, fitsInto, ZERO_SIZE } from "../model/size.js";
import type { Size } from "../model/size.js";
import { isEligible, MINIMUM_FILLER_SHARE } from "./candidate.js";
import type { Candidate } from "./candidate.js";
import { isSuspect } from "./crashes.js";
import { reserveCapacity } from "./reservation.js";

/** A suspect that has waited longer, in milliseconds, gets a worker kept for it. */
const PATIENCE_MILLISECONDS = 1_000;

/** Limit of suspects, or gangs with suspects, of a pool for which workers are kept at the same time. */
const MAXIMUM_TRIALS = 2;

/** There are no more of them than this share of the pool's workers, but always one; the other workers stay available to all. */
const KEPT_SHARE = 0.25;

/**
 * Keeps workers with room free of other starts for the suspects that have waited longest. For one that fits on none, room is gathered first.
 * The workers stay the same from pass to pass, as those that get no orders become the ones with the oldest.
 */
export function keepForTrials(
    startableTasks: readonly Task[],
    candidatesFor: (task: Task) => readonly Candidate[],
    now: number,
): void {
    const waiting = startableTasks.filter(task =>
        isSuspect(task) && now - task.readyAtMilliseconds >= PATIENCE_MILLISECONDS
    )
        .sort((left, right) =>
            Number(right.step.isLasting) - Number(left.step.isLasting)
            || left.readyAtMilliseconds - right.readyAtMilliseconds
        );
    const trials = new Map<readonly Candidate[], number>();
    for (const task of waiting) {
        const candidates = candidatesFor(task);
        const count = trials.get(candidates) ?? 0;
        const limit = Math.min(MAXIMUM_TRIALS, Math.max(1, Math.floor(candidates.length * KEPT_SHARE)));
        if (count < limit && keepFor(task, candidates)) {
            trials.set(candidates, count + 1);
        }
    }
}

function keepFor(task: Task, candidates: readonly Candidate[]): boolean {
    const { isFiller, isGang, limitPerWorker } = task.step;
    const step = stepProgressOf(task);
    if (isGang && candidates.some(({ reservation }) => reservation?.step === step)) {
        return false;
    }
    const size = reservedSize(task.step);
    const wanted = gangMembersOf(task).length;
    const limit = limitPerWorker > 0 ? limitPerWorker : Infinity;
    const kept: { readonly candidate: Candidate; readonly count: number; }[] = [];
    let missing = wanted;
    for (const candidate of candidates.filter(other => fits(task, other)).sort(compareFor(task))) {
        if (missing <= 0) {
            break;
        }
        const count = Math.min(missing, limit, countFitting(size, candidate));
        kept.push({ candidate, count });
        missing -= count;
    }
    if (missing > 0) {
        return !isGang && !isFiller
            && reserveCapacity(task, candidates.filter(candidate => fitsBesideLasting(size, candidate))) !== undefined;
    }
    for (const { candidate, count } of kept) {
        candidate.reservation = {
            step,
            size: addSize(ZERO_SIZE, size, count),
            expectedAtMilliseconds: -Infinity,
            isTrial: true,
        };
    }
    return true;
}

/** Whether a worker has room for a task now. Beside serving tasks, that of a filler depends on more than its size. */
function fits(task: Task, candidate: Candidate): boolean {
    const { isFiller, size } = task.step;
    return candidate.reservation === undefined && isEligible(task, candidate)
        && (!isFiller || candidate.load.servingCount === 0
                && candidate.worker.capacity.millicores - candidate.load.used.millicores
                    >= size.millicores * MINIMUM_FILLER_SHARE);
}

/** Workers that the task does not avoid first, then those whose last order is the oldest. */
function compareFor({ avoidedWorkers }: Task): (left: Candidate, right: Candidate) => number {
    const isAvoided = ({ worker }: Candidate): number => avoidedWorkers.includes(worker.id) ? 1 : 0;
    const lastOrderAt = ({ load }: Candidate): number =>
        load.attempts.reduce((latest, { orderedAtMilliseconds }) => Math.max(latest, orderedAtMilliseconds), 0);
    return (left, right) => isAvoided(left) - isAvoided(right) || lastOrderAt(left) - lastOrderAt(right);
}

function countFitting(size: Size, { load, worker }: Candidate): number {
    let count = 1;
    while (fitsInto(addSize(ZERO_SIZE, size, count + 1), addSize(worker.capacity, load.used, -1)) && count < 1_000) {
        count += 1;
    }
    return count;
}

/** Whether a worker has room for a size once all that ends has ended. */
function fitsBesideLasting(size: Size, { load, worker }: Candidate): boolean {
    const held = load.attempts.reduce(
        (sum, { task: { step } }) => step.isLasting ? addSize(sum, reservedSize(step)) : sum,
        ZERO_SIZE,
    );
    return fitsInto(size, addSize(worker.capacity, held, -1));
}
