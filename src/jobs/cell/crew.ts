/**
 * The workers of a cell: who is listed, who may run attempts, and a session with each.
 */
import { pause } from "../../core/time.js";
import type { ListedWorker, WorkerList } from "../model/worker.js";
import type { CellContext } from "./context.js";
import type { Recovery } from "./recovery.js";
import { runSession } from "./session.js";
import { createCellWorker, takeListing } from "./worker.js";
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
}

/** Follows the list of workers until the cell ends. */
export function createCrew({ cell, recovery, workerList, workersInUse }: CrewOptions): { run(): Promise<void>; } {
    const { board, clock, signal, workers } = cell;
    const sessions = new Map<string, { readonly end: AbortController; readonly done: Promise<void>; }>();

    const employ = (listed: ListedWorker, now: number): void => {
        const isRecorded = workersInUse.has(listed.id);
        const worker = createCellWorker(listed, isRecorded, now);
        takeListing(worker, listed, now);
        workers.set(listed.id, worker);
        if (!isRecorded) {
            workersInUse.add(listed.id);
            board.changes.workersUsed.push(listed.id);
            cell.commits.request(true);
        }
        const end = new AbortController();
        const done = runSession(cell, worker, AbortSignal.any([signal, end.signal]));
        sessions.set(listed.id, { end, done });
    };

    const dismiss = (worker: CellWorker): void => {
        const { id } = worker.listed;
        sessions.get(id)?.end.abort();
        sessions.delete(id);
        workers.delete(id);
        workersInUse.delete(id);
        board.changes.workersLeft.push(id);
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
        for (const worker of workers.values()) {
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
