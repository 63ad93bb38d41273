/**
 * The owner's state of a worker: its clock, its lease, and the sequences of the ends that were recorded and committed.
 */
import type { WorkerLife } from "../job-table/job-table.js";
import { LATEST_ORDER_MILLISECONDS } from "../model/worker.js";
import type { ListedWorker } from "../model/worker.js";
import { createWorkerHealth } from "../policy/health.js";
import type { WorkerHealth } from "../policy/health.js";

/** Whether a worker answers. */
export type WorkerContact = "unknown" | "answering" | "silent";

/** A lease in an order without an answer. */
export interface UnansweredLease {
    /** Latest end of the lease in this order and those before it that may still be carried out. */
    readonly untilMilliseconds: number;
    readonly sentAtMilliseconds: number;
}

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
    /** Whether former owners may have sent orders to the worker. */
    readonly isInherited: boolean;
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
    /** The last order with a lease that got no answer; it may still be carried out, also by a new life. */
    unansweredLease: UnansweredLease | undefined;
    /** When the last order to start an attempt was sent. */
    lastStartSentAtMilliseconds: number;
    /** Whether the latest report listed all ends. */
    hasReportedAll: boolean;
    /** When a report last listed all ends or a new one, or listed ends that were not committed yet. */
    endsProgressedAtMilliseconds: number;
    /** Since when each report has listed attempts that belong to no task; absent while the latest lists none. */
    foreignSinceMilliseconds: number | undefined;
    /** Whether the worker gets no leases, so that all that it runs lapses. */
    isLeaseWithheld: boolean;
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

/** Time without a new end after which a worker counts as one that lists no more; it is asked several times a second meanwhile. */
const LISTING_LIMIT_MILLISECONDS = 5_000;

/** Largest difference between the clocks of two machines, as the platform documents it. */
const CLOCK_SKEW_MILLISECONDS = 5_000;

/** Creates the state of a worker that has not been contacted yet. */
export function createCellWorker(listed: ListedWorker, isRecorded: boolean, now: number): CellWorker {
    return {
        listed,
        unlistedSinceMilliseconds: undefined,
        drainingSinceMilliseconds: undefined,
        leavesAtMilliseconds: undefined,
        isInherited: isRecorded,
        isRecorded,
        contact: "unknown",
        incarnation: undefined,
        clock: undefined,
        lastAnswerAtMilliseconds: now,
        failingSinceMilliseconds: undefined,
        hasCrashed: false,
        leaseUntilMilliseconds: 0,
        unansweredLease: undefined,
        lastStartSentAtMilliseconds: -Infinity,
        hasReportedAll: false,
        endsProgressedAtMilliseconds: now,
        foreignSinceMilliseconds: undefined,
        isLeaseWithheld: false,
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

/** Records an order with a lease that got no answer. */
export function recordUnansweredLease(
    worker: CellWorker,
    untilMilliseconds: number,
    sentAtMilliseconds: number,
    now: number,
): void {
    const former = mayStillArrive(worker.unansweredLease, now) ? worker.unansweredLease : undefined;
    worker.unansweredLease = {
        untilMilliseconds: Math.max(untilMilliseconds, former?.untilMilliseconds ?? 0),
        sentAtMilliseconds: Math.max(sentAtMilliseconds, former?.sentAtMilliseconds ?? 0),
    };
}

/**
 * Counts what orders to the former life may bring about in a new one, whose clock is at this value now: they arrive some seconds late, with
 * a lease that ends far ahead on the new clock, of which the worker grants the longest part that it accepts.
 */
export function expectLateLease(
    worker: CellWorker,
    clockMilliseconds: number,
    now: number,
    leaseLimitMilliseconds: number,
): void {
    const { unansweredLease } = worker;
    if (!mayStillArrive(unansweredLease, now)) {
        return;
    }
    const latestArrivalMilliseconds = clockMilliseconds
        + withClockTolerance(unansweredLease.sentAtMilliseconds + LATEST_ORDER_MILLISECONDS - now);
    worker.leaseUntilMilliseconds = Math.max(
        worker.leaseUntilMilliseconds,
        Math.min(unansweredLease.untilMilliseconds, latestArrivalMilliseconds + leaseLimitMilliseconds),
    );
}

function mayStillArrive(lease: UnansweredLease | undefined, now: number): lease is UnansweredLease {
    return lease !== undefined && now - lease.sentAtMilliseconds < LATEST_ORDER_MILLISECONDS;
}

/** Leases that an owner grants, and the longest that a worker accepts, in milliseconds. */
export interface LeaseLengths {
    readonly leaseMilliseconds: number;
    readonly workerLeaseLimitMilliseconds: number;
}

/**
 * Longest lease that former owners may have left on a worker's present life, by its last orders or late ones. `known` is the last life that
 * they have recorded in the ledger: one that began shortly before, and that they have not known or not without doubt, may have carried out
 * orders to the life before it, and has then granted the longest lease.
 */
export function longestFormerLease(
    incarnation: number | undefined,
    known: WorkerLife | undefined,
    { leaseMilliseconds, workerLeaseLimitMilliseconds }: LeaseLengths,
    now: number,
): number {
    const youngMilliseconds = LATEST_ORDER_MILLISECONDS + workerLeaseLimitMilliseconds + CLOCK_SKEW_MILLISECONDS;
    const isYoung = incarnation !== undefined && now - incarnation < youngMilliseconds;
    const isDoubtful = known !== undefined && (known.incarnation !== incarnation || known.leaseUntilMilliseconds > 0);
    return isYoung && isDoubtful ? workerLeaseLimitMilliseconds : leaseMilliseconds;
}

/** Counts the leases that former owners may have left on a worker's life, when it reports to this owner for the first time. */
export function assumeFormerLease(
    worker: CellWorker,
    clockMilliseconds: number,
    known: WorkerLife | undefined,
    lengths: LeaseLengths,
    now: number,
): void {
    const isKnown = known !== undefined && known.incarnation === worker.incarnation;
    worker.leaseUntilMilliseconds = Math.max(
        worker.leaseUntilMilliseconds,
        clockMilliseconds + longestFormerLease(worker.incarnation, known, lengths, now),
        isKnown ? known.leaseUntilMilliseconds : 0,
    );
}

/**
 * Whether a worker that has answered has listed no new end for so long, though all that it listed have been acknowledged, that it may never list
 * the rest.
 */
export function hasStoppedListing({ clock, endsProgressedAtMilliseconds }: CellWorker, now: number): boolean {
    return clock !== undefined && now - endsProgressedAtMilliseconds > LISTING_LIMIT_MILLISECONDS;
}

/** Whether the worker has run attempts of no task for so long that stop orders have no effect on them. */
export function runsForeignDespiteStops({ foreignSinceMilliseconds }: CellWorker, now: number): boolean {
    return foreignSinceMilliseconds !== undefined && now - foreignSinceMilliseconds > LATEST_ORDER_MILLISECONDS;
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
