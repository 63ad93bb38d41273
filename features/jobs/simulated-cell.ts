/**
 * An owned cell whose workers are simulated by functions, for scenarios on single orders.
 */
import { createMetrics } from "../../src/core/metrics.js";
import { systemClock } from "../../src/core/time.js";
import type { CellContext } from "../../src/jobs/cell/context.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { createJobsMetrics } from "../../src/jobs/metrics.js";
import type { WorkerOrders } from "../../src/jobs/model/worker.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { CellSettings } from "../../src/jobs/settings.js";
import { QUEUE } from "./builders.js";
import { silentLog } from "./successions.js";

/** Parts of a simulated cell that scenarios look at or change. */
export interface SimulatedCellOptions
    extends Partial<Pick<CellContext, "catalog" | "clock" | "closures" | "crashes" | "maySendOrders">>
{
    readonly jobTable: JobTable;
    readonly orders: Partial<WorkerOrders>;
    readonly signal: AbortSignal;
}

/** Creates a cell that may send orders, and whose commits succeed at once. */
export function createSimulatedCell({ jobTable, orders, signal, ...changed }: SimulatedCellOptions): CellContext {
    const queues = new Map([[QUEUE.name, QUEUE]]);
    const cell: Partial<CellContext> = {
        epoch: 1,
        settings: CellSettings.parse({}),
        jobTable,
        orders: orders as WorkerOrders,
        commits: {
            requestCommit: () => undefined,
            confirmedAtMilliseconds: systemClock,
            committedAtMilliseconds: systemClock,
        } as unknown as CellContext["commits"],
        crashes: { record: () => undefined, isUnderReview: () => false, review: () => undefined },
        interference: createInterference(),
        durations: createDurations(),
        closures: { isClosed: () => false, areConfirmed: () => true, run: async () => undefined },
        clock: systemClock,
        log: silentLog,
        metrics: createJobsMetrics(createMetrics({}, "usage")),
        signal,
        catalog: () => ({ version: 1, queues, admissionCheckedPools: new Set() }),
        maySendOrders: () => true,
        requestDispatch: () => undefined,
        ...changed,
    };
    return cell as CellContext;
}
