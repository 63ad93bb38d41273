/**
 * Choice of a worker for a task.
 *
 * Workload: serving tasks reserve cores that they use only in part. Fillers use the remaining cores and slow down serving
 * tasks on the same worker. Serving tasks are packed together, and fillers go to other workers while there are any.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import type { WorkerLoad } from "../job-table/occupancy.js";
import { isServing, reservedSize } from "../job-table/occupancy.js";
import type { Task } from "../job-table/task.js";
import { addSize, fitsInto, maximumOf, ZERO_SIZE } from "../model/size.js";
import type { Size } from "../model/size.js";
import type { ListedWorker } from "../model/worker.js";
import { isSuspect, mayStartBeside } from "./crashes.js";
import type { Interference } from "./interference.js";
import { isOverdue } from "./order.js";
import { chooseStartingPace, hasHeadroom, planPressures } from "./pacing.js";
import type { ExpectedPressure } from "./pacing.js";
import { createRanking } from "./ranking.js";

/** A worker on which tasks may be started. */
export interface Candidate {
    readonly worker: ListedWorker;
    /** Load of the worker, or a copy with the attempts of a plan. */
    load: Readonly<WorkerLoad>;
    /** Capacity reserved for a task that has waited long for a worker with enough of it. */
    reserved?: Size;
    /** When the worker last reported its measurements. */
    readonly reportedAtMilliseconds?: number;
    /** Expected pressures on the serving tasks; absent until they are needed. */
    plan?: Plan | undefined;
}

/** Expected pressures on the serving tasks of a worker, and what they were computed from. */
export interface Plan {
    readonly atMilliseconds: number;
    readonly reportedAtMilliseconds: number | undefined;
    /** See `WorkerLoad.changes`. */
    readonly changes: number;
    readonly pressures: readonly ExpectedPressure[];
}

/** A plan is computed again after this, because the load of serving tasks changes by itself. */
const PLAN_VALID_MILLISECONDS = 100;

/** Options of a placement. */
export interface PlacementOptions {
    /** Allows workers where interference is expected but not measured; if it occurs, the task is slowed down. */
    readonly isStarving?: boolean;
}

/** A job without a running attempt starves after this; the platform counts it as starved three seconds later. */
const STARVING_MILLISECONDS = 3_000;

/** Pace of a filler that starts where it may do harm, because its job starves. */
const STARVING_PACE_PERCENT = 30;

/** Share of a pool's cores in use below which no job may starve; the platform's documentation requires half. */
const STARVING_USE_SHARE = 0.55;

/** Whether a filler's job has waited long without a running attempt although its pool is half empty. */
export function isStarving(
    { occurrence, readyAtMilliseconds, step }: Task,
    pool: Iterable<Candidate>,
    now: number,
): boolean {
    if (!step.isFiller || now - readyAtMilliseconds < STARVING_MILLISECONDS) {
        return false;
    }
    if (occurrence.steps.some(hasAttempts)) {
        return false;
    }
    let capacity = 0;
    let used = 0;
    for (const { load, worker } of pool) {
        capacity += worker.capacity.millicores;
        used += load.used.millicores + load.fillerMillicores;
    }
    return used < capacity * STARVING_USE_SHARE;
}

function hasAttempts({ openTasks }: StepProgress): boolean {
    for (const { attempts } of openTasks.values()) {
        if (attempts.length > 0) {
            return true;
        }
    }
    return false;
}

/**
 * Assumed use of the cores reserved for serving tasks. The sites' data sheets state 0.42 on average; while the use is higher,
 * fillers get less, and pacing keeps the serving tasks within their objectives.
 */
const SERVING_USE_SHARE = 0.45;

/** Chooses a worker for a task; returns undefined if the task has to wait. */
export function chooseWorker(
    task: Task,
    candidates: Iterable<Candidate>,
    model: Interference,
    now: number,
    options: PlacementOptions = {},
): Candidate | undefined {
    return rankCandidates(task, candidates, model, now, options).choose(task);
}

/** Candidates ranked for the tasks of one step that are placed one after the other. */
export interface CandidateRanking {
    /** Chooses a worker for a task; `undefined` if the task has to wait. */
    choose(task: Task): Candidate | undefined;
}

/**
 * Ranks the candidates for a task, and for others that they rank alike for while nothing but these is placed. Each placement changes the score
 * of the worker that it uses; those of the other workers stay, or fall where they depend on trials of images.
 */
export function rankCandidates(
    task: Task,
    candidates: Iterable<Candidate>,
    model: Interference,
    now: number,
    options: PlacementOptions = {},
): CandidateRanking {
    const ignoresReservations = isOverdue(task, now);
    const score = (candidate: Candidate): number =>
        mayStartBeside(task, candidate.load, now) && isEligible(task, candidate, ignoresReservations)
            ? scoreCandidate(task, candidate, model, now, options)
                - (isSuspect(task) ? candidate.load.attempts.length * SUSPECT_NEIGHBOR_PENALTY : 0)
            : -Infinity;
    const ranking = createRanking(candidates, score);
    return {
        choose: ({ avoidedWorkers }) =>
            ranking.first(({ worker }) => !avoidedWorkers.includes(worker.id)) ?? ranking.first(() => true),
    };
}

