/**
 * Interface between a cell's owner and the policy: the owner passes a view of the cell, the policy returns decisions.
 *
 * The owner commits decisions to the ledger before it carries them out. The policy keeps only its learned models and
 * the
 * limits on its own actions.
 */
import type { WorkerInstance } from "../platform/instances.js";
import type { WorkerReport } from "../platform/worker.js";
import type { PlacementRule, Resources } from "../rules/rule.js";

/** A task that occupies a worker, from the decision to start it until its end is confirmed. */
export interface PlacedTask {
    readonly taskId: string;
    readonly attempt: number;
    readonly rule: string;
    readonly team: string;
    readonly kind: "service" | "batch";
    readonly resources: Resources;
    readonly priority: number;
    /** `moving` tasks are being evicted or stopped; they occupy the worker until their end is confirmed. */
    readonly state: "starting" | "running" | "moving";
    readonly startedAtMilliseconds: number;
    /** Share of the work completed at the last report and at the last checkpoint, 0 to 1. */
    readonly progress: number;
    readonly checkpointProgress: number;
    readonly evictions: number;
    /** Share of the declared cores that the task may use now, 0 to 1. */
    readonly throttleShare: number;
}

/** A task that waits for placement. */
export interface PendingTask {
    readonly taskId: string;
    readonly rule: string;
    readonly team: string;
    readonly kind: "service" | "batch";
    readonly resources: Resources;
    readonly priority: number;
    readonly dataCentres: readonly string[];
    readonly submittedAtMilliseconds: number;
    /** Earliest start, as back-off after a failure. */
    readonly notBeforeMilliseconds: number;
    readonly failures: number;
    /** Failed attempts that are allowed; the task is parked when it exceeds them. */
    readonly retries: number;
    readonly evictions: number;
}

/** A worker and the tasks that occupy it. */
export interface WorkerView {
    readonly instance: WorkerInstance;
    /** Only `live` workers get new tasks. */
    readonly state: "live" | "leaving" | "draining" | "silent";
    readonly tasks: readonly PlacedTask[];
}

/** The part of a team's quota that is still available in this cell. */
export interface QuotaSlice {
    readonly team: string;
    readonly cores: number;
    readonly memoryBytes: number;
    readonly accelerators: number;
}

/** Input of a decision: the state of one cell. */
export interface CellView {
    readonly cell: string;
    readonly workers: readonly WorkerView[];
    readonly pending: readonly PendingTask[];
    /** Teams without a slice are not limited. */
    readonly quotas: readonly QuotaSlice[];
    readonly placements: readonly PlacementRule[];
}

/** A decision of the policy on one task or worker. */
export type Decision =
    | { readonly kind: "place"; readonly taskId: string; readonly worker: string; }
    | { readonly kind: "throttle"; readonly taskId: string; readonly share: number; readonly reason: string; }
    /** Checkpoint and stop, to be resumed. */
    | { readonly kind: "evict"; readonly taskId: string; readonly reason: string; }
    /** Stop a replica that is surplus or stays too slow; a replacement is started. */
    | { readonly kind: "stop"; readonly taskId: string; readonly reason: string; }
    /** Set the task aside, because it cannot run in this cell or has failed too often. */
    | { readonly kind: "park"; readonly taskId: string; readonly reason: string; }
    | { readonly kind: "quarantine"; readonly worker: string; readonly reason: string; }
    | { readonly kind: "release"; readonly worker: string; };

/** The end of an attempt and its outcome. */
export interface AttemptEnd {
    readonly taskId: string;
    readonly rule: string;
    readonly worker: string;
    readonly outcome: "finished" | "failed" | "refused" | "lapsed";
    readonly reason: string;
}

/** A reason why a task cannot be placed now, and the number of workers that it applies to. */
export interface Refusal {
    readonly reason: string;
    readonly workers: number;
}

/** Decides for one cell. */
export interface Policy {
    /** Processes a usage report; old, repeated and future ones are recognised by their measurement time and ignored. */
    observeReport(report: WorkerReport, now: number): void;
    /** Updates worker health with the end of an attempt. */
    observeEnd(end: AttemptEnd, now: number): void;
    decide(view: CellView, now: number): readonly Decision[];
    /** Explains why a pending task is not placed. */
    explain(view: CellView, taskId: string, now: number): readonly Refusal[];
    /** Returns the workers in quarantine or on probation. */
    quarantined(now: number): readonly string[];
}
