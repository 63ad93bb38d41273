/**
 * Moves tasks off workers that are to get no more work.
 */
import type { Ledger } from "../ledger/ledger.js";
import { endTask, evictTask } from "./transitions.js";

/** Evicts batch tasks with a checkpoint and replaces replicas. */
export function moveOff(ledger: Ledger, worker: string, why: string, now: number): void {
    for (const committed of ledger.committedOn(worker)) {
        const task = ledger.draft.get(committed.taskId);
        if (task === undefined || task.worker !== worker) {
            continue;
        }
        if (ledger.specOf(task).kind === "service") {
            endTask(ledger, task, `${worker} is ${why}`, now);
        }
        else {
            evictTask(ledger, task, `${worker} is ${why}`, now);
        }
    }
}
