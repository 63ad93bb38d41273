/**
 * The workers of a cell: follows the platform's list, records which workers are in use, and runs a session with each.
 */
import { describeThrown } from "../../core/errors.js";
import { pause } from "../../core/time.js";
import { recordWorkerUnused, recordWorkerUsed } from "../job-table/job-table.js";
import type { ListedWorker, WorkerList } from "../model/worker.js";
import { isOwnershipProven, summarizeEvidence } from "./authority.js";
import type { CellContext } from "./context.js";
import type { Recovery } from "./recovery.js";
import { runSession } from "./session.js";
import {
    applyListing,
    attemptsLapsedAt,
    createCellWorker,
    hasStoppedListing,
    leasesLapsedAt,
    runsForeignDespiteStops,
} from "./worker.js";
import type { CellWorker } from "./worker.js";

/** Time between two checks of unlisted workers and of the recovery. */
const CHECK_INTERVAL_MILLISECONDS = 200;

/** Wait before a session that ended with an unexpected error begins anew. */
const SESSION_RETRY_MILLISECONDS = 1_000;

/** Options of the worker sessions. */
export interface WorkerSessionsOptions {
    readonly cell: CellContext;
    readonly recovery: Recovery;
    /** Workers that may run attempts according to the ledger; updated by the sessions. */
    readonly workersInUse: Set<string>;
    readonly workerList: WorkerList;
    /** Whether all former owners have stopped sending orders. */
    haveFormerOwnersStopped(): boolean;
    /** Times after which nothing of the former owners runs, by worker; absent until all of them have told. */
    formerLeaseEnds(): ReadonlyMap<string, number> | undefined;
    /** Called when no attempt of a former owner can be running unseen any more. */
    onRecovered(): void;
}

