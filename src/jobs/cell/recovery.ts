/**
 * After a takeover: which workers may still run what the predecessor started, and so which tasks have to wait.
 *
 * Starts are not committed. A worker that has answered under the new epoch has told all that it runs, and takes no order of
 * the predecessor any more. One that has not may run any task of the predecessor's jobs that nobody has seen elsewhere,
 * until the last lease that it may have been given has lapsed.
 */
import type { Task } from "../job-table/task.js";
import { withClockTolerance } from "./worker.js";

/** Terms of a takeover. */
export interface RecoveryOptions {
    /** Workers that may run attempts, by the ledger. */
    readonly workers: Iterable<string>;
    readonly claimedAtMilliseconds: number;
    /** How long the predecessor may have gone on giving orders after the claim; 0 where it certainly did not. */
    readonly predecessorActiveMilliseconds: number;
    readonly longestLeaseMilliseconds: number;
}

/** Workers that have not answered since the takeover. */
export interface Recovery {
    unanswered(): readonly string[];
    /** The worker has answered; true where it was the last one. */
    recordAnswer(worker: string): boolean;
    /** The predecessor's process has certainly ended: it gives no leases any more. */
    recordPredecessorEnd(now: number): void;
    /** Time has passed; true where that ended the recovery. */
    expire(now: number): boolean;
    /** Whether the task can be started without risk that it runs elsewhere. */
    mayStart(task: Task): boolean;
}

/** Begins a recovery. */
export function createRecovery(options: RecoveryOptions): Recovery {
    const unanswered = new Set(options.workers);
    /** Time after which nothing of the predecessor runs on a worker that has not answered. */
    let endsAtMilliseconds = options.claimedAtMilliseconds
        + withClockTolerance(options.predecessorActiveMilliseconds + options.longestLeaseMilliseconds);
    return {
        unanswered: () => [...unanswered],
        recordAnswer: worker => unanswered.delete(worker) && unanswered.size === 0,
        recordPredecessorEnd(now) {
            endsAtMilliseconds = Math.min(
                endsAtMilliseconds,
                now + withClockTolerance(options.longestLeaseMilliseconds),
            );
        },
        expire(now) {
            if (unanswered.size === 0 || now < endsAtMilliseconds) {
                return false;
            }
            unanswered.clear();
            return true;
        },
        mayStart: ({ entry, step }) => unanswered.size === 0 || !entry.isInherited || step.allowsCopies,
    };
}
