/**
 * Interface between the owner of cells and the bank of connection credits.
 */
import type { WorkerInstance } from "../platform/instances.js";
import type { WorkerReport } from "../platform/worker.js";

/** What a bank of connection credits hears of the cells that this scheduler owns. */
export interface CreditHooks {
    /** The scheduler owns the cell from now on. A predecessor may have granted credits until just before. */
    addCell(cell: string, epoch: number, workers: readonly WorkerInstance[], now: number): void;
    /** The cell's workers have changed. */
    updateWorkers(cell: string, workers: readonly WorkerInstance[], now: number): void;
    /** The scheduler no longer owns the cell. */
    removeCell(cell: string): void;
    /** A worker of the cell has reported the connections that gateways have open to it. */
    observeConnections(cell: string, report: WorkerReport, now: number): void;
}
