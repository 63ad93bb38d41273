/**
 * Choice of a worker for a task.
 *
 * The load that this answers: tasks that serve keep cores which they use in part; fillers use what is left, and disturb
 * those that serve beside them. Tasks that serve are packed together, and fillers go elsewhere as long as there is an
 * elsewhere.
 */
import type { WorkerLoad } from "../board/occupancy.js";
import { countedSize, isServing } from "../board/occupancy.js";
import type { Task } from "../board/task.js";
import { addSize, fitsInto } from "../model/size.js";
import type { ListedWorker } from "../model/worker.js";

/** A worker that may get tasks. */
export interface Candidate {
    readonly worker: ListedWorker;
    readonly load: Readonly<WorkerLoad>;
}

/** Share of the cores kept for serving tasks that they are taken to use, before anything has been measured. */
const SERVING_USE_SHARE = 0.6;

/** Chooses a worker for a task, or none where it has to wait. */
export function choosePlace(task: Task, candidates: Iterable<Candidate>): Candidate | undefined {
    let best: Candidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of candidates) {
        if (!isEligible(task, candidate)) {
            continue;
        }
        const score = rate(task, candidate);
        if (score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

/** Whether the worker may run the task, and has room for it. */
export function isEligible({ occurrence, step, stepIndex }: Task, { load, worker }: Candidate): boolean {
    const { limitPerWorker, requiredLabel } = step;
    if (requiredLabel !== undefined && !worker.labels.includes(requiredLabel)) {
        return false;
    }
    const room = addSize(worker.capacity, load.used, -1);
    if (!fitsInto(countedSize(step), room)) {
        return false;
    }
    if (limitPerWorker > 0) {
        const there = load.attempts.filter(({ task }) =>
            task.occurrence === occurrence && task.stepIndex === stepIndex
        );
        return there.length < limitPerWorker;
    }
    return true;
}

/** Thousandths of a core that nobody is expected to use. */
export function idleMillicores({ load, worker }: Candidate): number {
    const others = load.used.millicores - load.servingMillicores;
    return worker.capacity.millicores - others - load.servingMillicores * SERVING_USE_SHARE - load.fillerMillicores;
}

/** The higher the better; -Infinity where it is better to wait. */
function rate(task: Task, candidate: Candidate): number {
    const { load, worker } = candidate;
    const { avoidedWorkers, step } = task;
    const idle = idleMillicores(candidate);
    const isAvoided = avoidedWorkers.includes(worker.id);
    const penalty = isAvoided ? AVOIDED_PENALTY : 0;
    const near = step.dataRack === undefined || worker.labels.includes(step.dataRack) ? 0 : FAR_PENALTY;
    if (isServing(step)) {
        return load.servingMillicores * 2 - load.fillerMillicores - penalty - near;
    }
    if (step.isFiller) {
        if (idle < step.size.millicores * LEAST_FILLER_SHARE) {
            return -Infinity;
        }
        return idle - (load.servingCount > 0 ? BESIDE_SERVING_PENALTY : 0) - penalty - near;
    }
    return idle - load.servingMillicores - penalty - near;
}

/** A filler waits where it would get less than this share of its cores. */
const LEAST_FILLER_SHARE = 0.6;

/** Outweighs any amount of idle cores, in thousandths of a core. */
const BESIDE_SERVING_PENALTY = 1_000_000;

/** Outweighs a place beside serving tasks: the last attempt there went wrong. */
const AVOIDED_PENALTY = 3_000_000;

/** Outweighs idle cores, but not a place beside serving tasks. */
const FAR_PENALTY = 200_000;
