/**
 * Back-off of services whose replicas fail: the replacement of a replica that failed waits, longer with each failure in
 * a row. Replacements have ids of their own, so the count of failures is handed on within a replica's slot.
 */
import { slotOf } from "../jobs/plan.js";
import type { Ledger } from "../ledger/ledger.js";
import { ENDED_STATES } from "../ledger/task.js";
import type { Task } from "../ledger/task.js";
import { waitAfterFailures } from "./transitions.js";
import type { BackOff } from "./transitions.js";

/** Lets the replacements that have just been admitted wait as their predecessors' failures ask for. */
export function delayReplacements(ledger: Ledger, backOff: BackOff, now: number): void {
    const admitted = [...ledger.draft.values()].filter(task => isNewReplica(ledger, task, now));
    if (admitted.length === 0) {
        return;
    }
    const predecessors = listPredecessors(ledger);
    for (const task of admitted) {
        const predecessor = predecessors.get(nameSlot(ledger, task));
        if (predecessor !== undefined && predecessor.failures > 0) {
            ledger.put(delayReplacement(task, predecessor, backOff));
        }
    }
}

function isNewReplica(ledger: Ledger, task: Task, now: number): boolean {
    return task.state === "pending" && task.attempt === 0 && task.submittedAtMilliseconds === now
        && ledger.specOf(task).kind === "service";
}

function delayReplacement(task: Task, { failures, reason, sinceMilliseconds }: Task, backOff: BackOff): Task {
    const wait = waitAfterFailures(backOff, failures);
    const times = failures === 1 ? "once" : `${failures} times in a row`;
    return {
        ...task,
        failures,
        notBeforeMilliseconds: sinceMilliseconds + wait,
        reason: `waits ${Math.round(wait / 1_000)} s after its replica failed ${times}: ${reason}`,
    };
}

/** The replica of each slot that ended last. */
function listPredecessors(ledger: Ledger): Map<string, Task> {
    const predecessors = new Map<string, Task>();
    for (const task of ledger.draft.values()) {
        if (ENDED_STATES.has(task.state) && ledger.specOf(task).kind === "service") {
            const slot = nameSlot(ledger, task);
            const latest = predecessors.get(slot);
            if (latest === undefined || latest.sinceMilliseconds <= task.sinceMilliseconds) {
                predecessors.set(slot, task);
            }
        }
    }
    return predecessors;
}

function nameSlot(ledger: Ledger, task: Task): string {
    return `${ledger.specOf(task).rule}/${slotOf(task.taskId)}`;
}
