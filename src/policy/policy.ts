/**
 * Interface between a cell's owner and the policy: what the owner shows, and what the policy decides.
 *
 * The owner commits decisions to the ledger before it carries them out. The policy keeps only what it has learned.
 */
import type { WorkerInstance } from "../platform/instances.js";
import type { WorkerReport } from "../platform/worker.js";
import type { PlacementRule, Resources } from "../rules/rule.js";

/** A task that holds room on a worker, from the decision to start it until its end is confirmed. */
export interface PlacedTask {
    readonly taskId: string;
    readonly attempt: number;
    readonly rule: string;
    readonly team: string;
    readonly kind: "service" | "batch";
    readonly resources: Resources;
    readonly priority: number;
    /** `moving` tasks are on their way out; their room counts until they are gone. */
    readonly state: "starting" | "running" | "moving";
    readonly startedAtMilliseconds: number;
    /** Share of the work done at the last report and at the last checkpoint, 0 to 1. */
    readonly progress: number;
    readonly checkpointProgress: number;
    readonly evictions: number;
    /** Share of the declared cores that it may use now. */
    readonly throttleShare: number;
}

/** A task that waits for a place. */
export interface PendingTask {
    readonly taskId: string;
    readonly rule: string;
    readonly team: string;
    readonly kind: "service" | "batch";
    readonly resources: Resources;
    readonly priority: number;
    readonly dataCentres: readonly string[];
    readonly submittedAtMilliseconds: number;
    /** Not to be started earlier (back-off after a failure). */
    readonly notBeforeMilliseconds: number;
    readonly failures: number;
    /** Attempts that may fail before it is parked. */
    readonly retries: number;
    readonly evictions: number;
}

/** A worker with what holds room on it. */
export interface WorkerView {
    readonly instance: WorkerInstance;
    /** Only `live` workers get new tasks. */
    readonly state: "live" | "leaving" | "draining" | "silent";
    readonly tasks: readonly PlacedTask[];
}

/** The room that a team may still take in this cell. */
export interface QuotaSlice {
    readonly team: string;
    readonly cores: number;
    readonly memoryBytes: number;
    readonly accelerators: number;
}

/** All that a decision is made from. */
export interface CellView {
    readonly cell: string;
    readonly workers: readonly WorkerView[];
    readonly pending: readonly PendingTask[];
    /** Teams without a slice are not limited. */
    readonly quotas: readonly QuotaSlice[];
    readonly placements: readonly PlacementRule[];
}

/** One decision. */
export type Decision =
    | { readonly kind: "place"; readonly taskId: string; readonly worker: string; }
    | { readonly kind: "throttle"; readonly taskId: string; readonly share: number; readonly reason: string; }
    /** Checkpoint and stop, to be resumed. */
    | { readonly kind: "evict"; readonly taskId: string; readonly reason: string; }
    /** Stop a surplus or harmful replica; another takes its place. */
    | { readonly kind: "stop"; readonly taskId: string; readonly reason: string; }
    /** Cannot run here; set aside with the reason. */
    | { readonly kind: "park"; readonly taskId: string; readonly reason: string; }
    | { readonly kind: "quarantine"; readonly worker: string; readonly reason: string; }
    | { readonly kind: "release"; readonly worker: string; };

/** How an attempt ended. */
export interface AttemptEnd {
    readonly taskId: string;
    readonly rule: string;
    readonly worker: string;
    readonly outcome: "finished" | "failed" | "refused" | "lapsed";
    readonly reason: string;
}

/** Why a task cannot be placed now, counted over the workers. */
export interface Refusal {
    readonly reason: string;
    readonly workers: number;
}

/** Decides for one cell. */
export interface Policy {
    /** Takes in a usage report; late, repeated and old ones are told apart by their time of measurement. */
    observeReport(report: WorkerReport, now: number): void;
    /** Takes in how an attempt ended. */
    observeEnd(end: AttemptEnd, now: number): void;
    decide(view: CellView, now: number): readonly Decision[];
    /** Explains why a task that waits has no place. */
    explain(view: CellView, taskId: string, now: number): readonly Refusal[];
    /** Workers in quarantine. */
    quarantined(now: number): readonly string[];
}
