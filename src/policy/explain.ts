/**
 * Explains why a pending task is not placed, with the number of workers for each reason.
 */
import type { PlacementContext } from "./placement.js";
import { findPlacementRefusal } from "./placement.js";
import type { PendingTask, Refusal } from "./policy.js";
import type { Quotas } from "./quotas.js";

/** Lists the reasons why a task is not placed: first reasons for the whole cell (0 workers), then reasons by worker. */
export function explainPending(
    context: PlacementContext,
    quotas: Quotas,
    task: PendingTask,
    now: number,
): Refusal[] {
    const refusals: Refusal[] = [];
    if (task.notBeforeMilliseconds > now) {
        refusals.push({ reason: "waits after a failure until its next attempt", workers: 0 });
    }
    const quotaRefusal = quotas.findRefusal(task.team, task.resources);
    if (quotaRefusal !== undefined) {
        refusals.push({ reason: quotaRefusal, workers: 0 });
    }
    return [...refusals, ...countByReason(context, task)];
}

function countByReason(context: PlacementContext, task: PendingTask): Refusal[] {
    const counts = new Map<string, number>();
    for (const capacity of context.capacities) {
        const reason = findPlacementRefusal(context, task, capacity);
        if (reason !== undefined) {
            counts.set(reason, (counts.get(reason) ?? 0) + 1);
        }
    }
    return [...counts.entries()]
        .map(([reason, workers]) => ({ reason, workers }))
        .sort((left, right) => right.workers - left.workers);
}
