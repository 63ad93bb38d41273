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
export interface FreeCapacity {
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
export function createFreeCapacities(workers: readonly WorkerView[], sizeOf: SizeOf): FreeCapacity[] {
    return workers.map(view => createFreeCapacity(view, sizeOf));
}

function createFreeCapacity(view: WorkerView, sizeOf: SizeOf): FreeCapacity {
    const { shape } = view.instance;
    const capacity: FreeCapacity = {
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
        reserveCapacity(capacity, task, sizeOf(task));
    }
    return capacity;
}

/** Takes room for a task. */
export function reserveCapacity(
    capacity: FreeCapacity,
    task: Omit<Occupant, "throttleShare"> | PlacedTask,
    size: TaskSize,
): void {
    addCapacity(capacity, size, -1);
    capacity.occupants.push("throttleShare" in task ? task : { ...task, throttleShare: 1 });
}

/** Adds the room of a number of tasks of a size. */
export function addCapacity(capacity: FreeCapacity, size: TaskSize, tasks: number): void {
    capacity.freeSlots += tasks;
    capacity.freeCores += tasks * size.cores;
    capacity.freeMemoryBytes += tasks * size.memoryBytes;
    capacity.freeAccelerators += tasks * size.accelerators;
    capacity.unusedCores += tasks * size.usedCores;
    capacity.unusedMemoryBytes += tasks * size.usedMemoryBytes;
}

/** Names the first resource that runs short, or `undefined` where the size fits. */
export function findShortage(capacity: FreeCapacity, size: TaskSize): ScarceResource | undefined {
    if (capacity.freeSlots < 1) {
        return "slots";
    }
    if (Math.min(capacity.freeCores - size.cores, capacity.unusedCores - size.usedCores) < -CORES_TOLERANCE) {
        return "cores";
    }
    if (capacity.freeMemoryBytes < size.memoryBytes || capacity.unusedMemoryBytes < size.usedMemoryBytes) {
        return "memory";
    }
    return capacity.freeAccelerators < size.accelerators ? "accelerators" : undefined;
}

/** Tells whether an empty worker of the shape holds the size. */
export function fitsShape(shape: WorkerShape, size: Resources): boolean {
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
