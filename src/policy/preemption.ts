/**
 * Preemption: evicts batch tasks for urgent tasks that cannot be placed, and reserves the capacity until they start.
 */
import type { FreeCapacity, SizeOf, TaskSize } from "./capacity.js";
import { addCapacity, findShortage, reserveCapacity } from "./capacity.js";
import { findNeighbourRefusal } from "./constraints.js";
import type { HourlyCap } from "./hourly-cap.js";
import { computeEvictionCost } from "./mitigation.js";
import type { PlacementContext } from "./placement.js";
import { computeSize, findWorkerRefusal } from "./placement.js";
import type { CellView, Decision, PendingTask, PlacedTask } from "./policy.js";
import type { PolicySettings } from "./settings.js";

/** Capacity that is reserved on a worker for an urgent task. */
export interface Reservation {
    readonly cell: string;
    readonly worker: string;
    readonly untilMilliseconds: number;
}

/** Inputs of preemption. */
export interface PreemptionContext {
    readonly placement: PlacementContext;
    readonly settings: PolicySettings;
    readonly evictions: HourlyCap;
    readonly reservations: Map<string, Reservation>;
    /**
     * Returns whether the task is `moving` or its eviction was decided recently, in this decision or an earlier one.
     */
    isBeingRemoved(task: PlacedTask): boolean;
}

interface Plan {
    readonly capacity: FreeCapacity;
    readonly victims: readonly PlacedTask[];
    readonly cost: number;
}

const RESERVATION_MILLISECONDS = 60_000;
/** Replica crowding that costs as much as one eviction. */
const CROWDING_PER_VICTIM = 100_000;

/** Evicts batch tasks for an urgent task that cannot be placed, and reserves the capacity against later tasks. */
export function preempt(context: PreemptionContext, view: CellView, task: PendingTask, now: number): Decision[] {
    const { reservations, placement, settings } = context;
    if (task.priority > settings.placement.urgentPriority) {
        return [];
    }
    const reservation = reservations.get(task.taskId);
    const reservedCapacity = reservation === undefined || reservation.untilMilliseconds <= now
        ? undefined
        : placement.capacities.find(capacity => capacity.name === reservation.worker);
    if (reservedCapacity !== undefined && planVictims(context, task, reservedCapacity, [])?.victims.length === 0) {
        reserveForTask(placement, task, reservedCapacity);
        return [];
    }
    const plan = findCheapestPlan(context, task, context.evictions.remaining(view.cell, now));
    if (plan === undefined) {
        return [];
    }
    reservations.set(task.taskId, {
        cell: view.cell,
        worker: plan.capacity.name,
        untilMilliseconds: now + RESERVATION_MILLISECONDS,
    });
    reserveForTask(placement, task, plan.capacity);
    return plan.victims.map(victim => {
        context.evictions.consume(view.cell, now);
        return { kind: "evict", taskId: victim.taskId, reason: `makes room for ${task.taskId} (${task.rule})` };
    });
}

function reserveForTask(placement: PlacementContext, task: PendingTask, capacity: FreeCapacity): void {
    reserveCapacity(capacity, task, computeSize(placement, task, capacity));
    if (task.kind === "service") {
        placement.spread.add(task.rule, capacity.view);
    }
}

/** Removes the reservations of tasks that are no longer pending. */
export function removeStaleReservations(reservations: Map<string, Reservation>, view: CellView): void {
    const waiting = new Set(view.pending.map(task => task.taskId));
    for (const [taskId, reservation] of reservations) {
        if (reservation.cell === view.cell && !waiting.has(taskId)) {
            reservations.delete(taskId);
        }
    }
}

function findCheapestPlan(context: PreemptionContext, task: PendingTask, maxVictims: number): Plan | undefined {
    let best: Plan | undefined;
    for (const capacity of context.placement.capacities) {
        if (findWorkerRefusal(context.placement, task, capacity) !== undefined) {
            continue;
        }
        const plan = planVictims(context, task, capacity, listVictims(context, task, capacity));
        if (plan !== undefined && plan.victims.length <= maxVictims && (best === undefined || plan.cost < best.cost)) {
            best = plan;
        }
    }
    return best;
}

function listVictims(context: PreemptionContext, task: PendingTask, capacity: FreeCapacity): PlacedTask[] {
    const { evictionsPerTask } = context.settings.mitigation;
    return capacity.view.tasks
        .filter(victim => victim.kind === "batch" && victim.priority > task.priority && victim.state !== "moving")
        .filter(victim => victim.evictions < evictionsPerTask && !context.isBeingRemoved(victim))
        .sort((left, right) =>
            right.priority - left.priority || computeEvictionCost(left) - computeEvictionCost(right)
        );
}

/** Adds victims until the task fits without them and without the tasks that are already being removed. */
function planVictims(
    context: PreemptionContext,
    task: PendingTask,
    capacity: FreeCapacity,
    candidates: readonly PlacedTask[],
): Plan | undefined {
    const { sizeOf } = context.placement;
    const size = computeSize(context.placement, task, capacity);
    const futureCapacity = withoutTasks(
        capacity,
        capacity.view.tasks.filter(other => context.isBeingRemoved(other)),
        sizeOf,
    );
    const victims: PlacedTask[] = [];
    for (const victim of [undefined, ...candidates]) {
        if (victim !== undefined) {
            victims.push(victim);
            Object.assign(futureCapacity, withoutTasks(futureCapacity, [victim], sizeOf));
        }
        if (fits(context, task, futureCapacity, size)) {
            const needed = dropUnneededVictims(context, task, capacity, victims);
            const crowding = task.kind === "service" ? context.placement.spread.crowding(task.rule, capacity.view) : 0;
            const cost = needed.reduce(
                (total, other) => total + computeEvictionCost(other),
                crowding / CROWDING_PER_VICTIM,
            );
            return { capacity, victims: needed, cost };
        }
    }
    return undefined;
}

function fits(
    context: PreemptionContext,
    task: PendingTask,
    capacity: FreeCapacity,
    size: TaskSize,
): boolean {
    return findShortage(capacity, size) === undefined
        && findNeighbourRefusal(context.placement.constraints, task.rule, capacity) === undefined;
}

/** Removes victims whose eviction the task does not need, in the order in which they were added. */
function dropUnneededVictims(
    context: PreemptionContext,
    task: PendingTask,
    capacity: FreeCapacity,
    victims: readonly PlacedTask[],
): PlacedTask[] {
    const { sizeOf } = context.placement;
    const size = computeSize(context.placement, task, capacity);
    const removedTasks = capacity.view.tasks.filter(other => context.isBeingRemoved(other));
    let needed = [...victims];
    for (const victim of victims) {
        const fewer = needed.filter(other => other !== victim);
        if (fits(context, task, withoutTasks(capacity, [...removedTasks, ...fewer], sizeOf), size)) {
            needed = fewer;
        }
    }
    return needed;
}

/** Returns a copy of the capacity as it will be without the given tasks. */
function withoutTasks(capacity: FreeCapacity, tasks: readonly PlacedTask[], sizeOf: SizeOf): FreeCapacity {
    const removedIds = new Set(tasks.map(task => task.taskId));
    const futureCapacity = {
        ...capacity,
        occupants: capacity.occupants.filter(occupant => !removedIds.has(occupant.taskId)),
    };
    for (const task of tasks) {
        addCapacity(futureCapacity, sizeOf(task), 1);
    }
    return futureCapacity;
}
