/**
 * Cancels one task.
 */
import { endTask } from "../cell/transitions.js";
import type { Ledger } from "../ledger/ledger.js";

/** Ends a task for good, wherever it stands. */
export function cancel(ledger: Ledger, taskId: string, by: string, now: number): void {
    const task = ledger.draft.get(taskId);
    if (task !== undefined) {
        endTask(ledger, task, `cancelled by ${by}`, now);
    }
}
