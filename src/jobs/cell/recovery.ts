/**
 * Recovery after a takeover: workers that may still run attempts of the predecessor, and the tasks that wait for them.
 *
 * Starts are not committed to the ledger. A worker that has answered under the new epoch with a complete report has reported
 * all its attempts and rejects orders of the predecessor. A worker that has not answered may run any inherited task that was
 * not reported elsewhere, until the last lease that it can have been granted has lapsed.
 */
import type { Task } from "../job-table/task.js";
import { haveEnoughAnswered } from "./authority.js";
import { attemptsLapsedAt, withClockTolerance } from "./worker.js";
import type { CellWorker } from "./worker.js";

/** Options of a recovery. */
export interface RecoveryOptions {
    /** Workers that may run attempts according to the ledger. */
    readonly workers: Iterable<string>;
    readonly claimedAtMilliseconds: number;
    /** How long the predecessor may have sent orders after the claim; 0 if it certainly sent none. */
    readonly predecessorActiveMilliseconds: number;
    /** Longest lease that a former owner may have left on a worker by its last orders, in milliseconds. */
    longestLeaseOf(worker: string, lastOrdersAtMilliseconds: number): number;
    /** How long an owner sends orders after most workers have last answered it. */
    readonly contactMilliseconds: number;
}

/** Workers that have not answered, or not listed all ends, since the takeover. */
export interface Recovery {
    unanswered(): readonly string[];
    /** Records that the worker has answered with a complete report; returns true if it was the last one. */
    recordAnswer(worker: string, now: number): boolean;
    /** Records that the predecessor sends no more orders, so that it grants no more leases. */
    recordPredecessorEnd(now: number): void;
    /** Records the times after which nothing of the former owners runs, by worker; on workers left out nothing does now. */
    recordLeaseEnds(leaseEnds: ReadonlyMap<string, number>): void;
    /** Time after which no attempt of a former owner runs on a worker that has not answered. */
    heldUntil(worker: string): number;
    /** Whether the worker has not answered, or not listed all ends, after the time limit for what former owners have started on it. */
    isOverdue(worker: string, now: number): boolean;
    /**
     * Gives up the workers whose time limits have passed, and returns them. What one that has answered has still to list may have ended
     * under a lease of the present owner, so that this lease has to lapse as well.
     */
    expire(now: number, leasesLapsedAt: (worker: string) => number): string[];
    /** Whether the task can be started without the risk that it already runs elsewhere. */
    mayStart(task: Task): boolean;
}

/** Starts a recovery. */
export function createRecovery(options: RecoveryOptions): Recovery {
    const unanswered = new Set(options.workers);
    const workerCount = unanswered.size;
    /** Time after which no former owner sends orders. */
    let ordersEndAtMilliseconds = options.claimedAtMilliseconds
        + withClockTolerance(options.predecessorActiveMilliseconds);
    let answeredCount = 0;
    let areEnoughAnswered = false;
    let formerLeaseEnds: ReadonlyMap<string, number> | undefined;
    const expectPredecessorEnd = (at: number): void => {
        ordersEndAtMilliseconds = Math.min(ordersEndAtMilliseconds, at);
    };
    const heldUntil = (worker: string): number => {
        const lease = options.longestLeaseOf(worker, ordersEndAtMilliseconds);
        return Math.min(
            ordersEndAtMilliseconds + withClockTolerance(lease),
            formerLeaseEnds === undefined ? Infinity : formerLeaseEnds.get(worker) ?? 0,
        );
    };
    return {
        unanswered: () => [...unanswered],
        recordAnswer(worker, now) {
            if (!unanswered.delete(worker)) {
                return false;
            }
            answeredCount += 1;
            if (!areEnoughAnswered && haveEnoughAnswered(answeredCount, workerCount)) {
                areEnoughAnswered = true;
                expectPredecessorEnd(now + withClockTolerance(options.contactMilliseconds));
            }
            return unanswered.size === 0;
        },
        recordPredecessorEnd: expectPredecessorEnd,
        recordLeaseEnds(leaseEnds) {
            formerLeaseEnds = leaseEnds;
        },
        heldUntil,
        isOverdue: (worker, now) => unanswered.has(worker) && now >= heldUntil(worker),
        expire(now, leasesLapsedAt) {
            const expired = [...unanswered].filter(worker => now >= heldUntil(worker) && now >= leasesLapsedAt(worker));
            expired.forEach(worker => unanswered.delete(worker));
            return expired;
        },
        mayStart: task => unanswered.size === 0 || !mayRunUnseen(task),
    };
}

/** Lists the times after which nothing of this owner or one before it can be running, by worker. */
export function listLeaseEnds(
    workers: ReadonlyMap<string, CellWorker>,
    recovery: Recovery,
    leaseMilliseconds: number,
): Map<string, number> {
    const leaseEnds = new Map<string, number>();
    for (const [id, worker] of workers) {
        leaseEnds.set(id, attemptsLapsedAt(worker, leaseMilliseconds));
    }
    for (const id of recovery.unanswered()) {
        leaseEnds.set(id, Math.max(leaseEnds.get(id) ?? 0, recovery.heldUntil(id)));
    }
    return leaseEnds;
}

/** Whether a former owner may have started the task on a worker that has not answered. */
function mayRunUnseen({ entry, occurrence, step, wasSeenRunning }: Task): boolean {
    if (!entry.isInherited || step.allowsCopies || wasSeenRunning && !step.isGang) {
        return false;
    }
    return !step.after.some(index => occurrence.steps[index]?.wasSeenRunning === true);
}
