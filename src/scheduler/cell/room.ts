/**
 * Room on workers, counted from the ledger: what the owner checks before it takes a policy's decision in.
 */
import type { WorkerShape } from "../../platform/instances.js";
import type { Ledger } from "../ledger/ledger.js";
import { HOLDING_STATES } from "../ledger/task.js";
import type { TaskSpec } from "../ledger/task.js";

// Sums of fractions of cores differ from the exact sum in the last digits.
const CORES_TOLERANCE = 1e-6;

/** What tasks hold on one worker. */
export interface Room {
    slots: number;
    cores: number;
    memoryBytes: number;
    accelerators: number;
}

/** Counts what the tasks of a draft hold, by worker. */
export function countRoom(ledger: Ledger): Map<string, Room> {
    const rooms = new Map<string, Room>();
    for (const task of ledger.draft.values()) {
        if (task.worker !== undefined && HOLDING_STATES.has(task.state)) {
            takeRoom(rooms, task.worker, ledger.specOf(task));
        }
    }
    return rooms;
}

/** Adds one task to what a worker holds. */
export function takeRoom(rooms: Map<string, Room>, worker: string, { resources }: TaskSpec): void {
    const room = rooms.get(worker) ?? { slots: 0, cores: 0, memoryBytes: 0, accelerators: 0 };
    room.slots += 1;
    room.cores += resources.cores;
    room.memoryBytes += resources.memoryBytes;
    room.accelerators += resources.accelerators;
    rooms.set(worker, room);
}

/** Tells whether a task fits beside what a worker holds. */
export function fits(shape: WorkerShape, room: Room | undefined, { resources }: TaskSpec): boolean {
    return (room?.slots ?? 0) + 1 <= shape.slots
        && (room?.cores ?? 0) + resources.cores <= shape.cores + CORES_TOLERANCE
        && (room?.memoryBytes ?? 0) + resources.memoryBytes <= shape.memoryBytes
        && (room?.accelerators ?? 0) + resources.accelerators <= shape.accelerators;
}
