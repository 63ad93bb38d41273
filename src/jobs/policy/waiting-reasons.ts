/**
 * Names of the reasons for which a task waits although its turn has come, and of the parts that decide by them.
 */
import type { RoomObstacle } from "./candidate.js";
import type { PlacementObstacle } from "./placement.js";

/** What keeps a worker from starts of any task. */
export type WorkerObstacle =
    | "data-centre-closed"
    /** It has not been in contact since it was listed or the cell was taken over. */
    | "worker-unheard"
    | "worker-silent"
    /** Its latest reports have failed, so that it is in doubt which life of it an order would reach. */
    | "reports-failing"
    /** The ledger does not list it as in use yet. */
    | "worker-unrecorded"
    | "worker-unlisted"
    | "worker-draining"
    /** It gets no leases, so that what it runs unseen or for nobody lapses. */
    | "lease-withheld"
    /** It refused a start a moment ago, or runs attempts of others. */
    | "starts-refused"
    | "worker-quarantined";

/** What keeps a worker from the start of a task. */
export type WaitingObstacle = PlacementObstacle | RoomObstacle | WorkerObstacle;

/** What holds a task before any worker is looked at for it. */
export type EarlyReason =
    /** The owner may not send orders; this holds all tasks of the cell. */
    | "orders-suspended"
    /** The closed data centres are not known well enough; this holds all tasks of the cell. */
    | "closures-unconfirmed"
    /** A worker that has not answered since the takeover may run the task. */
    | "unanswered-worker"
    /** The task, or a member of its gang, is suspected of a crash that has not been reviewed yet. */
    | "crash-review"
    /** The configuration has no queue of the name any more. */
    | "no-queue";

/** Why a task waits although its turn has come. */
export type WaitingReason =
    | EarlyReason
    | WaitingObstacle
    /** The passes look at the task; no line has told yet what stands against its start. */
    | "unexplained"
    /** The task gave way a moment ago, and room is not ample. */
    | "giving-way-pause"
    /** No worker of the pool is known. */
    | "no-workers"
    /** Single members of the gang would find a worker, but not all of them together. */
    | "gang-room"
    /** A worker suits, and would be left by all that comes before, but the latest pass ended at its limit of starts. */
    | "start-limit"
    /** A worker suits; others come before in the order and may take it, and the latest pass ended among these. */
    | "turn"
    /** A worker suits; a later pass starts the task, unless something comes before it. */
    | "worker-suits"
    /** It is not known whether an attempt that was ordered or stopped runs. */
    | "attempt-unconfirmed"
    /** The job waits for memory of the owner. */
    | "memory";

/** Part of the owner that decides by a reason. */
export type DecidingPart =
    | "attempts"
    | "authority"
    | "catalog"
    | "closures"
    | "commits"
    | "crash-review"
    | "dispatcher"
    | "interference-model"
    | "look-ahead"
    | "memory-limit"
    | "placement"
    | "preemption"
    | "recovery"
    | "worker-health"
    | "worker-list"
    | "worker-sessions";

/** The part that decides by each reason. */
export const DECIDED_BY: Readonly<Record<WaitingReason, DecidingPart>> = {
    "orders-suspended": "authority",
    "closures-unconfirmed": "closures",
    "unanswered-worker": "recovery",
    "crash-review": "crash-review",
    "no-queue": "catalog",
    "giving-way-pause": "preemption",
    "unexplained": "dispatcher",
    "no-workers": "worker-list",
    "data-centre-closed": "closures",
    "worker-unheard": "worker-sessions",
    "worker-silent": "worker-sessions",
    "reports-failing": "worker-sessions",
    "worker-unrecorded": "commits",
    "worker-unlisted": "worker-list",
    "worker-draining": "worker-list",
    "lease-withheld": "worker-sessions",
    "starts-refused": "worker-sessions",
    "worker-quarantined": "worker-health",
    "label-missing": "placement",
    "never-fits": "placement",
    "no-room": "placement",
    "reserved-ahead": "look-ahead",
    "reserved-for-overdue": "placement",
    "limit-per-worker": "placement",
    "beside-suspect": "crash-review",
    "suspect-needs-quiet": "crash-review",
    "kept-for-suspect": "crash-review",
    "too-few-idle-cores": "placement",
    "interference": "interference-model",
    "gang-room": "placement",
    "start-limit": "dispatcher",
    "turn": "dispatcher",
    "worker-suits": "dispatcher",
    "attempt-unconfirmed": "attempts",
    "memory": "memory-limit",
};
