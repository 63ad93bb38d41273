/**
 * The owner's state of a worker: its clock, its lease, and the sequences of the ends that were recorded and committed.
 */
import type { ListedWorker } from "../model/worker.js";
import { createWorkerHealth } from "../policy/health.js";
import type { WorkerHealth } from "../policy/health.js";

/** Whether a worker answers. */
export type WorkerContact = "unknown" | "answering" | "silent";

/** A worker of a cell. */
export interface CellWorker {
    /** Latest entry in the platform's list. */
    listed: ListedWorker;
    /** Since when the worker has been missing from the list; absent while it is listed. */
    unlistedSinceMilliseconds: number | undefined;
    /** Since when the worker has been draining; absent while it is not. */
    drainingSinceMilliseconds: number | undefined;
    /** Earliest announced time at which the worker leaves; absent if it has announced none. */
    leavesAtMilliseconds: number | undefined;
    /** Whether the ledger lists the worker as in use; no attempt is started on it before. */
    isRecorded: boolean;
    contact: WorkerContact;
    /** Incarnation that sent the last answer. */
    incarnation: number | undefined;
    /** Latest reported value of the worker's clock, and the owner's time when it was received. */
    clock: { readonly workerMilliseconds: number; readonly atMilliseconds: number; } | undefined;
    lastAnswerAtMilliseconds: number;
    /** When the first of the latest failed reports failed; absent while the worker answers. */
    failingSinceMilliseconds: number | undefined;
    /** Whether the worker's process is known to have ended since its last answer. */
    hasCrashed: boolean;
    /** Latest end of all leases that may have been granted, on the worker's clock. */
    leaseUntilMilliseconds: number;
    /** When the last order to start an attempt was sent. */
    lastStartSentAtMilliseconds: number;
    /** Whether the latest report listed all ends. */
    hasReportedAll: boolean;
    /** Sequence of the last end that was recorded. */
    recordedSequence: number;
    /** Sequence of the last end that was committed to the ledger and may be acknowledged. */
    committedSequence: number;
    /** No starts before this time: the worker refused or rejected one, or runs foreign attempts. */
    startsFromMilliseconds: number;
    readonly health: WorkerHealth;
}

/** Lowest rate of a worker's clock relative to the owner's; the platform documents a deviation of 2 %. */
const SLOWEST_CLOCK_RATE = 0.98;

/** A worker's clock that shows less than expected by more than this belongs to a new life; clocks differ by 2 %. */
const CLOCK_REGRESS_MILLISECONDS = 1_000;

/** Time on the owner's clock after which an interval on a worker's clock has certainly passed, in milliseconds. */
export function withClockTolerance(milliseconds: number): number {
    return milliseconds / SLOWEST_CLOCK_RATE;
}

/** Creates the state of a worker that has not been contacted yet. */
export function createCellWorker(listed: ListedWorker, isRecorded: boolean, now: number): CellWorker {
    return {
        listed,
        unlistedSinceMilliseconds: undefined,
        drainingSinceMilliseconds: undefined,
        leavesAtMilliseconds: undefined,
        isRecorded,
        contact: "unknown",
        incarnation: undefined,
        clock: undefined,
        lastAnswerAtMilliseconds: now,
        failingSinceMilliseconds: undefined,
        hasCrashed: false,
        leaseUntilMilliseconds: 0,
        lastStartSentAtMilliseconds: -Infinity,
        hasReportedAll: false,
        recordedSequence: 0,
        committedSequence: 0,
        startsFromMilliseconds: 0,
        health: createWorkerHealth(),
    };
}

/** Applies a new entry of the platform's list. */
export function applyListing(worker: CellWorker, listed: ListedWorker, now: number): void {
    const { isDraining, leavesInMilliseconds } = listed;
    if (
        isDraining && leavesInMilliseconds !== undefined && leavesInMilliseconds !== worker.listed.leavesInMilliseconds
    ) {
        worker.leavesAtMilliseconds = now + leavesInMilliseconds;
    }
    worker.drainingSinceMilliseconds = isDraining ? worker.drainingSinceMilliseconds ?? now : undefined;
    worker.listed = listed;
    worker.unlistedSinceMilliseconds = undefined;
}

/** Estimates the present value of the worker's clock; absent before its first report. */
export function estimateClock(worker: CellWorker, now: number): number | undefined {
    return worker.clock === undefined
        ? undefined
        : worker.clock.workerMilliseconds + Math.max(0, now - worker.clock.atMilliseconds);
}

/** Grants a lease and returns its end on the worker's clock; absent while that clock is unknown. */
export function grantLease(worker: CellWorker, now: number, leaseMilliseconds: number): number | undefined {
    const clock = estimateClock(worker, now);
    if (clock === undefined) {
        return undefined;
    }
    const until = Math.floor(clock + leaseMilliseconds);
    worker.leaseUntilMilliseconds = Math.max(worker.leaseUntilMilliseconds, until);
    return until;
}

/**
 * Whether an order that was sent at `sentAt` has been answered by another life of the worker than the one that has reported
 * last: the answer shows an earlier time than the worker's clock already had.
 */
export function isAnswerOfNewLife(worker: CellWorker, clockMilliseconds: number, sentAt: number): boolean {
    const clock = estimateClock(worker, sentAt);
    return clock !== undefined && clockMilliseconds < clock - CLOCK_REGRESS_MILLISECONDS;
}

/**
 * Whether a start was sent since the last answered report was requested. If the next report comes from a new life, the
 * start may have reached that life, which has then granted the longest lease.
 */
export function hasUnreportedStart(worker: CellWorker): boolean {
    return worker.lastStartSentAtMilliseconds >= worker.lastAnswerAtMilliseconds;
}

/** Records that a new life, whose clock is at this value now, may have granted the longest lease. */
export function assumeLongestLease(
    worker: CellWorker,
    clockMilliseconds: number,
    now: number,
    leaseLimitMilliseconds: number,
): void {
    worker.clock = { workerMilliseconds: clockMilliseconds, atMilliseconds: now };
    worker.leaseUntilMilliseconds = clockMilliseconds + leaseLimitMilliseconds;
}

/** Time after which all leases of this owner have certainly lapsed, even if the worker's clock is slow. */
export function leasesLapsedAt({ clock, leaseUntilMilliseconds }: CellWorker): number {
    if (clock === undefined) {
        return 0;
    }
    const remainingMilliseconds = Math.max(0, leaseUntilMilliseconds - clock.workerMilliseconds);
    return clock.atMilliseconds + withClockTolerance(remainingMilliseconds);
}

/**
 * Time after which nothing that this owner or one before it has started is running. Until this owner has granted a lease,
 * one of a former owner may run that was granted just before the worker's first answer.
 */
export function attemptsLapsedAt(worker: CellWorker, longestLeaseMilliseconds: number): number {
    const { clock, leaseUntilMilliseconds } = worker;
    return clock === undefined || leaseUntilMilliseconds > 0
        ? leasesLapsedAt(worker)
        : clock.atMilliseconds + withClockTolerance(longestLeaseMilliseconds);
}