/** Whether the workers rank alike for two tasks. */
export function isRankedAlike(left: Task, right: Task, now: number): boolean {
    return stepProgressOf(left) === stepProgressOf(right) && isOverdue(left, now) === isOverdue(right, now)
        && isSuspect(left) === isSuspect(right);
}

/**
 * Whether the worker may run the task and has enough free capacity. Capacity that is reserved for another task is not free,
 * except for a task that is overdue as well: the other one may not fit for a long time.
 */
export function isEligible(
    task: Task,
    { load, reserved = ZERO_SIZE, worker }: Candidate,
    ignoresReservations = false,
): boolean {
    const { step } = task;
    const { requiredLabel } = step;
    if (requiredLabel !== undefined && !worker.labels.includes(requiredLabel)) {
        return false;
    }
    const freeCapacity = addSize(addSize(worker.capacity, load.used, -1), reserved, ignoresReservations ? 0 : -1);
    if (!fitsInto(reservedSize(step), freeCapacity)) {
        return false;
    }
    return isWithinLimit(task, load);
}

/** Reserves the suitable worker with the most free cores for a task that fits on none, so that it fits there soon. */
export function reserveCapacity(task: Task, candidates: Iterable<Candidate>): Candidate | undefined {
    const { requiredLabel, size } = task.step;
    let best: Candidate | undefined;
    let mostFreeMillicores = -Infinity;
    for (const candidate of candidates) {
        const { load, reserved, worker } = candidate;
        const freeMillicores = worker.capacity.millicores - load.used.millicores;
        const isSuited = reserved === undefined && fitsInto(size, worker.capacity) && isWithinLimit(task, load)
            && (requiredLabel === undefined || worker.labels.includes(requiredLabel));
        if (isSuited && freeMillicores > mostFreeMillicores) {
            best = candidate;
            mostFreeMillicores = freeMillicores;
        }
    }
    if (best !== undefined) {
        best.reserved = size;
    }
    return best;
}

function isWithinLimit({ occurrence, step: { limitPerWorker }, stepIndex }: Task, load: Readonly<WorkerLoad>): boolean {
    if (limitPerWorker > 0) {
        const onWorker = load.attempts.filter(({ task }) =>
            task.occurrence === occurrence && task.stepIndex === stepIndex
        );
        return onWorker.length < limitPerWorker;
    }
    return true;
}

/** Cores of a worker that are expected to stay unused, in thousandths. */
export function idleMillicores({ load, worker }: Candidate): number {
    const others = load.used.millicores - load.servingMillicores;
    return worker.capacity.millicores - others - load.servingMillicores * SERVING_USE_SHARE - load.fillerMillicores;
}

/** Expected pressures on the serving tasks of a candidate, kept for a short time unless its attempts or measurements change. */
function pressuresOf(candidate: Candidate, model: Interference, now: number): readonly ExpectedPressure[] {
    const { load, plan, reportedAtMilliseconds, worker } = candidate;
    const isValid = plan !== undefined && plan.changes === load.changes
        && plan.reportedAtMilliseconds === reportedAtMilliseconds
        && now - plan.atMilliseconds < PLAN_VALID_MILLISECONDS;
    if (isValid) {
        return plan.pressures;
    }
    const pressures = planPressures(load, worker.capacity.millicores, model, now);
    candidate.plan = { atMilliseconds: now, reportedAtMilliseconds, changes: load.changes, pressures };
    return pressures;
}

/** Largest free capacity of any candidate, each dimension by itself; the cores are those that a filler may use, too. */
export interface LargestRoom {
    readonly free: Size;
    readonly idleMillicores: number;
    /** Free capacity of all candidates together. */
    readonly totalFree: Size;
}

/** Finds the largest free capacity, which tasks that fit nowhere are compared with instead of with each worker. */
export function findLargestRoom(candidates: Iterable<Candidate>): LargestRoom {
    const free = { ...ZERO_SIZE };
    let totalFree = ZERO_SIZE;
    let idle = 0;
    for (const candidate of candidates) {
        const { load: { used }, worker: { capacity } } = candidate;
        free.millicores = Math.max(free.millicores, capacity.millicores - used.millicores);
        free.memoryMegabytes = Math.max(free.memoryMegabytes, capacity.memoryMegabytes - used.memoryMegabytes);
        free.accelerators = Math.max(free.accelerators, capacity.accelerators - used.accelerators);
        totalFree = addSize(totalFree, maximumOf(addSize(capacity, used, -1), ZERO_SIZE));
        idle = Math.max(idle, idleMillicores(candidate));
    }
    return { free, idleMillicores: idle, totalFree };
}

