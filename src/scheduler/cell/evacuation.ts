/**
 * Moves tasks off workers that are to get no more work.
 */
import type { Ledger } from "../ledger/ledger.js";
import { endTask, evictTask } from "./transitions.js";

/** Evicts batch tasks with a checkpoint and replaces replicas. */
export function evacuateWorker(ledger: Ledger, worker: string, workerState: string, now: number): void {
    for (const committed of ledger.committedOn(worker)) {
        const task = ledger.draft.get(committed.taskId);
        if (task === undefined || task.worker !== worker) {
            continue;
        }
        if (ledger.specOf(task).kind === "service") {
            endTask(ledger, task, `${worker} is ${workerState}`, now);
        }
        else {
            evictTask(ledger, task, `${worker} is ${workerState}`, now);
        }
    }
}

/** Replaces the replicas on a silent worker: another replica has another id, so no lease has to lapse first. */
export function replaceReplicas(ledger: Ledger, worker: string, now: number): void {
    for (const committed of ledger.committedOn(worker)) {
        const task = ledger.draft.get(committed.taskId);
        if (task?.worker === worker && ledger.specOf(task).kind === "service") {
            endTask(ledger, task, `${worker} is silent`, now);
        }
    }
}
