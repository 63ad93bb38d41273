/**
 * State and functions that the modules of an owned cell share.
 */
import type { EventLog } from "../../core/event-log.js";
import type { Clock } from "../../core/time.js";
import type { JobTable } from "../job-table/job-table.js";
import type { JobsMetrics } from "../metrics.js";
import type { Catalog } from "../model/catalog.js";
import type { WorkerOrders } from "../model/worker.js";
import type { Durations } from "../policy/durations.js";
import type { Interference } from "../policy/interference.js";
import type { CellSettings } from "../settings.js";
import type { OwnershipEvidence } from "./authority.js";
import type { CellClosures } from "./closures.js";
import type { Commits } from "./commits.js";
import type { Crashes } from "./crashes.js";
import type { CellWorker } from "./worker.js";

/** An owned cell, as passed to its modules. */
export interface CellContext {
    readonly name: string;
    readonly epoch: number;
    readonly settings: CellSettings;
    readonly jobTable: JobTable;
    readonly workers: Map<string, CellWorker>;
    readonly orders: WorkerOrders;
    readonly commits: Commits;
    readonly interference: Interference;
    readonly durations: Durations;
    readonly closures: CellClosures;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: JobsMetrics;
    /** Aborted when the cell is given up or taken over. */
    readonly signal: AbortSignal;
    catalog(): Catalog;
    /** Whether orders may still be sent, see `authority.ts`. */
    maySendOrders(now: number): boolean;
    readonly crashes: Crashes;
    /** What shows that this instance still owns the cell. */
    listEvidence(): OwnershipEvidence;
    /** Abandons the cell because another instance owns it now. */
    handleOwnerReplaced(reason: string, peer: string): void;
    /** Runs the dispatcher soon, because a task may have become startable. */
    requestDispatch(): void;
}
