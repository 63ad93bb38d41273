/**
 * Group commit: writes all changes of a short interval to the ledger at once, and then resolves the callers' promises.
 */
import { formatFailure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import { isAborted, pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import { createWake } from "../../core/wake.js";
import type { WriteOperation } from "../../platform/store.js";
import { detachChanges, restoreChanges } from "../job-table/job-table.js";
import type { JobTable } from "../job-table/job-table.js";
import { createSnapshot } from "../job-table/restore.js";
import { VALUE_LIMIT_BYTES } from "../ledger/ledger.js";
import type { Ledger } from "../ledger/ledger.js";
import { isEmpty, splitChanges } from "../ledger/segment.js";
import type { Changes } from "../ledger/segment.js";
import type { JobsMetrics } from "../metrics.js";
import type { CellSettings } from "../settings.js";
import type { CellWorker } from "./worker.js";

/** Options of group commit. */
export interface CommitsOptions {
    readonly jobTable: JobTable;
    readonly journal: Ledger;
    readonly workers: ReadonlyMap<string, CellWorker>;
    readonly workersInUse: ReadonlySet<string>;
    /** When the claim of the cell was sent. */
    readonly claimSentAtMilliseconds: number;
    readonly settings: CellSettings;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: JobsMetrics;
    readonly signal: AbortSignal;
    /** Called after these changes have been committed. */
    onCommitted(changes: Changes, now: number): void;
    /** Called when a commit has failed or is slow, with the time for which commits have been failing. */
    onFailed(failingMilliseconds: number): void;
    /** Called when the cell may have another owner. */
    onConflict(message: string): void;
}

/** Commits changes of the cell's jobs to the ledger. */
export interface Commits {
    /** Requests a commit of the present changes; an urgent one has a caller waiting for it. */
    requestCommit(isUrgent: boolean): void;
    /** Resolves to true once the present changes have been committed; to false if this owner will never commit them. */
    whenCommitted(): Promise<boolean>;
    /** Commits even without changes; resolves to true once a commit sent from now on has shown that this owner has the cell. */
    confirmOwnership(): Promise<boolean>;
    /** Adds a write to the next commit, in place of an earlier one of the same key. */
    attachWrite(write: WriteOperation): void;
    /** When the store last confirmed this owner: the time at which the confirmed call was sent. */
    confirmedAtMilliseconds(): number;
    /** When the last successful commit was sent; no other instance had claimed the cell before that. */
    committedAtMilliseconds(): number;
    /** Since when commits have failed or the present one has been slow; absent otherwise. */
    failingSinceMilliseconds(now: number): number | undefined;
    /** Records a confirmation of this owner by another call, such as a lease renewal. */
    recordConfirmation(at: number): void;
    /** Releases the cell with a last commit. */
    release(): Promise<boolean>;
    /** Whether that commit has been sent; from then on a successor may act, whether or not the store's answer arrives. */
    isReleaseSent(): boolean;
    run(): Promise<void>;
}

/** Longest wait for a request; a request ends the wait early. */
const LONGEST_IDLE_WAIT_MILLISECONDS = 10_000;

/** A commit without an outcome for longer counts as failing; a slow store takes some hundred milliseconds. */
const SLOW_COMMIT_MILLISECONDS = 700;

interface Batch {
    readonly promise: Promise<boolean>;
    resolve(isCommitted: boolean): void;
}

/** Creates the group commit of a cell. */
export function createCommits(options: CommitsOptions): Commits {
    const { jobTable, clock, journal, log, metrics, settings, signal } = options;
    const released = createBatch();
    let batch = createBatch();
    let attached: WriteOperation[] = [];
    let isUrgent = false;
    let isRequested = false;
    let isReleasing = false;
    let isReleaseSent = false;
    let isConfirmationRequested = false;
    const commitRequest = createWake();
    let confirmedAt = options.claimSentAtMilliseconds;
    let committedAt = confirmedAt;
    let failingSince: number | undefined;
    let startedAt = 0;
    /** When the present commit was sent, or when the store last accepted a part of it. */
    let progressedAt = 0;
    let isCommitting = false;

    /** Workers with recorded ends that are not committed yet; they are acknowledged after the commit. */
    const listUncommittedSequences = () =>
        [...options.workers.values()]
            .filter(worker => worker.recordedSequence > worker.committedSequence)
            .map(worker => ({ worker, incarnation: worker.incarnation, sequence: worker.recordedSequence }));

    const acknowledge = (sequences: ReturnType<typeof listUncommittedSequences>): void => {
        for (const { worker, incarnation, sequence } of sequences) {
            if (worker.incarnation === incarnation) {
                worker.committedSequence = Math.max(worker.committedSequence, sequence);
            }
        }
    };

    const commitOnce = async (isRelease: boolean): Promise<boolean> => {
        isReleaseSent = isRelease;
        const sequences = listUncommittedSequences();
        const pendingChanges = detachChanges(jobTable);
        if (isEmpty(pendingChanges) && attached.length === 0 && !isRelease && !isConfirmationRequested) {
            acknowledge(sequences);
            batch.resolve(true);
            batch = createBatch();
            return true;
        }
        const current = batch;
        batch = createBatch();
        const writes = attached;
        attached = [];
        isConfirmationRequested = false;
        // Commits a part that fits into one value first, and the rest right after it.
        const [changes = pendingChanges, ...rest] = splitChanges(pendingChanges, VALUE_LIMIT_BYTES);
        rest.reverse().forEach(part => restoreChanges(jobTable, part));
        startedAt = clock();
        progressedAt = startedAt;
        isCommitting = true;
        // Changes that are not part of a slow commit need not wait for its outcome.
        const slowCommitTimer = setInterval(() => {
            if (clock() - progressedAt > SLOW_COMMIT_MILLISECONDS) {
                options.onFailed(clock() - progressedAt);
            }
        }, SLOW_COMMIT_MILLISECONDS / 4);
        const committed = await journal.commit({
            changes,
            createSnapshot: () => createSnapshot(jobTable, options.workersInUse),
            isRelease,
            alongside: writes,
            onChunkWritten(sentAt) {
                progressedAt = clock();
                confirmedAt = Math.max(confirmedAt, sentAt);
                committedAt = Math.max(committedAt, sentAt);
            },
        });
        clearInterval(slowCommitTimer);
        isCommitting = false;
        const now = clock();
        if (committed.isErr) {
            const { code } = committed.error;
            if (code === "conflict" || code === "ambiguous") {
                // The write may have succeeded before another owner claimed the cell, so callers must not be told that it failed.
                log.write(
                    "commit-unsettled",
                    { epoch: journal.epoch, failure: formatFailure(committed.error) },
                    "vital",
                );
                current.resolve(false);
                options.onConflict(formatFailure(committed.error));
                return false;
            }
            restoreChanges(jobTable, changes);
            // The waiting callers now depend on the next commit, which must not be skipped as empty.
            isConfirmationRequested = true;
            // An ended lease has deleted its record; the keeper of the lease attaches the record again.
            const remaining = code === "not-found" ? writes.filter(isUnleased) : writes;
            attached = [...remaining.filter(({ key }) => attached.every(newer => newer.key !== key)), ...attached];
            const next = batch;
            void next.promise.then(isCommitted => current.resolve(isCommitted));
            failingSince ??= progressedAt;
            log.write("commit-failed", {
                epoch: journal.epoch,
                failure: formatFailure(committed.error),
                failingMilliseconds: Math.round(now - failingSince),
            }, "vital");
            options.onFailed(now - failingSince);
            return false;
        }
        if (failingSince !== undefined) {
            log.write("commits-regained", {
                epoch: journal.epoch,
                failedMilliseconds: Math.round(now - failingSince),
            }, "vital");
            failingSince = undefined;
        }
        confirmedAt = Math.max(confirmedAt, startedAt);
        committedAt = Math.max(committedAt, startedAt);
        metrics.commitSeconds.observe((now - startedAt) / 1_000);
        options.onCommitted(changes, now);
        if (rest.length > 0) {
            isUrgent = true;
            isRequested = true;
            void batch.promise.then(isCommitted => current.resolve(isCommitted));
            return true;
        }
        acknowledge(sequences);
        current.resolve(true);
        return true;
    };

    /** Waits until a commit is due or the cell is released. */
    const waitUntilCommitDue = async (): Promise<void> => {
        while (!isRequested && attached.length === 0 && !isReleasing && !signal.aborted) {
            await commitRequest.wait(LONGEST_IDLE_WAIT_MILLISECONDS, signal);
        }
        while (!signal.aborted && !isReleasing) {
            const gap = isUrgent ? settings.urgentCommitMilliseconds : settings.lazyCommitMilliseconds;
            const remainingMilliseconds = startedAt + gap - clock();
            if (remainingMilliseconds <= 0) {
                return;
            }
            await commitRequest.wait(remainingMilliseconds, signal);
        }
    };

    const mustRelease = (): boolean => isReleasing && !isAborted(signal);

    const requestCommit = (urgent: boolean): void => {
        const isChanged = !isRequested || urgent && !isUrgent;
        isRequested = true;
        isUrgent ||= urgent;
        if (isChanged) {
            commitRequest.wake();
        }
    };

    return {
        requestCommit,
        whenCommitted: () => batch.promise,
        confirmOwnership() {
            isConfirmationRequested = true;
            requestCommit(true);
            return batch.promise;
        },
        attachWrite(write) {
            // An earlier write of the key is superseded, and would fail the commit if its lease has ended meanwhile.
            attached = [...attached.filter(({ key }) => key !== write.key), write];
            isUrgent = true;
            commitRequest.wake();
        },
        confirmedAtMilliseconds: () => confirmedAt,
        committedAtMilliseconds: () => committedAt,
        failingSinceMilliseconds: now =>
            failingSince ?? (isCommitting && now - progressedAt > SLOW_COMMIT_MILLISECONDS ? progressedAt : undefined),
        recordConfirmation(at) {
            confirmedAt = Math.max(confirmedAt, at);
        },
        release() {
            isReleasing = true;
            commitRequest.wake();
            return released.promise;
        },
        isReleaseSent: () => isReleaseSent,
        async run() {
            while (!signal.aborted && !isReleasing) {
                await waitUntilCommitDue();
                if (isAborted(signal) || mustRelease()) {
                    break;
                }
                isUrgent = false;
                isRequested = false;
                if (!await commitOnce(false)) {
                    isRequested = true;
                    isUrgent = true;
                    await pause(settings.commitRetryMilliseconds, signal);
                }
            }
            // The record of an owner need not be announced any more, and its lease may have ended.
            attached = attached.filter(isUnleased);
            released.resolve(mustRelease() && await commitOnce(true));
            batch.resolve(false);
        },
    };
}

function isUnleased(write: WriteOperation): boolean {
    return write.kind === "delete" || write.leaseId === undefined;
}

function createBatch(): Batch {
    let settle: (isCommitted: boolean) => void = () => undefined;
    const promise = new Promise<boolean>(resolve => {
        settle = resolve;
    });
    return { promise, resolve: isCommitted => settle(isCommitted) };
}
