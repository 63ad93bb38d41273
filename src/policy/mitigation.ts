/**
 * Mitigation: neighbours that slow a service down are throttled, then evicted; at last a harmed replica is stopped.
 *
 * Throttled tasks are let go only when the service would stay well below the limit with them, and not before an
 * action has had time to show (hysteresis).
 */
import type { HourlyCap } from "./allowance.js";
import type { HarmView } from "./harm.js";
import type { InterferenceModel } from "./interference.js";
import type { CellView, Decision, PlacedTask } from "./policy.js";
import { remember } from "./reports.js";
import type { WorkerRoom } from "./room.js";
import type { PolicySettings } from "./settings.js";

/** What mitigation keeps between decisions. */
export interface MitigationState {
    /** Time of the last action on each worker. */
    readonly lastActions: Map<string, number>;
    readonly evictions: HourlyCap;
    readonly stops: HourlyCap;
}

/** What mitigation decides from. */
export interface MitigationContext {
    readonly harm: HarmView;
    readonly interference: InterferenceModel;
    readonly settings: PolicySettings;
    readonly state: MitigationState;
    /** Tasks whose eviction was decided a moment ago. */
    isLeaving(task: PlacedTask): boolean;
}

/** A service on a worker and by how much neighbours are expected to raise its tail. */
interface HarmedService {
    readonly task: PlacedTask;
    readonly rise: number;
}

const REMEMBERED_WORKERS = 4_096;
/** Shares that tasks are throttled to. */
const SHARES = [0.75, 0.5, 0.25, 0.1, 0.05, 0.02, 0.01];
/** Throttling aims below the limit by this factor. */
const AIM = 0.8;
/** Tasks nearer to their end than this are not evicted. */
const ALMOST_DONE = 0.9;
/** How much more an eviction costs when all the work would be lost. */
const LOST_WORK_PRICE = 5;
/** Rise, in limits, left after throttling that an eviction is worth at equal weights. */
const EVICTION_RISE = 1;
/** Reaction times for which a task is throttled before it is moved. */
const RELOCATION_REACTIONS = 3;
/** Tasks nearer to their end than this stay throttled. */
const RELOCATION_PROGRESS = 0.75;
/** Weight of evictions, in weights of throughput, above which throttled tasks are not moved. */
const RELOCATION_WEIGHT = 2;
/** Observed rise, in limits, from which on a replica is stopped when nothing else helps. */
const STOP_RISE = 4;

/** Decides on throttles, evictions and stops in a cell. */
export function mitigate(
    context: MitigationContext,
    view: CellView,
    rooms: readonly WorkerRoom[],
    now: number,
): Decision[] {
    return rooms.flatMap(room => mitigateWorker(context, view, room, now));
}

function mitigateWorker(context: MitigationContext, view: CellView, room: WorkerRoom, now: number): Decision[] {
    const neighbours = room.view.tasks.filter(task =>
        task.kind === "batch" && task.state === "running" && !context.isLeaving(task)
    );
    const worst = findWorst(context, room);
    const acted = context.state.lastActions.get(room.name) ?? Number.NEGATIVE_INFINITY;
    const settled = now - acted >= context.settings.mitigation.reactionMilliseconds;
    if (worst === undefined || worst.rise <= context.harm.throttleRise * context.settings.mitigation.releaseShare) {
        return settled ? note(context, room, now, release(context, room, neighbours)) : [];
    }
    if (worst.rise <= context.harm.throttleRise) {
        const patient = now - acted >= RELOCATION_REACTIONS * context.settings.mitigation.reactionMilliseconds;
        return patient ? note(context, room, now, relocate(context, view, neighbours, room, now)) : [];
    }
    const throttles = throttle(context, room, worst, neighbours);
    if (throttles.length > 0) {
        return note(context, room, now, throttles);
    }
    if (!settled) {
        return [];
    }
    const eviction = evict(context, view, worst, neighbours, room, now);
    return note(context, room, now, eviction.length > 0 ? eviction : stop(context, view, room, worst, now));
}

function note(context: MitigationContext, room: WorkerRoom, now: number, decisions: Decision[]): Decision[] {
    if (decisions.length > 0) {
        remember(context.state.lastActions, room.name, now, REMEMBERED_WORKERS);
    }
    return decisions;
}

function findWorst(context: MitigationContext, room: WorkerRoom): HarmedService | undefined {
    let worst: HarmedService | undefined;
    for (const task of room.view.tasks) {
        if (task.kind !== "service" || task.state === "moving") {
            continue;
        }
        const rise = context.harm.expectRise(task.rule, room, new Map());
        if (worst === undefined || rise > worst.rise) {
            worst = { task, rise };
        }
    }
    return worst;
}

