/**
 * Group commit: all changes of a short time go to the ledger in one write, and whoever waits for one of them is told.
 */
import { formatFailure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import { isAborted, pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import { createWake } from "../../core/wake.js";
import type { WriteOperation } from "../../platform/store.js";
import { returnChanges, takeChanges } from "../board/board.js";
import type { Board } from "../board/board.js";
import { describeBoard } from "../board/restore.js";
import { VALUE_LIMIT_BYTES } from "../ledger/journal.js";
import type { Journal } from "../ledger/journal.js";
import { isEmpty, splitChanges } from "../ledger/segment.js";
import type { Changes } from "../ledger/segment.js";
import type { JobsMetrics } from "../metrics.js";
import type { CellSettings } from "../settings.js";
import type { CellWorker } from "./worker.js";

/** What group commit needs. */
export interface CommitsOptions {
    readonly board: Board;
    readonly journal: Journal;
    readonly workers: ReadonlyMap<string, CellWorker>;
    readonly workersInUse: ReadonlySet<string>;
    readonly settings: CellSettings;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: JobsMetrics;
    readonly signal: AbortSignal;
    /** The ledger holds these changes. */
    onCommitted(changes: Changes, now: number): void;
    /** The store has not taken a commit; commits have failed for so long. */
    onFailed(failingMilliseconds: number): void;
    /** The cell has another owner. */
    onConflict(message: string): void;
}

/** Commits changes of the books. */
export interface Commits {
    /** There are changes; urgent ones have somebody waiting for them. */
    request(isUrgent: boolean): void;
    /** Resolves once what is in the books now has been committed; false where it never will be by this owner. */
    settled(): Promise<boolean>;
    /** Commits even without changes: resolves true once a commit sent from now on has shown that the cell is this owner's. */
    prove(): Promise<boolean>;
    /** Writes that go along with the next commit. */
    attach(write: WriteOperation): void;
    /** When the store last confirmed that the cell is this owner's: the time before that commit was sent. */
    confirmedAtMilliseconds(): number;
    /** When the last commit was sent that the store took: nobody else had claimed the cell before. */
    committedAtMilliseconds(): number;
    /** Since when commits have failed, or the present one has waited for its outcome; absent while all is well. */
    failingSinceMilliseconds(now: number): number | undefined;
    /** Notes a confirmation by other means. */
    noteConfirmation(at: number): void;
    /** Gives the cell up with a last commit. */
    release(): Promise<boolean>;
    run(): Promise<void>;
}

/** Longest wait for changes; they wake the wait. */
const IDLE_MILLISECONDS = 10_000;

/** A commit that waits longer for its outcome is in trouble: a slow store takes some hundred milliseconds. */
const SLOW_COMMIT_MILLISECONDS = 700;

interface Batch {
    readonly promise: Promise<boolean>;
    resolve(isCommitted: boolean): void;
}

/** Creates the group commit of a cell. */
export function createCommits(options: CommitsOptions): Commits {
    const { board, clock, journal, log, metrics, settings, signal } = options;
    const released = createBatch();
    let batch = createBatch();
    let attached: WriteOperation[] = [];
    let isUrgent = false;
    let isRequested = false;
    let isReleasing = false;
    let isProofWanted = false;
    const news = createWake();
    let confirmedAt = clock();
    let committedAt = confirmedAt;
    let failingSince: number | undefined;
    let startedAt = 0;
    /** When the commit under way was sent, or the store last took a part of it. */
    let progressedAt = 0;
    let isCommitting = false;

    /** Workers whose ends are in the books up to here; acknowledged once the books are committed. */
    const noteSequences = () =>
        [...options.workers.values()]
            .filter(worker => worker.notedSequence > worker.committedSequence)
            .map(worker => ({ worker, incarnation: worker.incarnation, sequence: worker.notedSequence }));

    const acknowledge = (noted: ReturnType<typeof noteSequences>): void => {
        for (const { worker, incarnation, sequence } of noted) {
            if (worker.incarnation === incarnation) {
                worker.committedSequence = Math.max(worker.committedSequence, sequence);
            }
        }
    };

    const commitOnce = async (isRelease: boolean): Promise<boolean> => {
        const noted = noteSequences();
        const taken = takeChanges(board);
        if (isEmpty(taken) && attached.length === 0 && !isRelease && !isProofWanted) {
            acknowledge(noted);
            batch.resolve(true);
            batch = createBatch();
            return true;
        }
        const current = batch;
        batch = createBatch();
        const writes = attached;
        attached = [];
        isProofWanted = false;
        // A part that fits is committed first, the rest right after it.
        const [changes = taken, ...rest] = splitChanges(taken, VALUE_LIMIT_BYTES);
        rest.reverse().forEach(part => returnChanges(board, part));
        startedAt = clock();
        progressedAt = startedAt;
        isCommitting = true;
        // What is not part of a commit whose outcome is long in coming need not wait for it.
        const watch = setInterval(() => {
            if (clock() - progressedAt > SLOW_COMMIT_MILLISECONDS) {
                options.onFailed(clock() - progressedAt);
            }
        }, SLOW_COMMIT_MILLISECONDS / 4);
        const committed = await journal.commit({
            changes,
            whole: () => describeBoard(board, options.workersInUse),
            isRelease,
            alongside: writes,
            onProgress(sentAt) {
                progressedAt = clock();
                confirmedAt = Math.max(confirmedAt, sentAt);
                committedAt = Math.max(committedAt, sentAt);
            },
        });
        clearInterval(watch);
        isCommitting = false;
        const now = clock();
        if (committed.isErr) {
            const { code } = committed.error;
            if (code === "conflict" || code === "ambiguous") {
                // The write may have taken effect before another owner came, so nobody may be told that it did not.
                log.write(
                    "commit-unsettled",
                    { epoch: journal.epoch, failure: formatFailure(committed.error) },
                    "vital",
                );
                current.resolve(false);
                options.onConflict(formatFailure(committed.error));
                return false;
            }
            returnChanges(board, changes);
            // Whoever waits for this commit goes on to wait for the next one, which must not be left out as empty.
            isProofWanted = true;
            // A lease that has ended takes its record with it; whoever keeps the record attaches it anew.
            attached = code === "not-found" ? attached : [...writes, ...attached];
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
        acknowledge(noted);
        current.resolve(true);
        return true;
    };

    /** Waits until a commit is due. */
    const waitForWork = async (): Promise<void> => {
        while (!isRequested && attached.length === 0 && !isReleasing && !signal.aborted) {
            await news.wait(IDLE_MILLISECONDS, signal);
        }
        while (!signal.aborted && !isReleasing) {
            const gap = isUrgent ? settings.urgentCommitMilliseconds : settings.lazyCommitMilliseconds;
            const left = startedAt + gap - clock();
            if (left <= 0) {
                return;
            }
            await news.wait(left, signal);
        }
    };

    const hasToRelease = (): boolean => isReleasing && !isAborted(signal);

    const request = (urgent: boolean): void => {
        const isNews = !isRequested || urgent && !isUrgent;
        isRequested = true;
        isUrgent ||= urgent;
        if (isNews) {
            news.wake();
        }
    };

    return {
        request,
        settled: () => batch.promise,
        prove() {
            isProofWanted = true;
            request(true);
            return batch.promise;
        },
        attach(write) {
            attached.push(write);
            isUrgent = true;
            news.wake();
        },
        confirmedAtMilliseconds: () => confirmedAt,
        committedAtMilliseconds: () => committedAt,
        failingSinceMilliseconds: now =>
            failingSince ?? (isCommitting && now - progressedAt > SLOW_COMMIT_MILLISECONDS ? progressedAt : undefined),
        noteConfirmation(at) {
            confirmedAt = Math.max(confirmedAt, at);
        },
        release() {
            isReleasing = true;
            news.wake();
            return released.promise;
        },
        async run() {
            while (!signal.aborted && !isReleasing) {
                await waitForWork();
                if (isAborted(signal) || hasToRelease()) {
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
            released.resolve(hasToRelease() && await commitOnce(true));
            batch.resolve(false);
        },
    };
}

function createBatch(): Batch {
    let settle: (isCommitted: boolean) => void = () => undefined;
    const promise = new Promise<boolean>(resolve => {
        settle = resolve;
    });
    return { promise, resolve: isCommitted => settle(isCommitted) };
}
