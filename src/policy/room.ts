/**
 * Room on workers: what each can hold, what its tasks take, and what one decision has given away already.
 */
import type { WorkerShape } from "../platform/instances.js";
import type { Resources } from "../rules/rule.js";
import type { PlacedTask, WorkerView } from "./policy.js";

/** Cores are sums of fractions; differences below this are rounding. */
const CORES_TOLERANCE = 1e-9;

/** The resources that can run short on a worker. */
export type ScarceResource = "slots" | "cores" | "memory" | "accelerators";

/** A task that takes room, placed before or by the decision under way. */
export interface Occupant {
    readonly taskId: string;
    readonly rule: string;
    readonly kind: "service" | "batch";
    readonly resources: Resources;
    /** Share of its cores that it may use; 1 for tasks placed by the decision under way. */
    readonly throttleShare: number;
}

/**
 * What a task counts for. Tasks must fit by both measures: what was declared, and what reports have shown to be used.
 * So a rule that uses more than it declared takes room from others, and one that uses less does not give any away.
 */
export interface TaskSize extends Resources {
    readonly usedCores: number;
    readonly usedMemoryBytes: number;
}

/** A worker's free room. Taking room changes it in place. */
export interface WorkerRoom {
    readonly view: WorkerView;
    readonly name: string;
    readonly occupants: Occupant[];
    freeSlots: number;
    freeCores: number;
    freeMemoryBytes: number;
    freeAccelerators: number;
    /** Room by what reports have shown to be used; below 0 where tasks use more than the worker has. */
    unusedCores: number;
    unusedMemoryBytes: number;
}

/** Gives what a task counts for. */
export type SizeOf = (task: { readonly rule: string; readonly resources: Resources; }) => TaskSize;

/** Creates the rooms of all workers; every placed task counts in full, whatever its state. */
export function createRooms(workers: readonly WorkerView[], sizeOf: SizeOf): WorkerRoom[] {
    return workers.map(view => createRoom(view, sizeOf));
}

function createRoom(view: WorkerView, sizeOf: SizeOf): WorkerRoom {
    const { shape } = view.instance;
    const room: WorkerRoom = {
        view,
        name: view.instance.name,
        occupants: [],
        freeSlots: shape.slots,
        freeCores: shape.cores,
        freeMemoryBytes: shape.memoryBytes,
        freeAccelerators: shape.accelerators,
        unusedCores: shape.cores,
        unusedMemoryBytes: shape.memoryBytes,
    };
    for (const task of view.tasks) {
        takeRoom(room, task, sizeOf(task));
    }
    return room;
}

/** Takes room for a task. */
export function takeRoom(room: WorkerRoom, task: Omit<Occupant, "throttleShare"> | PlacedTask, size: TaskSize): void {
    addRoom(room, size, -1);
    room.occupants.push("throttleShare" in task ? task : { ...task, throttleShare: 1 });
}

/** Adds the room of a number of tasks of a size. */
export function addRoom(room: WorkerRoom, size: TaskSize, tasks: number): void {
    room.freeSlots += tasks;
    room.freeCores += tasks * size.cores;
    room.freeMemoryBytes += tasks * size.memoryBytes;
    room.freeAccelerators += tasks * size.accelerators;
    room.unusedCores += tasks * size.usedCores;
    room.unusedMemoryBytes += tasks * size.usedMemoryBytes;
}

/** Names the first resource that runs short, or `undefined` where the size fits. */
export function findShortage(room: WorkerRoom, size: TaskSize): ScarceResource | undefined {
    if (room.freeSlots < 1) {
        return "slots";
    }
    if (Math.min(room.freeCores - size.cores, room.unusedCores - size.usedCores) < -CORES_TOLERANCE) {
        return "cores";
    }
    if (room.freeMemoryBytes < size.memoryBytes || room.unusedMemoryBytes < size.usedMemoryBytes) {
        return "memory";
    }
    return room.freeAccelerators < size.accelerators ? "accelerators" : undefined;
}

/** Tells whether an empty worker of the shape holds the size. */
export function holds(shape: WorkerShape, size: Resources): boolean {
    return shape.cores + CORES_TOLERANCE >= size.cores
        && shape.memoryBytes >= size.memoryBytes
        && shape.accelerators >= size.accelerators;
}

/** Cuts what a task uses to the worker's shape, so that a task whose declared size fits keeps a place. */
export function limitToShape(size: TaskSize, shape: WorkerShape): TaskSize {
    return {
        ...size,
        usedCores: Math.min(size.usedCores, shape.cores),
        usedMemoryBytes: Math.min(size.usedMemoryBytes, shape.memoryBytes),
    };
}