/** Throttles the neighbours that do most harm, as far as the expected rise needs it. */
function throttle(
    context: MitigationContext,
    room: WorkerRoom,
    worst: HarmedService,
    neighbours: readonly PlacedTask[],
): Decision[] {
    const { harm, settings } = context;
    const { smallestShare } = settings.mitigation;
    const decisions: Decision[] = [];
    const parts = neighbours
        .filter(task => task.throttleShare > smallestShare)
        .map(task => ({ task, part: harm.expectPart(worst.task.rule, room, task) }))
        .sort((left, right) => right.part - left.part);
    let excess = worst.rise - harm.throttleRise * AIM;
    for (const { task, part } of parts) {
        if (excess <= 0 || part <= 0) {
            break;
        }
        const wanted = task.throttleShare - excess / part;
        const share = Math.max(smallestShare, SHARES.find(step => step <= wanted) ?? 0);
        excess -= (task.throttleShare - share) * part;
        const reason = `slows ${worst.task.rule} on ${room.name} by ${percent(part)} unthrottled`;
        decisions.push({ kind: "throttle", taskId: task.taskId, share, reason });
    }
    return decisions;
}

function release(context: MitigationContext, room: WorkerRoom, neighbours: readonly PlacedTask[]): Decision[] {
    const { harm, settings } = context;
    const limit = harm.throttleRise * settings.mitigation.releaseShare;
    const services = room.view.tasks.filter(task => task.kind === "service" && task.state !== "moving");
    const shares = new Map<string, number>();
    const throttled = neighbours.filter(task => task.throttleShare < 1);
    for (const task of throttled) {
        const tried = new Map([...shares, [task.taskId, 1]]);
        if (services.every(service => harm.expectRise(service.rule, room, tried) <= limit)) {
            shares.set(task.taskId, 1);
        }
    }
    return [...shares.keys()].map(taskId => ({
        kind: "throttle",
        taskId,
        share: 1,
        reason: `services on ${room.name} are no longer slowed`,
    }));
}

/** Evicts the neighbour whose going helps most for the work that it puts at risk. */
function evict(
    context: MitigationContext,
    view: CellView,
    worst: HarmedService,
    neighbours: readonly PlacedTask[],
    room: WorkerRoom,
    now: number,
): Decision[] {
    const { harm, settings, state } = context;
    const { weights, mitigation, placement } = settings;
    const worth = harm.throttleRise * EVICTION_RISE * (1 + weights.evictions / weights.tail);
    if (worst.rise < worth || state.evictions.left(view.cell, now) <= 0) {
        return [];
    }
    const [best] = neighbours
        .filter(task => task.priority > placement.urgentPriority)
        .filter(task => task.evictions < mitigation.evictionsPerTask && task.progress < ALMOST_DONE)
        .map(task => ({ task, value: harm.expectPart(worst.task.rule, room, task) / priceOf(task) }))
        .sort((left, right) => right.value - left.value);
    if (best === undefined || best.value <= 0) {
        return [];
    }
    state.evictions.use(view.cell, now);
    const reason = `slows ${worst.task.rule} on ${room.name} though throttled; expected rise ${percent(worst.rise)}`;
    return [{ kind: "evict", taskId: best.task.taskId, reason }];
}

/** Evicts a throttled neighbour that has much left to do, so that it goes on elsewhere at full speed. */
function relocate(
    context: MitigationContext,
    view: CellView,
    neighbours: readonly PlacedTask[],
    room: WorkerRoom,
    now: number,
): Decision[] {
    const { settings: { mitigation, weights }, state } = context;
    if (weights.evictions > RELOCATION_WEIGHT * weights.throughput || state.evictions.left(view.cell, now) <= 0) {
        return [];
    }
    const [task] = neighbours
        .filter(candidate => candidate.throttleShare < 1 && candidate.progress < RELOCATION_PROGRESS)
        .filter(candidate => candidate.evictions < mitigation.evictionsPerTask)
        .sort((left, right) => left.throttleShare - right.throttleShare || left.progress - right.progress);
    if (task === undefined) {
        return [];
    }
    state.evictions.use(view.cell, now);
    return [{ kind: "evict", taskId: task.taskId, reason: `stays throttled on ${room.name}; may go on elsewhere` }];
}

/** Price of an eviction: work since the last checkpoint may be lost. */
export function priceOf(task: PlacedTask): number {
    return 1 + LOST_WORK_PRICE * Math.max(0, task.progress - task.checkpointProgress);
}

/** Stops a replica that stays slow, where another one of the same service serves meanwhile. */
function stop(
    context: MitigationContext,
    view: CellView,
    room: WorkerRoom,
    worst: HarmedService,
    now: number,
): Decision[] {
    const { harm, interference, state } = context;
    const rise = interference.observedRise(worst.task.rule, room.name, now);
    const others = view.workers.flatMap(worker => worker.tasks).filter(task =>
        task.rule === worst.task.rule && task.state === "running" && task.taskId !== worst.task.taskId
    );
    if (
        rise === undefined || rise < STOP_RISE * harm.throttleRise || others.length === 0
        || worst.task.state !== "running" || state.stops.left(view.cell, now) <= 0
    ) {
        return [];
    }
    state.stops.use(view.cell, now);
    const reason = `slowed by ${percent(rise)} on ${room.name} and its neighbours cannot be moved`;
    return [{ kind: "stop", taskId: worst.task.taskId, reason }];
}

function percent(rise: number): string {
    return `${Math.round(rise * 100)} %`;
}
