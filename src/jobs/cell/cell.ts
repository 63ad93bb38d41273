/**
 * The owner's side of a cell: callers' requests, worker sessions, starts and commits.
 */
import { setMaxListeners } from "node:events";
import type { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import { pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import type { WriteOperation } from "../../platform/store.js";
import { releaseEndedJobs } from "../job-table/held-jobs.js";
import { createJobTable } from "../job-table/job-table.js";
import { confirmJob, openDeferredJobs, removeEndedJobs } from "../job-table/lifecycle.js";
import { replaySegment } from "../job-table/restore.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Changes, Segment } from "../ledger/segment.js";
import type { JobsMetrics } from "../metrics.js";
import type { Catalog } from "../model/catalog.js";
import type { ClosureSource } from "../model/closures.js";
import type { JobReference, PendingAnswer, StateAnswer, SubmitAnswer, SubmitRequest } from "../model/requests.js";
import type { WorkerList, WorkerOrders } from "../model/worker.js";
import { createDurations } from "../policy/durations.js";
import { createInterference } from "../policy/interference.js";
import type { CellSettings } from "../settings.js";
import { maySendOrders } from "./authority.js";
import type { OwnershipEvidence } from "./authority.js";
import { createCellClosures } from "./closures.js";
import { createCommits } from "./commits.js";
import type { CellContext } from "./context.js";
import { createCrashes } from "./crashes.js";
import { createDispatcher } from "./dispatch.js";
import { clearLoad, showLoad, summarizeLoad } from "./load.js";
import { createRecovery, listLeaseEnds } from "./recovery.js";
import { createRequestHandler } from "./request-handler.js";
import { createWaitingLines } from "./waiting-lines.js";
import { createWorkerSessions } from "./worker-sessions.js";
import { longestFormerLease } from "./worker.js";

/** Time between two removals of ended jobs; the load is logged as often. */
const CLEANUP_INTERVAL_MILLISECONDS = 1_000;

/** Time after its end at which a job is released except for its state; late orders to workers have been found by then. */
const RELEASE_AFTER_MILLISECONDS = 15_000;

/** Options of a cell's owner. */
export interface CellOptions {
    readonly name: string;
    readonly settings: CellSettings;
    readonly workerList: WorkerList;
    /** Source of the closed data centres; absent if data centres are never closed. */
    readonly closures?: ClosureSource | undefined;
    readonly orders: WorkerOrders;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: JobsMetrics;
    catalog(): Catalog;
}

/** A claimed cell with the ledger of its predecessors. */
export interface ClaimedCell {
    readonly journal: Ledger;
    readonly segments: readonly Segment[];
    /** When the claim was sent, and when it had succeeded. */
    readonly claimSentAtMilliseconds: number;
    readonly claimedAtMilliseconds: number;
    /** Whether all former owners that may have been sending orders at the claim have stopped. */
    haveFormerOwnersStopped(): boolean;
    /** Times after which nothing of the former owners runs, by worker; absent until all of them have told. */
    formerLeaseEnds(): ReadonlyMap<string, number> | undefined;
}

/** An owned cell. */
export interface Cell {
    readonly name: string;
    readonly epoch: number;
    submit(request: SubmitRequest): Promise<Result<SubmitAnswer, Failure>>;
    state(reference: JobReference): Promise<Result<StateAnswer, Failure>>;
    cancel(reference: JobReference): Promise<Result<StateAnswer, Failure>>;
    pending(queue: string): PendingAnswer;
    /** Adds a write to the next commit, under the cell's fence. */
    attachWrite(write: WriteOperation): void;
    recordConfirmation(at: number): void;
    /** How long commits have been failing, in milliseconds; 0 while they succeed. */
    failingMilliseconds(now: number): number;
    /** Releases the cell with a last commit; resolves to false if that failed. */
    release(): Promise<boolean>;
    /** Whether a worker may still run what a former owner has started. */
    isRecovering(): boolean;
    /** Times after which nothing of this owner or one before it can be running, by worker. */
    leaseEnds(): Map<string, number>;
    /** Stops at once, without further orders or commits. */
    abandon(reason: string): void;
    /** Runs until the cell is released or taken over, or the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

/** Creates the owner's side of a claimed cell. */
export function createCell(options: CellOptions, claimed: ClaimedCell): Cell {
    const { clock, log, name, settings } = options;
    const { journal } = claimed;
    const { epoch, predecessor } = journal;
    const ownershipEnd = new AbortController();
    // All waits listen to this signal, so many listeners do not indicate a leak.
    setMaxListeners(0, ownershipEnd.signal);
    const workersInUse = new Set<string>();
    const jobTable = createJobTable({
        epoch,
        heldBytesLimit: settings.heldBytesLimit,
        maximumAttempts: queue => options.catalog().queues.get(queue)?.maximumAttempts ?? Infinity,
    });
    claimed.segments.forEach(segment => replaySegment(jobTable, segment, workersInUse, clock()));
    releaseEndedJobs(jobTable, clock() - RELEASE_AFTER_MILLISECONDS);
    const workers: CellContext["workers"] = new Map();
    const recovery = createRecovery({
        workers: workersInUse,
        claimedAtMilliseconds: claimed.claimedAtMilliseconds,
        predecessorActiveMilliseconds: claimed.haveFormerOwnersStopped() ? 0 : settings.horizonMilliseconds,
        longestLeaseOf(id, lastOrdersAt) {
            const listed = workers.get(id)?.listed ?? options.workerList.current().get(id);
            return longestFormerLease(listed?.incarnation, jobTable.lives.get(id), settings, lastOrdersAt);
        },
        contactMilliseconds: settings.contactMilliseconds,
    });
    if (recovery.unanswered().length === 0) {
        journal.settleFormerOwners();
    }
    const abandon = (reason: string): void => {
        if (!ownershipEnd.signal.aborted) {
            log.write("cell-lost", { cell: name, epoch, reason }, "vital");
            ownershipEnd.abort();
        }
    };

    const onCommitted = (changes: Changes, now: number): void => {
        for (const { id } of changes.accepted) {
            confirmJob(jobTable, id, now);
        }
        for (const { id, queue, state, isUnsubmitted } of changes.ended) {
            const entry = jobTable.jobs.get(id);
            if (entry !== undefined) {
                entry.reportedState = state;
            }
            if (isUnsubmitted === true) {
                log.write("cancel-recorded", { job: id, queue, epoch });
                continue;
            }
            confirmJob(jobTable, id, now);
            options.metrics.jobsEnded.inc({ state });
            log.write("job-ended", {
                job: id,
                queue,
                state,
                milliseconds: entry === undefined ? undefined : Math.round(now - entry.acceptedAtMilliseconds),
            });
        }
        for (const id of changes.workersUsed) {
            const worker = workers.get(id);
            // The worker may have become silent and been removed from those in use during the commit.
            if (worker !== undefined && workersInUse.has(id)) {
                worker.isRecorded = true;
            }
        }
        dispatcher.requestDispatch();
    };

    const requestHandler = createRequestHandler({
        jobTable,
        clock,
        log,
        epoch,
        commits: () => commits,
        requestDispatch: () => dispatcher.requestDispatch(),
    });
    const commits = createCommits({
        jobTable,
        journal,
        workers,
        workersInUse,
        claimSentAtMilliseconds: claimed.claimSentAtMilliseconds,
        settings,
        clock,
        log,
        metrics: options.metrics,
        signal: ownershipEnd.signal,
        onCommitted,
        onConflict: message => abandon(message),
        onFailed: milliseconds => requestHandler.refuseUncommitted(milliseconds),
    });
    const listEvidence = (): OwnershipEvidence => ({
        committedAtMilliseconds: commits.committedAtMilliseconds(),
        confirmedAtMilliseconds: commits.confirmedAtMilliseconds(),
        answersAtMilliseconds: listAnswers(),
    });
    /** A worker counts once the ledger lists it, as a successor knows no others. */
    function* listAnswers(): Iterable<number> {
        for (const id of workersInUse) {
            const worker = workers.get(id);
            const isAnswering = worker !== undefined && worker.isRecorded && worker.contact === "answering";
            yield isAnswering ? worker.lastAnswerAtMilliseconds : -Infinity;
        }
    }
    const requestDispatch = (): void => dispatcher.requestDispatch();
    const closures = createCellClosures({
        ...options,
        source: options.closures,
        workers,
        signal: ownershipEnd.signal,
        requestDispatch,
    });
    const context: CellContext = {
        ...options,
        epoch,
        jobTable,
        workers,
        commits,
        interference: createInterference(),
        durations: createDurations(),
        closures,
        signal: ownershipEnd.signal,
        maySendOrders: now =>
            !ownershipEnd.signal.aborted && !commits.isReleaseSent() && maySendOrders(listEvidence(), settings, now),
        listEvidence,
        handleOwnerReplaced: (reason, peer) => abandon(`${peer}: ${reason}`),
        requestDispatch,
        crashes: createCrashes({ commits, jobTable, log, requestDispatch }),
    };
    const dispatcher = createDispatcher(context, recovery);
    const workerSessions = createWorkerSessions({
        cell: context,
        recovery,
        workersInUse,
        workerList: options.workerList,
        haveFormerOwnersStopped: () => claimed.haveFormerOwnersStopped(),
        formerLeaseEnds: () => claimed.formerLeaseEnds(),
        onRecovered: () => journal.settleFormerOwners(),
    });

    const waitingLines = createWaitingLines({ cell: context, recovery, latestPass: () => dispatcher.latestPass() });

    const cleanUp = async (): Promise<void> => {
        while (!ownershipEnd.signal.aborted) {
            const now = clock();
            removeEndedJobs(jobTable, now - settings.keepEndedMilliseconds);
            releaseEndedJobs(jobTable, now - RELEASE_AFTER_MILLISECONDS);
            openDeferredJobs(jobTable, now);
            const load = summarizeLoad(context, recovery, waitingLines.check(now), now);
            log.write("cell-load", { cell: name, epoch, ...load, ...dispatcher.takeWork() }, "vital");
            showLoad(options.metrics, load);
            await pause(CLEANUP_INTERVAL_MILLISECONDS, ownershipEnd.signal);
        }
        clearLoad(options.metrics);
    };

    return {
        name,
        epoch,
        submit: request => requestHandler.submit(request),
        state: reference => requestHandler.state(reference),
        cancel: reference => requestHandler.cancel(reference),
        pending(queue) {
            let pending = 0;
            for (const entry of jobTable.jobs.values()) {
                pending += entry.queue === queue && entry.state === "queued" && entry.isCommitted ? 1 : 0;
            }
            return { pending };
        },
        attachWrite: write => commits.attachWrite(write),
        recordConfirmation: at => commits.recordConfirmation(at),
        failingMilliseconds: now => now - (commits.failingSinceMilliseconds(now) ?? now),
        release: () => commits.release(),
        isRecovering: () => recovery.unanswered().length > 0,
        leaseEnds: () => listLeaseEnds(workers, recovery, settings.leaseMilliseconds),
        abandon,
        async run(signal) {
            const stop = (): void => ownershipEnd.abort();
            signal.addEventListener("abort", stop, { once: true });
            log.write("cell-owned", {
                cell: name,
                epoch,
                jobs: jobTable.jobs.size,
                unheardWorkers: recovery.unanswered().length,
                predecessor: predecessor?.owner,
                formerOwners: journal.formerOwners,
                haveFormerOwnersStopped: claimed.haveFormerOwnersStopped(),
            }, "vital");
            // A read that is under way at the end does not hold up the next claim.
            void closures.run();
            const running = [workerSessions.run(), dispatcher.run(), cleanUp()];
            await commits.run();
            ownershipEnd.abort();
            signal.removeEventListener("abort", stop);
            await Promise.all(running);
        },
    };
}
