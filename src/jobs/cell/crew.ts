/**
 * The workers of a cell: who is listed, who may run attempts, and a session with each.
 */
import { pause } from "../../core/time.js";
import { noteWorkerLeft, noteWorkerUsed } from "../board/board.js";
import type { ListedWorker, WorkerList } from "../model/worker.js";
import type { CellContext } from "./context.js";
import type { Recovery } from "./recovery.js";
import { runSession } from "./session.js";
import { certainLapse, createCellWorker, takeListing } from "./worker.js";
import type { CellWorker } from "./worker.js";

/** Time between two looks at workers that are gone and at the recovery. */
const LOOK_MILLISECONDS = 200;

/** What the crew needs. */
export interface CrewOptions {
    readonly cell: CellContext;
    readonly recovery: Recovery;
    /** Workers that may run attempts, by the ledger; kept up here. */
    readonly workersInUse: Set<string>;
    readonly workerList: WorkerList;
    /** Whether the predecessor's process has certainly ended. */
    isPredecessorGone(): boolean;
}

/** Follows the list of workers until the cell ends. */
export function createCrew(options: CrewOptions): { run(): Promise<void>; } {
    const { cell, recovery, workerList, workersInUse } = options;
    const { board, clock, signal, workers } = cell;
    let isPredecessorOver = false;
    const sessions = new Map<string, { readonly end: AbortController; readonly done: Promise<void>; }>();

    const employ = (listed: ListedWorker, now: number): void => {
        const isRecorded = workersInUse.has(listed.id);
        const worker = createCellWorker(listed, isRecorded, now);
        takeListing(worker, listed, now);
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
        noteWorkerUsed(board, id);
        cell.commits.request(true);
    };

    /**
     * A silent worker on which every lease has lapsed runs nothing: a successor need not wait for it. It is recorded anew
     * once it answers, before it gets anything to do.
     */
    const reviewUse = (worker: CellWorker, now: number): void => {
        const { id } = worker.listed;
        const isIdle = board.occupancy.load(id).attempts.length === 0;
        if (worker.contact === "silent" && isIdle && worker.clock !== undefined && now > certainLapse(worker)) {
            if (workersInUse.delete(id)) {
                worker.isRecorded = false;
                noteWorkerLeft(board, id);
                cell.commits.request(false);
            }
        }
        else if (worker.contact === "answering" && !workersInUse.has(id)) {
            recordUse(id);
        }
    };

    const dismiss = (worker: CellWorker): void => {
        const { id } = worker.listed;
        sessions.get(id)?.end.abort();
        sessions.delete(id);
        workers.delete(id);
        if (workersInUse.delete(id)) {
            noteWorkerLeft(board, id);
        }
        cell.orders.forget(worker.listed);
        cell.commits.request(false);
        cell.log.write("worker-dismissed", {
            worker: id,
            answeredMillisecondsAgo: Math.round(clock() - worker.lastAnswerAtMilliseconds),
        }, "vital");
    };

    const takeList = (now: number): void => {
        const listed = workerList.current();
        for (const entry of listed.values()) {
            const worker = workers.get(entry.id);
            if (worker === undefined) {
                employ(entry, now);
                cell.log.write(
                    "worker-listed",
                    { worker: entry.id, pool: entry.pool, capacity: entry.capacity },
                    "vital",
                );
            }
            else {
                noteListed(worker, entry, now);
            }
        }
        for (const worker of workers.values()) {
            if (!listed.has(worker.listed.id)) {
                noteMissing(worker, now);
            }
        }
        cell.wakeDispatch();
    };

    const noteListed = (worker: CellWorker, entry: ListedWorker, now: number): void => {
        if (entry.isDraining && !worker.listed.isDraining) {
            cell.log.write("worker-draining", {
                worker: entry.id,
                leavesInMilliseconds: entry.leavesInMilliseconds,
                attempts: board.occupancy.load(entry.id).attempts.length,
            }, "vital");
        }
        takeListing(worker, entry, now);
    };

    /** While the list's source is away, its entries may lapse although their workers live. */
    const noteMissing = (worker: CellWorker, now: number): void => {
        if (!workerList.isSettled(now)) {
            worker.unlistedSinceMilliseconds = undefined;
        }
        else if (worker.unlistedSinceMilliseconds === undefined) {
            worker.unlistedSinceMilliseconds = now;
            cell.log.write("worker-unlisted", { worker: worker.listed.id, contact: worker.contact }, "vital");
        }
    };

    /** A worker that is gone is let go once nothing can be running on it. */
    const look = (now: number): void => {
        if (!isPredecessorOver && options.isPredecessorGone()) {
            isPredecessorOver = true;
            recovery.notePredecessorOver(now);
        }
        for (const worker of workers.values()) {
            reviewUse(worker, now);
            if (worker.contact === "answering" && recovery.noteHeard(worker.listed.id)) {
                endRecovery();
            }
            if (worker.unlistedSinceMilliseconds === undefined || worker.contact !== "silent") {
                continue;
            }
            const isUnheard = recovery.unheard().includes(worker.listed.id);
            if (board.occupancy.load(worker.listed.id).attempts.length === 0 && !isUnheard) {
                dismiss(worker);
            }
        }
        if (recovery.notePassed(now)) {
            endRecovery();
        }
    };

    const endRecovery = (): void => {
        cell.log.write("recovery-ended", { cell: cell.name, epoch: cell.epoch }, "vital");
        cell.wakeDispatch();
    };

    return {
        async run() {
            const unsubscribe = workerList.onChange(() => takeList(clock()));
            takeList(clock());
            while (!signal.aborted) {
                const now = clock();
                [...workers.values()].filter(({ listed }) => !workerList.current().has(listed.id))
                    .forEach(worker => noteMissing(worker, now));
                look(now);
                await pause(LOOK_MILLISECONDS, signal);
            }
            unsubscribe();
            await Promise.all([...sessions.values()].map(({ done }) => done));
        },
    };
}
