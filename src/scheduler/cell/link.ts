/**
 * The owner's state of one worker besides the ledger: contact, leases, progress and outstanding orders.
 */
import type { WorkerInstance } from "../../platform/instances.js";
import type { AttemptStatus } from "../../platform/worker.js";

/** State of the link to one worker; kept in memory only. Times are in milliseconds. */
export interface WorkerLink {
    instance: WorkerInstance;
    /** True while the instance list has the worker. */
    isListed: boolean;
    /** Incarnation in the worker's last answer; absent before the first answer under the current epoch. */
    incarnation?: string;
    /** Time of the last answer to a renewal or start; before the first, the time at which the link was created. */
    answeredAtMilliseconds: number;
    /** Time at which the last failed renewal was sent. */
    failedAtMilliseconds: number;
    /** When the newest usage report was measured, on the worker's clock. */
    reportedAtMilliseconds: number;
    /** When the next report is due. */
    reportDueMilliseconds: number;
    /** Attempts in the worker's last answer. */
    attempts: readonly AttemptStatus[];
    /** Progress of running attempts by task, newer than the ledger's. */
    readonly progress: Map<string, number>;
    /** Throttle shares that the worker has confirmed, by task and attempt. */
    readonly throttleShares: Map<string, number>;
    /** Starts that the worker has answered or that must not be sent, by task and attempt. */
    answeredStarts: Set<string>;
    /** Starts that were sent and not answered: the worker may execute them at any later time. */
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

/** Key of an attempt in maps and sets. */
export function nameAttempt(attempt: { readonly taskId: string; readonly attempt: number; }): string {
    return `${attempt.taskId}#${attempt.attempt}`;
}

/** Event that a session reports to the owner's loop. */
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
    /** Attempts that the worker must report unless they have been lost. */
    readonly expected: readonly { readonly taskId: string; readonly attempt: number; }[];
    readonly attempts: readonly AttemptStatus[];
}
