/**
 * What the credit bank hears of the cells that a scheduler owns.
 */
import type { WorkerInstance } from "../../platform/instances.js";
import type { CreditHooks } from "../hooks.js";
import type { CreditAllocator } from "./allocator.js";

/** Lets the credit bank follow the cells of a scheduler. */
export function createCreditHooks(allocator: CreditAllocator): CreditHooks {
    const toCapacities = (workers: readonly WorkerInstance[]) =>
        workers.map(({ name, shape }) => ({ worker: name, connections: shape.connections }));
    return {
        addCell: (cell, epoch, workers, now) => allocator.addCell(cell, epoch, toCapacities(workers), now),
        updateWorkers: (cell, workers, now) => allocator.updateWorkers(cell, toCapacities(workers), now),
        removeCell: cell => allocator.removeCell(cell),
        observeConnections: (cell, report) => allocator.observeConnections(report),
    };
}
