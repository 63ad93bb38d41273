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
export interface ReservedResources {
    slots: number;
    cores: number;
    memoryBytes: number;
    accelerators: number;
}

/** Counts what the tasks of a draft hold, by worker. */
export function sumReservations(ledger: Ledger): Map<string, ReservedResources> {
    const reservations = new Map<string, ReservedResources>();
    for (const task of ledger.draft.values()) {
        if (task.worker !== undefined && HOLDING_STATES.has(task.state)) {
            addReservation(reservations, task.worker, ledger.specOf(task));
        }
    }
    return reservations;
}

/** Adds one task to what a worker holds. */
export function addReservation(
    reservations: Map<string, ReservedResources>,
    worker: string,
    { resources }: TaskSpec,
): void {
    const reserved = reservations.get(worker) ?? { slots: 0, cores: 0, memoryBytes: 0, accelerators: 0 };
    reserved.slots += 1;
    reserved.cores += resources.cores;
    reserved.memoryBytes += resources.memoryBytes;
    reserved.accelerators += resources.accelerators;
    reservations.set(worker, reserved);
}

/** Tells whether a task fits beside what a worker holds. */
export function fits(shape: WorkerShape, reserved: ReservedResources | undefined, { resources }: TaskSpec): boolean {
    return (reserved?.slots ?? 0) + 1 <= shape.slots
        && (reserved?.cores ?? 0) + resources.cores <= shape.cores + CORES_TOLERANCE
        && (reserved?.memoryBytes ?? 0) + resources.memoryBytes <= shape.memoryBytes
        && (reserved?.accelerators ?? 0) + resources.accelerators <= shape.accelerators;
}
