/**
 * Preemption: batch work is evicted where urgent work finds no room, and the room is kept for it until it starts.
 */
import type { HourlyCap } from "./allowance.js";
import { refuseNeighbours } from "./constraints.js";
import { priceOf } from "./mitigation.js";
import type { PlacementContext } from "./placement.js";
import { measureSize, refuseWorker } from "./placement.js";
import type { CellView, Decision, PendingTask, PlacedTask } from "./policy.js";
import type { SizeOf, TaskSize, WorkerRoom } from "./room.js";
import { addRoom, findShortage, takeRoom } from "./room.js";
import type { PolicySettings } from "./settings.js";

/** Worker on which room is being made for a task. */
export interface Claim {
    readonly cell: string;
    readonly worker: string;
    readonly untilMilliseconds: number;
}

/** What preemption decides from. */
export interface PreemptionContext {
    readonly placement: PlacementContext;
    readonly settings: PolicySettings;
    readonly evictions: HourlyCap;
    readonly claims: Map<string, Claim>;
    /** Tasks whose eviction was decided a moment ago, in this decision or before. */
    isLeaving(task: PlacedTask): boolean;
}

interface Plan {
    readonly room: WorkerRoom;
    readonly victims: readonly PlacedTask[];
    readonly price: number;
}

const CLAIM_MILLISECONDS = 60_000;
/** Crowding of a service's replicas that weighs as much as one eviction. */
const CROWDING_PER_VICTIM = 100_000;

/** Evicts batch work for a task that found no room. Room that is claimed counts as taken for all tasks after it. */
export function makeRoom(context: PreemptionContext, view: CellView, task: PendingTask, now: number): Decision[] {
    const { claims, placement, settings } = context;
    if (task.priority > settings.placement.urgentPriority) {
        return [];
    }
    const claim = claims.get(task.taskId);
    const claimed = claim === undefined || claim.untilMilliseconds <= now
        ? undefined
        : placement.rooms.find(room => room.name === claim.worker);
    if (claimed !== undefined && planFor(context, task, claimed, [])?.victims.length === 0) {
        reserve(placement, task, claimed);
        return [];
    }
    const plan = findCheapestPlan(context, task, context.evictions.left(view.cell, now));
    if (plan === undefined) {
        return [];
    }
    claims.set(task.taskId, {
        cell: view.cell,
        worker: plan.room.name,
        untilMilliseconds: now + CLAIM_MILLISECONDS,
    });
    reserve(placement, task, plan.room);
    return plan.victims.map(victim => {
        context.evictions.use(view.cell, now);
        return { kind: "evict", taskId: victim.taskId, reason: `makes room for ${task.taskId} (${task.rule})` };
    });
}

function reserve(placement: PlacementContext, task: PendingTask, room: WorkerRoom): void {
    takeRoom(room, task, measureSize(placement, task, room));
    if (task.kind === "service") {
        placement.spread.add(task.rule, room.view);
    }
}

/** Forgets claims of tasks that wait no longer. */
export function forgetClaims(claims: Map<string, Claim>, view: CellView): void {
    const waiting = new Set(view.pending.map(task => task.taskId));
    for (const [taskId, claim] of claims) {
        if (claim.cell === view.cell && !waiting.has(taskId)) {
            claims.delete(taskId);
        }
    }
}

function findCheapestPlan(context: PreemptionContext, task: PendingTask, most: number): Plan | undefined {
    let best: Plan | undefined;
    for (const room of context.placement.rooms) {
        if (refuseWorker(context.placement, task, room) !== undefined) {
            continue;
        }
        const plan = planFor(context, task, room, listVictims(context, task, room));
        if (plan !== undefined && plan.victims.length <= most && (best === undefined || plan.price < best.price)) {
            best = plan;
        }
    }
    return best;
}

function listVictims(context: PreemptionContext, task: PendingTask, room: WorkerRoom): PlacedTask[] {
    const { evictionsPerTask } = context.settings.mitigation;
    return room.view.tasks
        .filter(victim => victim.kind === "batch" && victim.priority > task.priority && victim.state !== "moving")
        .filter(victim => victim.evictions < evictionsPerTask && !context.isLeaving(victim))
        .sort((left, right) => right.priority - left.priority || priceOf(left) - priceOf(right));
}

/** Adds victims until the task fits once they and the tasks on their way out are gone. */
function planFor(
    context: PreemptionContext,
    task: PendingTask,
    room: WorkerRoom,
    candidates: readonly PlacedTask[],
): Plan | undefined {
    const { sizeOf } = context.placement;
    const size = measureSize(context.placement, task, room);
    const later = leaveOut(room, room.view.tasks.filter(other => context.isLeaving(other)), sizeOf);
    const victims: PlacedTask[] = [];
    for (const victim of [undefined, ...candidates]) {
        if (victim !== undefined) {
            victims.push(victim);
            Object.assign(later, leaveOut(later, [victim], sizeOf));
        }
        if (fits(context, task, later, size)) {
            const needed = prune(context, task, room, victims);
            const crowding = task.kind === "service" ? context.placement.spread.crowding(task.rule, room.view) : 0;
            const price = needed.reduce((total, other) => total + priceOf(other), crowding / CROWDING_PER_VICTIM);
            return { room, victims: needed, price };
        }
    }
    return undefined;
}

function fits(
    context: PreemptionContext,
    task: PendingTask,
    room: WorkerRoom,
    size: TaskSize,
): boolean {
    return findShortage(room, size) === undefined
        && refuseNeighbours(context.placement.constraints, task.rule, room) === undefined;
}

/** Leaves out victims that the task does not need gone, the dearest first. */
function prune(
    context: PreemptionContext,
    task: PendingTask,
    room: WorkerRoom,
    victims: readonly PlacedTask[],
): PlacedTask[] {
    const { sizeOf } = context.placement;
    const size = measureSize(context.placement, task, room);
    const leaving = room.view.tasks.filter(other => context.isLeaving(other));
    let needed = [...victims];
    for (const victim of victims) {
        const fewer = needed.filter(other => other !== victim);
        if (fits(context, task, leaveOut(room, [...leaving, ...fewer], sizeOf), size)) {
            needed = fewer;
        }
    }
    return needed;
}

/** The room as it will be without some of its tasks. */
function leaveOut(room: WorkerRoom, tasks: readonly PlacedTask[], sizeOf: SizeOf): WorkerRoom {
    const gone = new Set(tasks.map(task => task.taskId));
    const later = { ...room, occupants: room.occupants.filter(occupant => !gone.has(occupant.taskId)) };
    for (const task of tasks) {
        addRoom(later, sizeOf(task), 1);
    }
    return later;
}