/** Whether a worker may have enough room for a task, and all of them for its gang; if not, they have not. */
export function mayFit({ step }: Task, { free, idleMillicores: idle, totalFree }: LargestRoom): boolean {
    const size = reservedSize(step);
    return fitsInto(size, free)
        && (!step.isGang || fitsInto(addSize(ZERO_SIZE, size, step.taskCount), totalFree))
        && (!step.isFiller || idle >= step.size.millicores * MINIMUM_FILLER_SHARE);
}

/** Pace, in percent, at which a task starts on the worker that was chosen for it. */
export function startingPaceOf({ step }: Task, candidate: Candidate, model: Interference, now: number): number {
    if (!step.isFiller || candidate.load.servingCount === 0) {
        return 100;
    }
    const share = step.size.millicores / candidate.worker.capacity.millicores;
    return chooseStartingPace(step.image, share, pressuresOf(candidate, model, now), model, now)
        ?? STARVING_PACE_PERCENT;
}

/** Largest part of a serving step's remaining tolerance that a filler is expected to take. */
function takenTolerance(
    { step }: Task,
    share: number,
    pressures: readonly ExpectedPressure[],
    model: Interference,
    now: number,
): number {
    return pressures.reduce((largest, { planned, pressure, progress }) => {
        const { mean } = model.estimateWeight(progress.step.image, step.image, now);
        return Math.max(largest, mean * share / Math.max(planned - pressure, SMALLEST_TOLERANCE));
    }, 0);
}

/** Scores a worker for a task; the highest score wins, and -Infinity excludes the worker. */
function scoreCandidate(
    task: Task,
    candidate: Candidate,
    model: Interference,
    now: number,
    { isStarving: mayInterfere = false }: PlacementOptions,
): number {
    const { load, worker } = candidate;
    const { step } = task;
    const idle = idleMillicores(candidate);
    const freeMillicores = worker.capacity.millicores - load.used.millicores;
    const distancePenalty = step.dataRack === undefined || worker.labels.includes(step.dataRack)
        ? 0
        : REMOTE_DATA_PENALTY;
    if (isServing(step)) {
        // Packs tasks of the same step, or else image, together, so that fillers find workers where they do not interfere.
        const sameStep = load.attempts.filter(({ task: other }) =>
            other.occurrence === task.occurrence && other.stepIndex === task.stepIndex
        ).length;
        const sameImage = load.attempts.filter(({ task: { step: other } }) =>
            other.image === step.image
        ).length;
        const others = load.servingCount - sameImage;
        return sameStep * SAME_STEP_BONUS + sameImage * SAME_IMAGE_BONUS - others * OTHER_IMAGE_PENALTY
            - load.fillerMillicores - freeMillicores - distancePenalty;
    }
    if (step.isFiller) {
        if (idle < step.size.millicores * MINIMUM_FILLER_SHARE) {
            return -Infinity;
        }
        if (load.servingCount > 0) {
            const share = step.size.millicores / worker.capacity.millicores;
            const pressures = pressuresOf(candidate, model, now);
            const isFit = chooseStartingPace(step.image, share, pressures, model, now) !== undefined
                || mayInterfere && hasHeadroom(load, pressures);
            if (!isFit) {
                return -Infinity;
            }
            return Math.min(idle, step.size.millicores) - BESIDE_SERVING_PENALTY
                - takenTolerance(task, share, pressures, model, now) * TOLERANCE_PENALTY - distancePenalty;
        }
        return idle - distancePenalty;
    }
    // Best fit, so that larger gaps stay free for larger tasks, except where fillers leave the task too few cores.
    return -freeMillicores - Math.max(0, -idle) * STARVING_WEIGHT - distancePenalty;
}

/** Weights in thousandths of a core, the unit of the other terms of the score. */
const SAME_STEP_BONUS = 20_000;
const SAME_IMAGE_BONUS = 1_000;
const OTHER_IMAGE_PENALTY = 100_000;

/** Makes the whole tolerance of a serving step equal to the idle cores of a worker. */
const TOLERANCE_PENALTY = 30_000;

/** Tolerance of a step that has none left, which keeps the quotient finite. */
const SMALLEST_TOLERANCE = 0.01;

/** Weight of cores that fillers already use: a task without them runs slower than planned. */
const STARVING_WEIGHT = 2;

/** A filler is not placed where it would get less than this share of its cores. */
const MINIMUM_FILLER_SHARE = 0.6;

/** Outweighs any amount of idle cores, in thousandths of a core. */
const BESIDE_SERVING_PENALTY = 1_000_000;

/** Outweighs a worker with serving tasks: a crash ends all tasks beside the suspect. */
const SUSPECT_NEIGHBOR_PENALTY = 2_000_000;

/** Outweighs idle cores, but not the penalty for a worker with serving tasks. */
const REMOTE_DATA_PENALTY = 200_000;
