/**
 * What a cell's owner knows of one worker besides the ledger: contact, leases, progress and what is still to be said.
 */
import type { WorkerInstance } from "../../platform/instances.js";
import type { AttemptStatus } from "../../platform/worker.js";

/** State of the link to one worker; kept in memory only. Times are in milliseconds. */
export interface WorkerLink {
    instance: WorkerInstance;
    /** The instance list no longer has the worker. */
    isListed: boolean;
    /** Incarnation as the worker last told; absent until it has answered under the present epoch. */
    incarnation?: string;
    /** When the last answer to a renewal came; the time of the takeover before the first. */
    answeredAtMilliseconds: number;
    /** When the last renewal was sent that got no answer. */
    failedAtMilliseconds: number;
    /** When the newest usage report was measured, on the worker's clock. */
    reportedAtMilliseconds: number;
    /** When the next report is wanted. */
    reportDueMilliseconds: number;
    /** Attempts that the worker told of in its last answer. */
    attempts: readonly AttemptStatus[];
    /** Progress of running attempts by task, newer than the ledger's. */
    readonly progress: Map<string, number>;
    /** Throttle shares that the worker has been told, by task and attempt. */
    readonly throttleShares: Map<string, number>;
    /** Starts that the worker has answered, by task and attempt. */
    answeredStarts: Set<string>;
    /** Starts that have been sent and not answered: the worker may carry them out at any later time. */
    readonly unansweredStarts: Set<string>;
}

/** Creates the link to a worker. */
export function createLink(instance: WorkerInstance, now: number): WorkerLink {
    return {
        instance,
        isListed: true,
        answeredAtMilliseconds: now,
        failedAtMilliseconds: 0,
        reportedAtMilliseconds: 0,
        reportDueMilliseconds: now,
        attempts: [],
        progress: new Map(),
        throttleShares: new Map(),
        answeredStarts: new Set(),
        unansweredStarts: new Set(),
    };
}

/** Names an attempt in maps and sets. */
export function nameAttempt(attempt: { readonly taskId: string; readonly attempt: number; }): string {
    return `${attempt.taskId}#${attempt.attempt}`;
}

/** What a worker's task reports to the owner of its cell. */
export type WorkerEvent =
    | { readonly kind: "answer"; readonly worker: string; readonly answer: AnswerEvent; }
    | {
        readonly kind: "refused";
        readonly worker: string;
        readonly taskId: string;
        readonly attempt: number;
        readonly reason: string;
    }
    | { readonly kind: "started"; readonly worker: string; readonly taskId: string; readonly attempt: number; }
    | { readonly kind: "ended"; readonly worker: string; readonly status: AttemptStatus; };

/** Answer to a renewal. */
export interface AnswerEvent {
    /** Attempts that the worker certainly knew when the renewal was sent, if they have not ended. */
    readonly expected: readonly { readonly taskId: string; readonly attempt: number; }[];
    readonly attempts: readonly AttemptStatus[];
}
