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

/** A worker's free room. Taking room changes it in place. */
export interface WorkerRoom {
    readonly view: WorkerView;
    readonly name: string;
    readonly occupants: Occupant[];
    freeSlots: number;
    freeCores: number;
    freeMemoryBytes: number;
    freeAccelerators: number;
}

/** Gives what a task counts for: its declared size, or more where reports have shown more. */
export type SizeOf = (task: { readonly rule: string; readonly resources: Resources; }) => Resources;

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
    };
    for (const task of view.tasks) {
        takeRoom(room, task, sizeOf(task));
    }
    return room;
}

/** Takes room for a task. */
export function takeRoom(room: WorkerRoom, task: Omit<Occupant, "throttleShare"> | PlacedTask, size: Resources): void {
    room.freeSlots -= 1;
    room.freeCores -= size.cores;
    room.freeMemoryBytes -= size.memoryBytes;
    room.freeAccelerators -= size.accelerators;
    room.occupants.push("throttleShare" in task ? task : { ...task, throttleShare: 1 });
}

/** Names the first resource that runs short, or `undefined` where the size fits. */
export function findShortage(room: WorkerRoom, size: Resources): ScarceResource | undefined {
    if (room.freeSlots < 1) {
        return "slots";
    }
    if (room.freeCores + CORES_TOLERANCE < size.cores) {
        return "cores";
    }
    if (room.freeMemoryBytes < size.memoryBytes) {
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

/** Cuts a corrected size to the shape, so that a task whose declared size fits keeps a place. */
export function limitToShape(size: Resources, declared: Resources, shape: WorkerShape): Resources {
    return {
        cores: Math.max(declared.cores, Math.min(size.cores, shape.cores)),
        memoryBytes: Math.max(declared.memoryBytes, Math.min(size.memoryBytes, shape.memoryBytes)),
        accelerators: Math.max(declared.accelerators, Math.min(size.accelerators, shape.accelerators)),
    };
}
