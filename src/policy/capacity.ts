/**
 * Free capacity of workers: their shape minus the placed tasks and the tasks placed by the current decision.
 */
import type { WorkerShape } from "../platform/instances.js";
import type { Resources } from "../rules/rule.js";
import type { PlacedTask, WorkerView } from "./policy.js";

/** Tolerance for rounding errors in sums of fractional cores. */
const CORES_TOLERANCE = 1e-9;

/** Resources that limit placement on a worker. */
export type ScarceResource = "slots" | "cores" | "memory" | "accelerators";

/** A task that occupies capacity, placed earlier or by the current decision. */
export interface Occupant {
    readonly taskId: string;
    readonly rule: string;
    readonly kind: "service" | "batch";
    readonly resources: Resources;
    /** Share of its cores that the task may use; 1 for tasks placed by the current decision. */
    readonly throttleShare: number;
}

/**
 * Size of a task for placement. A task must fit both by its declared resources and by its measured use: a rule that
 * uses
 * more than it declares reduces the capacity for others, and one that uses less does not increase it.
 */
export interface TaskSize extends Resources {
    readonly usedCores: number;
    readonly usedMemoryBytes: number;
}

/** Free capacity of a worker; reservations change it in place. */
export interface FreeCapacity {
    readonly view: WorkerView;
    readonly name: string;
    readonly occupants: Occupant[];
    freeSlots: number;
    freeCores: number;
    freeMemoryBytes: number;
    freeAccelerators: number;
    /** Capacity minus measured use; negative if tasks use more than the worker has. */
    unusedCores: number;
    unusedMemoryBytes: number;
}

/** Returns the size of a task. */
export type SizeOf = (task: { readonly rule: string; readonly resources: Resources; }) => TaskSize;

/** Computes the free capacity of all workers; each placed task counts in full, whatever its state. */
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

/** Reserves capacity for a task. */
export function reserveCapacity(
    capacity: FreeCapacity,
    task: Omit<Occupant, "throttleShare"> | PlacedTask,
    size: TaskSize,
): void {
    addCapacity(capacity, size, -1);
    capacity.occupants.push("throttleShare" in task ? task : { ...task, throttleShare: 1 });
}

/** Adds the capacity of `tasks` tasks of a size; a negative number subtracts it. */
export function addCapacity(capacity: FreeCapacity, size: TaskSize, tasks: number): void {
    capacity.freeSlots += tasks;
    capacity.freeCores += tasks * size.cores;
    capacity.freeMemoryBytes += tasks * size.memoryBytes;
    capacity.freeAccelerators += tasks * size.accelerators;
    capacity.unusedCores += tasks * size.usedCores;
    capacity.unusedMemoryBytes += tasks * size.usedMemoryBytes;
}

/** Returns the first resource that is insufficient, or `undefined` if the size fits. */
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

/** Returns whether the size fits on an empty worker of the shape. */
export function fitsShape(shape: WorkerShape, size: Resources): boolean {
    return shape.cores + CORES_TOLERANCE >= size.cores
        && shape.memoryBytes >= size.memoryBytes
        && shape.accelerators >= size.accelerators;
}

/** Limits measured use to the worker's shape, so that a task whose declared size fits stays placeable. */
export function limitToShape(size: TaskSize, shape: WorkerShape): TaskSize {
    return {
        ...size,
        usedCores: Math.min(size.usedCores, shape.cores),
        usedMemoryBytes: Math.min(size.usedMemoryBytes, shape.memoryBytes),
    };
}
