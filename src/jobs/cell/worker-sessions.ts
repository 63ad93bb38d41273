/**
 * The workers of a cell: who is listed, who may run attempts, and a session with each.
 */
import { pause } from "../../core/time.js";
import { recordWorkerUnused, recordWorkerUsed } from "../job-table/job-table.js";
import type { ListedWorker, WorkerList } from "../model/worker.js";
import type { CellContext } from "./context.js";
import type { Recovery } from "./recovery.js";
import { runSession } from "./session.js";
import { applyListing, createCellWorker, leasesLapsedAt } from "./worker.js";
import type { CellWorker } from "./worker.js";

/** Time between two looks at workers that are gone and at the recovery. */
const CHECK_INTERVAL_MILLISECONDS = 200;

/** What the crew needs. */
export interface WorkerSessionsOptions {
    readonly cell: CellContext;
    readonly recovery: Recovery;
    /** Workers that may run attempts, by the ledger; kept up here. */
    readonly workersInUse: Set<string>;
    readonly workerList: WorkerList;
    /** Whether the predecessor's process has certainly ended. */
    isPredecessorGone(): boolean;
}

/** Follows the list of workers until the cell ends. */
export function createWorkerSessions(options: WorkerSessionsOptions): { run(): Promise<void>; } {
    const { cell, recovery, workerList, workersInUse } = options;
    const { jobTable, clock, signal, workers } = cell;
    let isPredecessorEndRecorded = false;
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
        const done = runSession(cell, worker, AbortSignal.any([signal, end.signal]));
        sessions.set(listed.id, { end, done });
    };

    const recordUse = (id: string): void => {
        workersInUse.add(id);
        recordWorkerUsed(jobTable, id);
        cell.commits.requestCommit(true);
    };

    /**
     * A silent worker on which every lease has lapsed runs nothing: a successor need not wait for it. It is recorded anew
     * once it answers, before it gets anything to do.
     */
    const updateUse = (worker: CellWorker, now: number): void => {
        const { id } = worker.listed;
        const isIdle = jobTable.occupancy.load(id).attempts.length === 0;
        if (worker.contact === "silent" && isIdle && worker.clock !== undefined && now > leasesLapsedAt(worker)) {
            if (workersInUse.delete(id)) {
                worker.isRecorded = false;
                recordWorkerUnused(jobTable, id);
                cell.commits.requestCommit(false);
            }
        }
        else if (worker.contact === "answering" && !workersInUse.has(id)) {
            recordUse(id);
        }
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

    /** While the list's source is away, its entries may lapse although their workers live. */
    const markUnlisted = (worker: CellWorker, now: number): void => {
        if (!workerList.isUpToDate(now)) {
            worker.unlistedSinceMilliseconds = undefined;
        }
        else if (worker.unlistedSinceMilliseconds === undefined) {
            worker.unlistedSinceMilliseconds = now;
            cell.log.write("worker-unlisted", { worker: worker.listed.id, contact: worker.contact }, "vital");
        }
    };

    /** A worker that is gone is let go once nothing can be running on it. */
    const checkWorkers = (now: number): void => {
        if (!isPredecessorEndRecorded && options.isPredecessorGone()) {
            isPredecessorEndRecorded = true;
            recovery.recordPredecessorEnd(now);
        }
        for (const worker of workers.values()) {
            updateUse(worker, now);
            if (worker.contact === "answering" && recovery.recordAnswer(worker.listed.id)) {
                endRecovery();
            }
            if (worker.unlistedSinceMilliseconds === undefined || worker.contact !== "silent") {
                continue;
            }
            const isUnanswered = recovery.unanswered().includes(worker.listed.id);
            if (jobTable.occupancy.load(worker.listed.id).attempts.length === 0 && !isUnanswered) {
                removeWorker(worker);
            }
        }
        if (recovery.expire(now)) {
            endRecovery();
        }
    };

    const endRecovery = (): void => {
        cell.log.write("recovery-ended", { cell: cell.name, epoch: cell.epoch }, "vital");
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
