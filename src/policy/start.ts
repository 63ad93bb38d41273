/**
 * Starts of one decision: which waiting tasks get a place, and which are set aside because they can never have one.
 */
import { reserveCapacity } from "./capacity.js";
import type { PlacementContext } from "./placement.js";
import { findPermanentRefusal, findPlace } from "./placement.js";
import type { CellView, Decision, PendingTask } from "./policy.js";
import { orderPending } from "./queue.js";
import type { TeamShares } from "./queue.js";
import type { Quotas } from "./quotas.js";

/** What starts are decided from, beside the places. */
export interface StartContext {
    readonly placement: PlacementContext;
    readonly quotas: Quotas;
    readonly shares: TeamShares;
    readonly placementsPerDecision: number;
    /** Evicts others for a task that found no room, where it is urgent enough. */
    preempt(task: PendingTask): Decision[];
}

/** Decides on the starts. Each placement counts for those that follow. */
export function decideStarts(context: StartContext, view: CellView, now: number): Decision[] {
    const decisions: Decision[] = [];
    // Room only shrinks within a decision: what found no place for one task has none for its like.
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
    // A cell whose workers are not known yet is no proof that a task cannot run.
    return capacities.length === 0
        ? undefined
        : { kind: "park", taskId: task.taskId, reason: [...reasons].join("; ") };
}

/** Tasks of one kind find the same places. */
function createSizeKey(task: PendingTask): string {
    const { cores, memoryBytes, accelerators } = task.resources;
    return `${task.rule} ${cores} ${memoryBytes} ${accelerators} ${task.dataCentres.join(",")}`;
}
