/**
 * Recovery after a takeover: workers that may still run attempts of the predecessor, and the tasks that wait for them.
 *
 * Starts are not committed to the ledger. A worker that has answered under the new epoch has reported all its attempts and
 * rejects orders of the predecessor. A worker that has not answered may run any inherited task that was not reported
 * elsewhere, until the last lease that it can have been granted has lapsed.
 */
import type { Task } from "../job-table/task.js";
import { withClockTolerance } from "./worker.js";

/** Options of a recovery. */
export interface RecoveryOptions {
    /** Workers that may run attempts according to the ledger. */
    readonly workers: Iterable<string>;
    readonly claimedAtMilliseconds: number;
    /** How long the predecessor may have sent orders after the claim; 0 if it certainly sent none. */
    readonly predecessorActiveMilliseconds: number;
    readonly longestLeaseMilliseconds: number;
}

/** Workers that have not answered since the takeover. */
export interface Recovery {
    unanswered(): readonly string[];
    /** Records that the worker has answered; returns true if it was the last one. */
    recordAnswer(worker: string): boolean;
    /** Records that the predecessor's process has ended, so that it grants no more leases. */
    recordPredecessorEnd(now: number): void;
    /** Records the times after which nothing of the former owners runs, by worker; on workers left out nothing does now. */
    recordLeaseEnds(leaseEnds: ReadonlyMap<string, number>): void;
    /** Time after which no attempt of a former owner runs on a worker that has not answered. */
    heldUntil(worker: string): number;
    /** Gives up the workers whose time limits have passed, and returns them. */
    expire(now: number): string[];
    /** Whether the task can be started without the risk that it already runs elsewhere. */
    mayStart(task: Task): boolean;
}

/** Starts a recovery. */
export function createRecovery(options: RecoveryOptions): Recovery {
    const unanswered = new Set(options.workers);
    /** Time after which no attempt of a former owner runs on any worker. */
    let endsAtMilliseconds = options.claimedAtMilliseconds
        + withClockTolerance(options.predecessorActiveMilliseconds + options.longestLeaseMilliseconds);
    let formerLeaseEnds: ReadonlyMap<string, number> | undefined;
    const heldUntil = (worker: string): number =>
        Math.min(endsAtMilliseconds, formerLeaseEnds === undefined ? Infinity : formerLeaseEnds.get(worker) ?? 0);
    return {
        unanswered: () => [...unanswered],
        recordAnswer: worker => unanswered.delete(worker) && unanswered.size === 0,
        recordPredecessorEnd(now) {
            endsAtMilliseconds = Math.min(
                endsAtMilliseconds,
                now + withClockTolerance(options.longestLeaseMilliseconds),
            );
        },
        recordLeaseEnds(leaseEnds) {
            formerLeaseEnds = leaseEnds;
        },
        heldUntil,
        expire(now) {
            const expired = [...unanswered].filter(worker => now >= heldUntil(worker));
            expired.forEach(worker => unanswered.delete(worker));
            return expired;
        },
        mayStart: ({ entry, step }) => unanswered.size === 0 || !entry.isInherited || step.allowsCopies,
    };
}
