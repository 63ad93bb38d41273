/**
 * Cancels one task.
 */
import { endTask } from "../cell/transitions.js";
import type { Ledger } from "../ledger/ledger.js";

/** Ends a task permanently, in whichever state it is. */
export function cancel(ledger: Ledger, taskId: string, by: string, now: number): void {
    const task = ledger.draft.get(taskId);
    if (task !== undefined) {
        endTask(ledger, task, `cancelled by ${by}`, now);
    }
}
