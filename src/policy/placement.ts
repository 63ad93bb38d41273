/**
 * Placement of one task: the workers that can take it, and the one that suits it best.
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

/** What places are judged by within one decision. */
export interface PlacementContext {
    readonly capacities: readonly FreeCapacity[];
    readonly constraints: PlacementConstraints;
    readonly spread: ReplicaSpread;
    readonly sizeOf: SizeOf;
    readonly interferenceCost: InterferenceCost;
    readonly health: HealthModel;
    readonly now: number;
    readonly random: Random;
    /** Workers with room that are compared for a batch task. */
    readonly candidates: number;
}

/** A worker for a task, and what the task counts for there. */
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

/** Weight of a service's spread against harm and load, so that spread decides first. */
const CROWDING_WEIGHT = 1_000;
/** Cost of a place on a worker with accelerators for a task that needs none. */
const ACCELERATOR_WASTE_COST = 0.5;
/** Weight of how well a task fits what is left of a worker, which decides where harm does not. */
const FILL_WEIGHT = 0.01;
/** Cost of the worker on which the task failed last. */
const SAME_WORKER_COST = 1;

/** Gives what a task counts for on a worker. */
export function computeSize(context: PlacementContext, task: PendingTask, capacity: FreeCapacity): TaskSize {
    return limitToShape(context.sizeOf(task), capacity.view.instance.shape);
}

/** Says why a worker cannot take a task now, or `undefined` where it can. */
export function findPlacementRefusal(
    context: PlacementContext,
    task: PendingTask,
    capacity: FreeCapacity,
): string | undefined {
    return findWorkerRefusal(context, task, capacity) ?? findCapacityRefusal(context, task, capacity);
}

/** Says why a worker would not take a task even if it were empty, or `undefined` where it would. */
export function findWorkerRefusal(
    context: PlacementContext,
    task: PendingTask,
    capacity: FreeCapacity,
): string | undefined {
    return findPermanentRefusal(context, task, capacity) ?? findWorkerStateRefusal(capacity.view)
        ?? findHealthRefusal(context, task, capacity);
}

/** On probation a worker gets one batch task at a time, which may fail without harm to callers. */
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

/** Says why a worker could never take a task, whatever its state, or `undefined` where it could. */
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

/** Finds the best place for a task; `undefined` where no worker can take it now. */
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

/** Collects workers with room from a random one on, so that the cost does not grow with the cell. */
function sampleCandidates(context: PlacementContext, task: PendingTask): FreeCapacity[] {
    const { capacities: rooms, candidates } = context;
    const found: FreeCapacity[] = [];
    const first = Math.floor(context.random() * rooms.length);
    for (let step = 0; step < rooms.length && found.length < candidates; step += 1) {
        const capacity = rooms[(first + step) % rooms.length];
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

/** Replicas prefer empty workers. Batch prefers workers whose free cores and slots it uses up alike. */
function computeFillCost(task: PendingTask, capacity: FreeCapacity): number {
    const { shape } = capacity.view.instance;
    if (task.kind === "service") {
        return 1 - capacity.freeCores / shape.cores;
    }
    return Math.abs(task.resources.cores - capacity.freeCores / capacity.freeSlots) / shape.cores
        + capacity.freeCores / shape.cores;
}