/** Creates the worker sessions, which follow the list of workers until the signal is aborted. */
export function createWorkerSessions(options: WorkerSessionsOptions): { run(): Promise<void>; } {
    const { cell, recovery, workerList, workersInUse } = options;
    const { jobTable, clock, signal, workers } = cell;
    let areFormerStopsRecorded = false;
    let areOrdersSuspended = false;
    /** Workers that the recovery has given up without an answer. */
    const givenUp: string[] = [];
    const sessions = new Map<string, { readonly end: AbortController; readonly done: Promise<void>; }>();

    const addWorker = (listed: ListedWorker, now: number): void => {
        const isRecorded = workersInUse.has(listed.id);
        const worker = createCellWorker(listed, isRecorded, now);
        applyListing(worker, listed, now);
        workers.set(listed.id, worker);
        if (!isRecorded) {
            recordUse(listed.id);
        }
        const end = new AbortController();
        const done = keepSession(worker, AbortSignal.any([signal, end.signal]));
        sessions.set(listed.id, { end, done });
    };

    /** Begins a session anew if it ends with an unexpected error, so that one worker's messages cannot end the process. */
    const keepSession = async (worker: CellWorker, ended: AbortSignal): Promise<void> => {
        for (;;) {
            try {
                await runSession(cell, worker, ended);
                return;
            }
            catch (thrown) {
                worker.contact = "silent";
                cell.log.write(
                    "session-broken",
                    { worker: worker.listed.id, failure: describeThrown(thrown) },
                    "vital",
                );
                await pause(SESSION_RETRY_MILLISECONDS, ended);
            }
        }
    };

    const recordUse = (id: string): void => {
        workersInUse.add(id);
        recordWorkerUsed(jobTable, id);
        cell.commits.requestCommit(true);
    };

    /**
     * Removes a silent worker from those in use once all its leases have lapsed: it runs no attempts, so a successor need
     * not wait for it. It is recorded again when it answers, before any attempt is started on it.
     */
    const updateUse = (worker: CellWorker, now: number): void => {
        const { id } = worker.listed;
        const isIdle = jobTable.occupancy.load(id).attempts.length === 0;
        if (
            worker.contact === "silent" && isIdle && worker.clock !== undefined
            && now > attemptsLapsedAt(worker, cell.settings.leaseMilliseconds)
        ) {
            if (workersInUse.has(id) && isRemovalAllowed(now)) {
                workersInUse.delete(id);
                worker.isRecorded = false;
                recordWorkerUnused(jobTable, id);
                cell.commits.requestCommit(false);
            }
        }
        else if (worker.contact === "answering" && !workersInUse.has(id)) {
            recordUse(id);
        }
    };

    /**
     * Whether workers may be removed from those in use. Without a recent commit they have to stay, because an owner without a
     * successor is one that most workers in use answer, and the ledger still lists them.
     */
    const isRemovalAllowed = (now: number): boolean => {
        const isProven = isOwnershipProven(cell.listEvidence(), cell.settings, now);
        if (!isProven) {
            void cell.commits.confirmOwnership();
        }
        return isProven;
    };

    const removeWorker = (worker: CellWorker): void => {
        const { id } = worker.listed;
        sessions.get(id)?.end.abort();
        sessions.delete(id);
        workers.delete(id);
        if (workersInUse.delete(id)) {
            recordWorkerUnused(jobTable, id);
        }
        cell.orders.closeConnections(worker.listed);
        cell.commits.requestCommit(false);
        cell.log.write("worker-dismissed", {
            worker: id,
            answeredMillisecondsAgo: Math.round(clock() - worker.lastAnswerAtMilliseconds),
        }, "vital");
    };

    const applyList = (now: number): void => {
        const listed = workerList.current();
        for (const entry of listed.values()) {
            const worker = workers.get(entry.id);
            if (worker === undefined) {
                addWorker(entry, now);
                cell.log.write(
                    "worker-listed",
                    { worker: entry.id, pool: entry.pool, capacity: entry.capacity },
                    "vital",
                );
            }
            else {
                updateListedWorker(worker, entry, now);
            }
        }
        for (const worker of workers.values()) {
            if (!listed.has(worker.listed.id)) {
                markUnlisted(worker, now);
            }
        }
        cell.requestDispatch();
    };

    const updateListedWorker = (worker: CellWorker, entry: ListedWorker, now: number): void => {
        if (entry.isDraining && !worker.listed.isDraining) {
            cell.log.write("worker-draining", {
                worker: entry.id,
                leavesInMilliseconds: entry.leavesInMilliseconds,
                attempts: jobTable.occupancy.load(entry.id).attempts.length,
            }, "vital");
        }
        applyListing(worker, entry, now);
    };

    /** Marks a worker as unlisted, unless the list's source is unavailable: entries of live workers may lapse meanwhile. */
    const markUnlisted = (worker: CellWorker, now: number): void => {
        if (!workerList.isUpToDate(now)) {
            worker.unlistedSinceMilliseconds = undefined;
        }
        else if (worker.unlistedSinceMilliseconds === undefined) {
            worker.unlistedSinceMilliseconds = now;
            cell.log.write("worker-unlisted", { worker: worker.listed.id, contact: worker.contact }, "vital");
        }
    };

    /** Requests a commit if nothing else allows orders, and logs when that begins and ends. */
    const checkPermission = (now: number): void => {
        const maySend = cell.maySendOrders(now);
        if (!maySend) {
            void cell.commits.confirmOwnership();
        }
        if (maySend === areOrdersSuspended) {
            areOrdersSuspended = !maySend;
            cell.log.write(maySend ? "orders-resumed" : "orders-suspended", {
                cell: cell.name,
                epoch: cell.epoch,
                ...summarizeEvidence(cell.listEvidence(), cell.settings, now),
            }, "vital");
        }
    };

    /**
     * Withholds leases from a worker that does not list its ends, or runs attempts of no task in spite of stop orders. Once its leases have
     * lapsed, it runs nothing, so that its tasks can be started elsewhere.
     */
    const updateWithholding = (worker: CellWorker, now: number): void => {
        const { id } = worker.listed;
        const isWithheld = recovery.isOverdue(id, now) && hasStoppedListing(worker, now)
            || runsForeignDespiteStops(worker, now);
        if (isWithheld !== worker.isLeaseWithheld) {
            worker.isLeaseWithheld = isWithheld;
            cell.log.write(isWithheld ? "lease-withheld" : "lease-allowed", { worker: id }, "vital");
        }
    };

    /** Updates the recovery, and removes silent unlisted workers once no attempt can be running on them. */
    const checkWorkers = (now: number): void => {
        if (!areFormerStopsRecorded && options.haveFormerOwnersStopped()) {
            areFormerStopsRecorded = true;
            recovery.recordPredecessorEnd(now);
        }
        const leaseEnds = options.formerLeaseEnds();
        if (leaseEnds !== undefined) {
            recovery.recordLeaseEnds(leaseEnds);
        }
        checkPermission(now);
        cell.crashes.review(now);
        for (const worker of workers.values()) {
            updateUse(worker, now);
            updateWithholding(worker, now);
            const hasReportedAll = worker.contact === "answering" && worker.hasReportedAll;
            if (hasReportedAll && recovery.recordAnswer(worker.listed.id, now)) {
                endRecovery();
            }
            if (worker.unlistedSinceMilliseconds === undefined || worker.contact !== "silent") {
                continue;
            }
            const isUnanswered = recovery.unanswered().includes(worker.listed.id);
            const isIdle = jobTable.occupancy.load(worker.listed.id).attempts.length === 0;
            if (isIdle && !isUnanswered && isRemovalAllowed(now)) {
                removeWorker(worker);
            }
        }
        const expired = recovery.expire(now, id => {
            const worker = workers.get(id);
            return worker === undefined ? 0 : leasesLapsedAt(worker);
        });
        givenUp.push(...expired);
        if (expired.length > 0 && recovery.unanswered().length === 0) {
            endRecovery();
        }
    };

    const endRecovery = (): void => {
        const { epoch, name } = cell;
        cell.log.write("recovery-ended", { cell: name, epoch, unansweredWorkers: givenUp }, "vital");
        options.onRecovered();
        cell.requestDispatch();
    };

    return {
        async run() {
            const unsubscribe = workerList.onChange(() => applyList(clock()));
            applyList(clock());
            while (!signal.aborted) {
                const now = clock();
                [...workers.values()].filter(({ listed }) => !workerList.current().has(listed.id))
                    .forEach(worker => markUnlisted(worker, now));
                checkWorkers(now);
                await pause(CHECK_INTERVAL_MILLISECONDS, signal);
            }
            unsubscribe();
            await Promise.all([...sessions.values()].map(({ done }) => done));
        },
    };
}
