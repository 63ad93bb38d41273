/**
 * Placement of one task: finds the workers that can run it and picks the one with the lowest cost.
 */
import type { Random } from "../core/random.js";
import type { FreeCapacity, ScarceResource, SizeOf, TaskSize } from "./capacity.js";
import { findShortage, fitsShape, limitToShape } from "./capacity.js";
import type { PlacementConstraints } from "./constraints.js";
import { findDataCentreRefusal, findNeighbourRefusal, findWorkerStateRefusal } from "./constraints.js";
import type { HealthModel } from "./health.js";
import type { InterferenceCost } from "./interference-cost.js";
import type { PendingTask } from "./policy.js";
import type { ReplicaSpread } from "./replicas.js";

/** Inputs of placement, shared by all tasks of one decision. */
export interface PlacementContext {
    readonly capacities: readonly FreeCapacity[];
    readonly constraints: PlacementConstraints;
    readonly spread: ReplicaSpread;
    readonly sizeOf: SizeOf;
    readonly interferenceCost: InterferenceCost;
    readonly health: HealthModel;
    readonly now: number;
    readonly random: Random;
    /** Suitable workers that are compared for a batch task. */
    readonly candidates: number;
}

/** The chosen worker and the task's size on it. */
export interface Place {
    readonly capacity: FreeCapacity;
    readonly size: TaskSize;
}

const SHORTAGE_REASONS: Record<ScarceResource, string> = {
    slots: "worker has no free slot",
    cores: "worker has too few free cores",
    memory: "worker has too little free memory",
    accelerators: "worker has too few free accelerators",
};

/** Weight of replica crowding; large enough that spread outweighs interference and load. */
const CROWDING_WEIGHT = 1_000;
/** Cost of placing a task that needs no accelerators on a worker that has some. */
const ACCELERATOR_WASTE_COST = 0.5;
/** Weight of the fill cost; small, so that it only decides between workers of equal interference cost. */
const FILL_WEIGHT = 0.01;
/** Cost of placing a task on the worker where it failed last. */
const SAME_WORKER_COST = 1;

/** Returns a task's size on a worker, with measured use limited to the worker's shape. */
export function computeSize(context: PlacementContext, task: PendingTask, capacity: FreeCapacity): TaskSize {
    return limitToShape(context.sizeOf(task), capacity.view.instance.shape);
}

/** Returns the reason why a task cannot start on a worker now, or `undefined` if it can. */
export function findPlacementRefusal(
    context: PlacementContext,
    task: PendingTask,
    capacity: FreeCapacity,
): string | undefined {
    return findWorkerRefusal(context, task, capacity) ?? findCapacityRefusal(context, task, capacity);
}

/** Returns the reason why a worker is unsuitable even without other tasks, or `undefined` if it is suitable. */
export function findWorkerRefusal(
    context: PlacementContext,
    task: PendingTask,
    capacity: FreeCapacity,
): string | undefined {
    return findPermanentRefusal(context, task, capacity) ?? findWorkerStateRefusal(capacity.view)
        ?? findHealthRefusal(context, task, capacity);
}

/** On probation a worker runs one batch task at a time, whose failure does not affect callers. */
function findHealthRefusal(context: PlacementContext, task: PendingTask, capacity: FreeCapacity): string | undefined {
    const trust = context.health.getHealthState(capacity.name, context.now);
    if (trust === "trusted") {
        return undefined;
    }
    if (trust === "quarantine") {
        return "worker is in quarantine";
    }
    const hasTrial = capacity.occupants.length > capacity.view.tasks.length
        || capacity.view.tasks.some(placed => context.health.isTrial(capacity.name, placed));
    return task.kind === "batch" && !hasTrial ? undefined : "worker is on probation";
}

/** Returns the reason why a worker can never run a task, whatever its state, or `undefined` if it can. */
export function findPermanentRefusal(
    context: PlacementContext,
    task: PendingTask,
    capacity: FreeCapacity,
): string | undefined {
    const { shape, dataCentre } = capacity.view.instance;
    const refusal = findDataCentreRefusal(context.constraints, task, dataCentre);
    if (refusal !== undefined) {
        return refusal;
    }
    return fitsShape(shape, task.resources) ? undefined : "task is larger than the worker";
}

function findCapacityRefusal(context: PlacementContext, task: PendingTask, capacity: FreeCapacity): string | undefined {
    const shortage = findShortage(capacity, computeSize(context, task, capacity));
    return shortage === undefined
        ? findNeighbourRefusal(context.constraints, task.rule, capacity)
            ?? context.interferenceCost.findRefusal(task, capacity)
        : SHORTAGE_REASONS[shortage];
}

/** Finds the worker with the lowest cost for a task, or `undefined` if no worker can run it now. */
export function findPlace(context: PlacementContext, task: PendingTask): Place | undefined {
    const best = task.kind === "service"
        ? pickCheapest(
            context,
            task,
            context.capacities.filter(capacity => findPlacementRefusal(context, task, capacity) === undefined),
        )
        : pickCheapest(context, task, sampleCandidates(context, task));
    return best === undefined ? undefined : { capacity: best, size: computeSize(context, task, best) };
}

/** Collects up to `candidates` suitable workers, starting at a random one, to bound the cost in large cells. */
function sampleCandidates(context: PlacementContext, task: PendingTask): FreeCapacity[] {
    const { capacities, candidates } = context;
    const found: FreeCapacity[] = [];
    const first = Math.floor(context.random() * capacities.length);
    for (let step = 0; step < capacities.length && found.length < candidates; step += 1) {
        const capacity = capacities[(first + step) % capacities.length];
        if (capacity !== undefined && findPlacementRefusal(context, task, capacity) === undefined) {
            found.push(capacity);
        }
    }
    return found;
}

function pickCheapest(
    context: PlacementContext,
    task: PendingTask,
    capacities: readonly FreeCapacity[],
): FreeCapacity | undefined {
    let best: FreeCapacity | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    for (const capacity of capacities) {
        const cost = computeCost(context, task, capacity);
        if (cost < lowest) {
            lowest = cost;
            best = capacity;
        }
    }
    return best;
}

function computeCost(context: PlacementContext, task: PendingTask, capacity: FreeCapacity): number {
    const { shape } = capacity.view.instance;
    const wasteCost = task.resources.accelerators === 0 && shape.accelerators > 0 ? ACCELERATOR_WASTE_COST : 0;
    const crowding = task.kind === "service" ? context.spread.crowding(task.rule, capacity.view) : 0;
    const sameWorkerCost = context.health.lastFailedWorker(task.taskId) === capacity.name ? SAME_WORKER_COST : 0;
    return CROWDING_WEIGHT * crowding + context.interferenceCost.computeCost(task, capacity)
        + FILL_WEIGHT * computeFillCost(task, capacity) + wasteCost
        + sameWorkerCost;
}

/** Prefers empty workers for replicas, and for batch tasks workers whose free cores per slot match the task. */
function computeFillCost(task: PendingTask, capacity: FreeCapacity): number {
    const { shape } = capacity.view.instance;
    if (task.kind === "service") {
        return 1 - capacity.freeCores / shape.cores;
    }
    return Math.abs(task.resources.cores - capacity.freeCores / capacity.freeSlots) / shape.cores
        + capacity.freeCores / shape.cores;
}
