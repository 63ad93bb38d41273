/**
 * Starts of one decision: places pending tasks, and parks those that can never run or have failed too often.
 */
import { reserveCapacity } from "./capacity.js";
import type { PlacementContext } from "./placement.js";
import { findPermanentRefusal, findPlace } from "./placement.js";
import type { CellView, Decision, PendingTask } from "./policy.js";
import { orderPending } from "./queue.js";
import type { TeamShares } from "./queue.js";
import type { Quotas } from "./quotas.js";

/** Inputs of starts. */
export interface StartContext {
    readonly placement: PlacementContext;
    readonly quotas: Quotas;
    readonly shares: TeamShares;
    readonly placementsPerDecision: number;
    /** Evicts other tasks for a task that cannot be placed, if it is urgent enough. */
    preempt(task: PendingTask): Decision[];
}

/** Decides on the starts of pending tasks. Each placement reduces the capacity and quota of later ones. */
export function decideStarts(context: StartContext, view: CellView, now: number): Decision[] {
    const decisions: Decision[] = [];
    // Capacity only shrinks within a decision: if one task cannot be placed, no task of the same rule and size can.
    const unplaceable = new Set<string>();
    let placed = 0;
    for (const task of orderPending(view.pending, context.shares)) {
        if (placed >= context.placementsPerDecision) {
            break;
        }
        const parked = park(context, task);
        if (parked !== undefined) {
            decisions.push(parked);
            continue;
        }
        if (task.notBeforeMilliseconds > now || context.quotas.findRefusal(task.team, task.resources) !== undefined) {
            continue;
        }
        if (unplaceable.has(createSizeKey(task)) || !tryPlace(context, task, decisions)) {
            unplaceable.add(createSizeKey(task));
            decisions.push(...context.preempt(task));
            continue;
        }
        placed += 1;
    }
    return decisions;
}

function tryPlace(context: StartContext, task: PendingTask, decisions: Decision[]): boolean {
    const place = findPlace(context.placement, task);
    if (place === undefined) {
        return false;
    }
    reserveCapacity(place.capacity, task, place.size);
    context.quotas.deduct(task.team, task.resources);
    context.shares.add(task.team, task.resources);
    if (task.kind === "service") {
        context.placement.spread.add(task.rule, place.capacity.view);
    }
    decisions.push({ kind: "place", taskId: task.taskId, worker: place.capacity.name });
    return true;
}

function park(context: StartContext, task: PendingTask): Decision | undefined {
    if (task.kind === "batch" && task.failures > task.retries) {
        return { kind: "park", taskId: task.taskId, reason: `failed ${task.failures} times` };
    }
    const { capacities } = context.placement;
    const reasons = new Set<string>();
    for (const capacity of capacities) {
        const reason = findPermanentRefusal(context.placement, task, capacity);
        if (reason === undefined) {
            return undefined;
        }
        reasons.add(reason);
    }
    // Without workers it is unknown whether the task can run; they may not be listed yet.
    return capacities.length === 0
        ? undefined
        : { kind: "park", taskId: task.taskId, reason: [...reasons].join("; ") };
}

/** Returns a key that is equal for tasks with the same suitable workers. */
function createSizeKey(task: PendingTask): string {
    const { cores, memoryBytes, accelerators } = task.resources;
    return `${task.rule} ${cores} ${memoryBytes} ${accelerators} ${task.dataCentres.join(",")}`;
}
