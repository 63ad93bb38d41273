/**
 * Choice of a worker for a task.
 *
 * The load that this answers: tasks that serve keep cores which they use in part; fillers use what is left, and disturb
 * those that serve beside them. Tasks that serve are packed together, and fillers go elsewhere as long as there is an
 * elsewhere.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import { isServing, reservedSize } from "../job-table/occupancy.js";
import type { Task } from "../job-table/task.js";
import { addSize, fitsInto, ZERO_SIZE } from "../model/size.js";
import type { Size } from "../model/size.js";
import type { ListedWorker } from "../model/worker.js";
import type { Interference } from "./interference.js";
import { hasHeadroom, isWithinObjectives } from "./pacing.js";

/** A worker that may get tasks. */
export interface Candidate {
    readonly worker: ListedWorker;
    readonly load: Readonly<WorkerLoad>;
    /** Room that is kept for a task which has waited long for a worker with enough of it. */
    reserved?: Size;
}

/** Terms of a placement. */
export interface PlacementOptions {
    /** The task may go where it is expected to do harm, as long as none is seen there; it is slowed down if it does. */
    readonly isStarving?: boolean;
}

/** A job of which nothing runs starves after this; the platform's pages count three seconds more against the system. */
const STARVING_MILLISECONDS = 3_000;

/** Share of a pool's cores in use up to which no job of it may starve; the platform's pages say half. */
const STARVING_USE_SHARE = 0.55;

/** Whether a filler's job has waited long with nothing running although its pool is half empty. */
export function isStarving(
    { occurrence, readyAtMilliseconds, step }: Task,
    pool: Iterable<Candidate>,
    now: number,
): boolean {
    if (!step.isFiller || now - readyAtMilliseconds < STARVING_MILLISECONDS) {
        return false;
    }
    if (occurrence.steps.some(({ tasks }) => tasks.some(({ attempts }) => attempts.length > 0))) {
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

/**
 * Share of the cores kept for serving tasks that they are taken to use. The sites' sheets say 0.42 on average; where it is more
 * for a while, fillers get less, and pacing keeps those that serve within their objectives.
 */
const SERVING_USE_SHARE = 0.45;

/** Chooses a worker for a task, or none where it has to wait. */
export function chooseWorker(
    task: Task,
    candidates: Iterable<Candidate>,
    model: Interference,
    now: number,
    options: PlacementOptions = {},
): Candidate | undefined {
    let best: Candidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of candidates) {
        if (!isEligible(task, candidate)) {
            continue;
        }
        const score = scoreCandidate(task, candidate, model, now, options);
        if (score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

/** Whether the worker may run the task, and has room for it. */
export function isEligible(task: Task, { load, reserved = ZERO_SIZE, worker }: Candidate): boolean {
    const { step } = task;
    const { requiredLabel } = step;
    if (requiredLabel !== undefined && !worker.labels.includes(requiredLabel)) {
        return false;
    }
    const freeCapacity = addSize(addSize(worker.capacity, load.used, -1), reserved, -1);
    if (!fitsInto(reservedSize(step), freeCapacity)) {
        return false;
    }
    return isWithinLimit(task, load);
}

/** Keeps the largest room that there is for a task that fits nowhere, so that it fits there soon. */
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

/** Thousandths of a core that nobody is expected to use. */
export function idleMillicores({ load, worker }: Candidate): number {
    const others = load.used.millicores - load.servingMillicores;
    return worker.capacity.millicores - others - load.servingMillicores * SERVING_USE_SHARE - load.fillerMillicores;
}

/** The most that a filler is expected to press on any task that serves there. */
function expectedPressure({ step }: Task, { load, worker }: Candidate, model: Interference, now: number): number {
    const share = step.size.millicores / worker.capacity.millicores;
    const pressures = load.attempts.filter(({ task }) => isServing(task.step))
        .map(({ task }) => model.estimatePressure(task.step.image, step.image, share, now));
    return Math.max(0, ...pressures);
}

/** The higher the better; -Infinity where it is better to wait. */
function scoreCandidate(
    task: Task,
    candidate: Candidate,
    model: Interference,
    now: number,
    { isStarving: mayInterfere = false }: PlacementOptions,
): number {
    const { load, worker } = candidate;
    const { avoidedWorkers, step } = task;
    const idle = idleMillicores(candidate);
    const freeMillicores = worker.capacity.millicores - load.used.millicores;
    const isAvoided = avoidedWorkers.includes(worker.id);
    const penalty = isAvoided ? AVOIDED_PENALTY : 0;
    const distancePenalty = step.dataRack === undefined || worker.labels.includes(step.dataRack)
        ? 0
        : REMOTE_DATA_PENALTY;
    if (isServing(step)) {
        // Like beside like: fillers can then go where they do no harm.
        const sameImageCount = load.attempts.filter(({ task: { step: other } }) => other.image === step.image).length;
        const others = load.servingCount - sameImageCount;
        return sameImageCount * SAME_IMAGE_BONUS - others * OTHER_IMAGE_PENALTY - load.fillerMillicores - freeMillicores
            - penalty - distancePenalty;
    }
    if (step.isFiller) {
        if (idle < step.size.millicores * MINIMUM_FILLER_SHARE) {
            return -Infinity;
        }
        if (load.servingCount > 0) {
            const share = step.size.millicores / worker.capacity.millicores;
            const isFit = isWithinObjectives(step.image, share, load, worker.capacity.millicores, model, now)
                || mayInterfere && hasHeadroom(load, model);
            if (!isFit) {
                return -Infinity;
            }
            return idle - BESIDE_SERVING_PENALTY - expectedPressure(task, candidate, model, now) * PRESSURE_PENALTY
                - penalty - distancePenalty;
        }
        return idle - penalty - distancePenalty;
    }
    // The smallest hole that fits, so that larger ones are left for larger tasks; but not where fillers would starve it.
    return -freeMillicores - Math.max(0, -idle) * STARVING_WEIGHT - penalty - distancePenalty;
}

/** In thousandths of a core, as the figures that they are weighed against. */
const SAME_IMAGE_BONUS = 1_000;
const OTHER_IMAGE_PENALTY = 100_000;

/** Weighs the whole of a serving task's bearable pressure against three workers' idle cores. */
const PRESSURE_PENALTY = 100_000;

/** A task that fillers leave too few cores works slower than planned. */
const STARVING_WEIGHT = 2;

/** A filler waits where it would get less than this share of its cores. */
const MINIMUM_FILLER_SHARE = 0.6;

/** Outweighs any amount of idle cores, in thousandths of a core. */
const BESIDE_SERVING_PENALTY = 1_000_000;

/** Outweighs a place beside serving tasks: the last attempt there went wrong. */
const AVOIDED_PENALTY = 3_000_000;

/** Outweighs idle cores, but not a place beside serving tasks. */
const REMOTE_DATA_PENALTY = 200_000;
