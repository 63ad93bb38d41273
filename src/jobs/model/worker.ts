/**
 * Port of the workers: who they are, what they are told, and what they answer.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import type { Size } from "./size.js";
import type { TaskKey } from "./task-key.js";

/** A worker as the platform lists it. */
export interface ListedWorker {
    readonly id: string;
    readonly pool: string;
    readonly origin: string;
    readonly dataCentre: string;
    /** Kind and rack. */
    readonly labels: readonly string[];
    readonly capacity: Size;
    readonly isDraining: boolean;
    /** While it drains: time that is left at least; absent where it has not said. */
    readonly leavesInMilliseconds: number | undefined;
    /** Differs with each start of the worker; it knows nothing of its life before. */
    readonly incarnation: number;
}

/** Workers that the platform lists. */
export interface WorkerList {
    /** Listed workers by id. */
    current(): ReadonlyMap<string, ListedWorker>;
    /** Whether the list has been read, and is not known to lag behind an outage of its source. */
    isUpToDate(now: number): boolean;
    /** Calls a function after each change, until the returned function is called. */
    onChange(listener: () => void): () => void;
}

/** How an attempt ended, in the worker's words. */
export type AttemptEnd = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

/** An attempt that a worker runs. */
export interface RunningAttempt {
    readonly task: TaskKey;
    readonly attempt: number;
    /** Newest checkpoint; empty without one. */
    readonly checkpoint: string;
    /** Share of the work that is done, 0 to 100; for a lasting task 100 once it is at work. */
    readonly percent: number;
    /** Over the last half second: tail latency in milliseconds of a task that serves, else thousandths of a core in use. */
    readonly measurement: number;
}

/** An attempt that has ended on a worker. */
export interface EndedAttempt {
    /** Rises with each end of the worker's incarnation. */
    readonly sequence: number;
    readonly task: TaskKey;
    readonly attempt: number;
    readonly end: AttemptEnd;
    /** Newest checkpoint; empty without one. */
    readonly checkpoint: string;
}

/** What a worker says about its attempts. */
export interface WorkerReport {
    readonly incarnation: number | undefined;
    /** The worker's own clock, in milliseconds. */
    readonly clockMilliseconds: number;
    readonly running: readonly RunningAttempt[];
    /** Ends that have not been acknowledged yet, oldest first. */
    readonly ended: readonly EndedAttempt[];
}

/** Order to hold a worker's lease and to report. */
export interface HoldOrder {
    readonly epoch: number;
    /** Ends up to this sequence are forgotten. */
    readonly acknowledged: number;
    /** Until when everything on the worker may run, on the worker's clock; absent to prolong nothing. */
    readonly leaseUntilMilliseconds?: number;
    /** How long the answer may wait for an end. */
    readonly waitMilliseconds: number;
}

/** Order to start an attempt. */
export interface StartOrder {
    readonly epoch: number;
    readonly task: TaskKey;
    readonly attempt: number;
    readonly payload: string;
    readonly leaseUntilMilliseconds: number;
    /** Where a former attempt left off; empty to begin anew. */
    readonly checkpoint: string;
    /** Leave of the queue's advisor, where it has one. */
    readonly ticket?: string;
}

/** Order to stop an attempt, or to see to it that it never starts. */
export interface StopOrder {
    readonly epoch: number;
    readonly task: TaskKey;
    readonly attempt: number;
}

/** Order to let an attempt work at a share of its speed. */
export interface PaceOrder extends StopOrder {
    readonly percent: number;
}

/** Answer of a worker that carried an order out. */
export interface OrderAnswer {
    readonly clockMilliseconds: number;
}

/** Why a worker refused to start an attempt. */
export type StartRefusal = "attempt-over" | "lease-over" | "no-room" | "no-ticket";

/** What became of a start order. */
export type StartAnswer =
    | { readonly kind: "started"; readonly clockMilliseconds: number; }
    | { readonly kind: "refused"; readonly refusal: StartRefusal; readonly clockMilliseconds: number | undefined; };

/**
 * Orders to workers. Failures: `fenced` (the worker has seen a newer epoch), `conflict` (another incarnation is there),
 * `unavailable` (nothing was done), `ambiguous` (it may have been carried out, or may be yet).
 */
export interface WorkerOrders {
    hold(worker: ListedWorker, order: HoldOrder): Promise<Result<WorkerReport, Failure>>;
    start(worker: ListedWorker, order: StartOrder): Promise<Result<StartAnswer, Failure>>;
    stop(worker: ListedWorker, order: StopOrder): Promise<Result<OrderAnswer, Failure>>;
    pace(worker: ListedWorker, order: PaceOrder): Promise<Result<OrderAnswer, Failure>>;
    /** Lets go of the connections to a worker that is gone. */
    closeConnections(worker: ListedWorker): void;
}
