/**
 * Interface to the workers: their list, the orders sent to them, and their answers.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import type { Size } from "./size.js";
import type { TaskKey } from "./task-key.js";

/** Longest time after which an order without an answer is still carried out, as the platform documents it. */
export const LATEST_ORDER_MILLISECONDS = 12_000;

/** A worker as the platform lists it. */
export interface ListedWorker {
    readonly id: string;
    readonly pool: string;
    readonly origin: string;
    readonly dataCentre: string;
    /** Labels of the worker: kind and rack. */
    readonly labels: readonly string[];
    readonly capacity: Size;
    readonly isDraining: boolean;
    /** Minimum remaining time of a draining worker; absent if the worker has not announced it. */
    readonly leavesInMilliseconds: number | undefined;
    /** Whether the worker is slow for a while after its start. */
    readonly isCold: boolean;
    /** Differs with each start of the worker. No state survives a restart. */
    readonly incarnation: number;
}

/** Workers that the platform lists. */
export interface WorkerList {
    /** Listed workers by id. */
    current(): ReadonlyMap<string, ListedWorker>;
    /** Whether the list has been read and is not stale because of an outage of its source. */
    isUpToDate(now: number): boolean;
    /** Calls the listener after each change. Returns a function that removes the listener. */
    onChange(listener: () => void): () => void;
}

/** How an attempt ended, as reported by the worker. */
export type AttemptEnd = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** An attempt that a worker runs. */
export interface RunningAttempt {
    readonly task: TaskKey;
    readonly attempt: number;
    /** Latest checkpoint; empty if there is none. */
    readonly checkpoint: string;
    /** Percentage of the work that is done, 0 to 100; for a lasting task 100 once it has started up. */
    readonly percent: number;
    /** Over the last half second: tail latency in milliseconds for a serving task, else thousandths of a core in use. */
    readonly measurement: number;
}

/** An attempt that has ended on a worker. */
export interface EndedAttempt {
    /** Increases with each ended attempt of the worker's incarnation. */
    readonly sequence: number;
    readonly task: TaskKey;
    readonly attempt: number;
    readonly end: AttemptEnd;
    /** Latest checkpoint; empty if there is none. */
    readonly checkpoint: string;
}

/** A worker's report of its attempts. */
export interface WorkerReport {
    readonly incarnation: number | undefined;
    /** The worker's own clock, in milliseconds. */
    readonly clockMilliseconds: number;
    readonly running: readonly RunningAttempt[];
    /** Ends that have not been acknowledged yet, oldest first. */
    readonly ended: readonly EndedAttempt[];
    /** Whether all of them are listed. Otherwise, an attempt that is in neither list may have ended in any way. */
    readonly isComplete: boolean;
}

/** Order that prolongs a worker's lease and requests a report. */
export interface HoldOrder {
    readonly epoch: number;
    /** The worker drops ended attempts up to this sequence. */
    readonly acknowledged: number;
    /** End of the lease for all attempts on the worker, on the worker's clock; absent to leave the lease unchanged. */
    readonly leaseUntilMilliseconds?: number;
    /** How long the worker may delay its answer until an attempt ends. */
    readonly waitMilliseconds: number;
}

/** Order to start an attempt. */
export interface StartOrder {
    readonly epoch: number;
    readonly task: TaskKey;
    readonly attempt: number;
    readonly payload: string;
    readonly leaseUntilMilliseconds: number;
    /** Checkpoint to resume from; empty to start from the beginning. */
    readonly checkpoint: string;
    /** Permission of the queue's advisor, if the queue has one. */
    readonly ticket?: string;
}

/** Order to stop an attempt, or to prevent its start. */
export interface StopOrder {
    readonly epoch: number;
    readonly task: TaskKey;
    readonly attempt: number;
}

/** Order to run an attempt at a percentage of its full speed. */
export interface PaceOrder extends StopOrder {
    readonly percent: number;
}

/** Answer of a worker that executed an order. */
export interface OrderAnswer {
    readonly clockMilliseconds: number;
}

/** Why a worker refused to start an attempt. */
export type StartRefusal = "attempt-over" | "lease-over" | "no-room" | "no-ticket";

/** Outcome of a start order. */
export type StartAnswer =
    | { readonly kind: "started"; readonly clockMilliseconds: number; }
    | { readonly kind: "refused"; readonly refusal: StartRefusal; readonly clockMilliseconds: number | undefined; };

/**
 * Asked when an order is about to be sent, which may be some time after it was given: whether its sender still wants it carried out and may
 * still send it. Otherwise the order fails as `unavailable`.
 */
export type OrderCheck = () => boolean;

/**
 * Sends orders to workers. Failures: `fenced` (newer epoch seen by the worker), `conflict` (another incarnation answers),
 * `unavailable` (not executed), `ambiguous` (may have been executed, or may still be).
 */
export interface WorkerOrders {
    hold(worker: ListedWorker, order: HoldOrder): Promise<Result<WorkerReport, Failure>>;
    start(worker: ListedWorker, order: StartOrder, isWanted: OrderCheck): Promise<Result<StartAnswer, Failure>>;
    stop(worker: ListedWorker, order: StopOrder, isWanted: OrderCheck): Promise<Result<OrderAnswer, Failure>>;
    pace(worker: ListedWorker, order: PaceOrder, isWanted: OrderCheck): Promise<Result<OrderAnswer, Failure>>;
    /** Closes the connections to a worker that is gone. */
    closeConnections(worker: ListedWorker): void;
}
