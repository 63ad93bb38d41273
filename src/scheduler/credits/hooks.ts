/**
 * What the credit bank hears of the cells that a scheduler owns.
 */
import type { WorkerInstance } from "../../platform/instances.js";
import type { CreditHooks } from "../hooks.js";
import type { CreditBank } from "./bank.js";

/** Lets the credit bank follow the cells of a scheduler. */
export function createCreditHooks(bank: CreditBank): CreditHooks {
    const toCapacities = (workers: readonly WorkerInstance[]) =>
        workers.map(({ name, shape }) => ({ worker: name, connections: shape.connections }));
    return {
        takeCell: (cell, epoch, workers, now) => bank.takeCell(cell, epoch, toCapacities(workers), now),
        updateWorkers: (cell, workers, now) => bank.updateWorkers(cell, toCapacities(workers), now),
        dropCell: cell => bank.dropCell(cell),
        observeConnections: (cell, report) => bank.observeConnections(report),
    };
}
