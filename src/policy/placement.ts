/**
 * Placement of one task: the workers that can take it, and the one that suits it best.
 */
import type { Random } from "../core/random.js";
import type { PlacementConstraints } from "./constraints.js";
import { refuseDataCentre, refuseNeighbours, refuseState } from "./constraints.js";
import type { HarmView } from "./harm.js";
import type { HealthModel } from "./health.js";
import type { PendingTask } from "./policy.js";
import type { ReplicaSpread } from "./replicas.js";
import type { ScarceResource, SizeOf, TaskSize, WorkerRoom } from "./room.js";
import { findShortage, holds, limitToShape } from "./room.js";

/** What places are judged by within one decision. */
export interface PlacementContext {
    readonly rooms: readonly WorkerRoom[];
    readonly constraints: PlacementConstraints;
    readonly spread: ReplicaSpread;
    readonly sizeOf: SizeOf;
    readonly harm: HarmView;
    readonly health: HealthModel;
    readonly now: number;
    readonly random: Random;
    /** Workers with room that are compared for a batch task. */
    readonly candidates: number;
}

/** A worker for a task, and what the task counts for there. */
export interface Place {
    readonly room: WorkerRoom;
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
const ACCELERATOR_WASTE = 0.5;
/** Weight of how well a task fits what is left of a worker, which decides where harm does not. */
const FILL_PRICE = 0.01;
/** Cost of the worker on which the task failed last. */
const SAME_WORKER_PRICE = 1;

/** Gives what a task counts for on a worker. */
export function measureSize(context: PlacementContext, task: PendingTask, room: WorkerRoom): TaskSize {
    return limitToShape(context.sizeOf(task), room.view.instance.shape);
}

/** Says why a worker cannot take a task now, or `undefined` where it can. */
export function refusePlace(context: PlacementContext, task: PendingTask, room: WorkerRoom): string | undefined {
    return refuseWorker(context, task, room) ?? refuseRoom(context, task, room);
}

/** Says why a worker would not take a task even if it were empty, or `undefined` where it would. */
export function refuseWorker(context: PlacementContext, task: PendingTask, room: WorkerRoom): string | undefined {
    return refuseForever(context, task, room) ?? refuseState(room.view) ?? refuseTrust(context, task, room);
}

/** On probation a worker gets one batch task at a time, which may fail without harm to callers. */
function refuseTrust(context: PlacementContext, task: PendingTask, room: WorkerRoom): string | undefined {
    const trust = context.health.trust(room.name, context.now);
    if (trust === "trusted") {
        return undefined;
    }
    if (trust === "quarantine") {
        return "worker is in quarantine";
    }
    const tried = room.occupants.length > room.view.tasks.length
        || room.view.tasks.some(placed => context.health.isTrial(room.name, placed));
    return task.kind === "batch" && !tried ? undefined : "worker is on probation";
}

/** Says why a worker could never take a task, whatever its state, or `undefined` where it could. */
export function refuseForever(context: PlacementContext, task: PendingTask, room: WorkerRoom): string | undefined {
    const { shape, dataCentre } = room.view.instance;
    const refusal = refuseDataCentre(context.constraints, task, dataCentre);
    if (refusal !== undefined) {
        return refusal;
    }
    return holds(shape, task.resources) ? undefined : "task is larger than the worker";
}

function refuseRoom(context: PlacementContext, task: PendingTask, room: WorkerRoom): string | undefined {
    const shortage = findShortage(room, measureSize(context, task, room));
    return shortage === undefined
        ? refuseNeighbours(context.constraints, task.rule, room) ?? context.harm.refuse(task, room)
        : SHORTAGE_REASONS[shortage];
}

/** Finds the best place for a task; `undefined` where no worker can take it now. */
export function findPlace(context: PlacementContext, task: PendingTask): Place | undefined {
    const best = task.kind === "service"
        ? pickCheapest(context, task, context.rooms.filter(room => refusePlace(context, task, room) === undefined))
        : pickCheapest(context, task, sampleRooms(context, task));
    return best === undefined ? undefined : { room: best, size: measureSize(context, task, best) };
}

/** Collects workers with room from a random one on, so that the cost does not grow with the cell. */
function sampleRooms(context: PlacementContext, task: PendingTask): WorkerRoom[] {
    const { rooms, candidates } = context;
    const found: WorkerRoom[] = [];
    const first = Math.floor(context.random() * rooms.length);
    for (let step = 0; step < rooms.length && found.length < candidates; step += 1) {
        const room = rooms[(first + step) % rooms.length];
        if (room !== undefined && refusePlace(context, task, room) === undefined) {
            found.push(room);
        }
    }
    return found;
}

function pickCheapest(
    context: PlacementContext,
    task: PendingTask,
    rooms: readonly WorkerRoom[],
): WorkerRoom | undefined {
    let best: WorkerRoom | undefined;
    let lowest = Number.POSITIVE_INFINITY;
    for (const room of rooms) {
        const cost = costOf(context, task, room);
        if (cost < lowest) {
            lowest = cost;
            best = room;
        }
    }
    return best;
}

function costOf(context: PlacementContext, task: PendingTask, room: WorkerRoom): number {
    const { shape } = room.view.instance;
    const waste = task.resources.accelerators === 0 && shape.accelerators > 0 ? ACCELERATOR_WASTE : 0;
    const crowding = task.kind === "service" ? context.spread.crowding(task.rule, room.view) : 0;
    const again = context.health.failedOn(task.taskId) === room.name ? SAME_WORKER_PRICE : 0;
    return CROWDING_WEIGHT * crowding + context.harm.costOf(task, room) + FILL_PRICE * measureFill(task, room) + waste
        + again;
}

/** Replicas prefer empty workers. Batch prefers workers whose free cores and slots it uses up alike. */
function measureFill(task: PendingTask, room: WorkerRoom): number {
    const { shape } = room.view.instance;
    if (task.kind === "service") {
        return 1 - room.freeCores / shape.cores;
    }
    return Math.abs(task.resources.cores - room.freeCores / room.freeSlots) / shape.cores
        + room.freeCores / shape.cores;
}
