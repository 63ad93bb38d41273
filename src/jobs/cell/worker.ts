/**
 * What the owner of a cell knows of a worker: its clock, its lease, and what of its ends has been taken note of.
 */
import type { ListedWorker } from "../model/worker.js";
import { createWorkerHealth } from "../policy/health.js";
import type { WorkerHealth } from "../policy/health.js";

/** Whether a worker answers. */
export type WorkerContact = "unknown" | "answering" | "silent";

/** A worker of a cell. */
export interface CellWorker {
    /** Latest entry of the platform's list. */
    listed: ListedWorker;
    /** Since when the list no longer has it; absent while it has. */
    unlistedSinceMilliseconds: number | undefined;
    /** Since when it has said that it is going; absent while it stays. */
    drainingSinceMilliseconds: number | undefined;
    /** When it goes at the earliest, where it has said so. */
    leavesAtMilliseconds: number | undefined;
    /** The ledger says that it may run attempts; nothing is started on it before. */
    isRecorded: boolean;
    contact: WorkerContact;
    /** The incarnation that answered last. */
    incarnation: number | undefined;
    /** The worker's clock as it last said, and when that was. */
    clock: { readonly workerMilliseconds: number; readonly atMilliseconds: number; } | undefined;
    lastAnswerAtMilliseconds: number;
    /** Latest end of a lease that may have been given, on the worker's clock. */
    leaseUntilMilliseconds: number;
    /** Sequence of the last end that is in the books. */
    recordedSequence: number;
    /** Sequence of the last end that the ledger holds; may be acknowledged. */
    committedSequence: number;
    /** No starts before this time: the worker refused one for want of room, or could not take it. */
    startsFromMilliseconds: number;
    readonly health: WorkerHealth;
}

/** How much slower than ours a worker's clock may go; from the platform's pages, 2 %. */
const SLOWEST_CLOCK_RATE = 0.98;

/** Time after which an interval has certainly passed that a worker measures by its own clock. */
export function withClockTolerance(milliseconds: number): number {
    return milliseconds / SLOWEST_CLOCK_RATE;
}

/** Creates a worker that has not been asked yet. */
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
        leaseUntilMilliseconds: 0,
        recordedSequence: 0,
        committedSequence: 0,
        startsFromMilliseconds: 0,
        health: createWorkerHealth(),
    };
}

/** Takes in a new entry of the platform's list. */
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

/** The worker's clock now, as far as it can be told. */
export function estimateClock(worker: CellWorker, now: number): number | undefined {
    return worker.clock === undefined
        ? undefined
        : worker.clock.workerMilliseconds + Math.max(0, now - worker.clock.atMilliseconds);
}

/** When a lease that is given now ends, on the worker's clock; absent while its clock is unknown. */
export function grantLease(worker: CellWorker, now: number, leaseMilliseconds: number): number | undefined {
    const clock = estimateClock(worker, now);
    if (clock === undefined) {
        return undefined;
    }
    const until = Math.floor(clock + leaseMilliseconds);
    worker.leaseUntilMilliseconds = Math.max(worker.leaseUntilMilliseconds, until);
    return until;
}

/** Time after which every lease that this owner gave has certainly lapsed, though the worker's clock be slow. */
export function leasesLapsedAt({ clock, leaseUntilMilliseconds }: CellWorker): number {
    if (clock === undefined) {
        return 0;
    }
    const remainingMilliseconds = Math.max(0, leaseUntilMilliseconds - clock.workerMilliseconds);
    return clock.atMilliseconds + withClockTolerance(remainingMilliseconds);
}
