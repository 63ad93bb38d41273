/**
 * Mitigation: neighbours that slow a service down are throttled, then evicted; at last a harmed replica is stopped.
 *
 * Throttled tasks are let go only when the service would stay well below the limit with them, and not before an
 * action has had time to show (hysteresis).
 */
import type { FreeCapacity } from "./capacity.js";
import type { HourlyCap } from "./hourly-cap.js";
import type { InterferenceCost } from "./interference-cost.js";
import type { InterferenceModel } from "./interference.js";
import type { CellView, Decision, PlacedTask } from "./policy.js";
import { setBounded } from "./reports.js";
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
    readonly interferenceCost: InterferenceCost;
    readonly interference: InterferenceModel;
    readonly settings: PolicySettings;
    readonly state: MitigationState;
    /** Tasks whose eviction was decided a moment ago. */
    isBeingRemoved(task: PlacedTask): boolean;
}

/** A service on a worker and by how much neighbours are expected to raise its tail. */
interface AffectedService {
    readonly task: PlacedTask;
    readonly rise: number;
}

const MAX_TRACKED_WORKERS = 4_096;
/** Shares that tasks are throttled to. */
const THROTTLE_SHARES = [0.75, 0.5, 0.25, 0.1, 0.05, 0.02, 0.01];
/** Throttling aims below the limit by this factor. */
const THROTTLE_TARGET_FACTOR = 0.8;
/** Tasks nearer to their end than this are not evicted. */
const MAX_EVICTION_PROGRESS = 0.9;
/** How much more an eviction costs when all the work would be lost. */
const LOST_WORK_COST = 5;
/** Rise, in limits, left after throttling that an eviction is worth at equal weights. */
const MIN_EVICTION_RISE = 1;
/** Reaction times for which a task is throttled before it is moved. */
const RELOCATION_DELAY_REACTIONS = 3;
/** Tasks nearer to their end than this stay throttled. */
const MAX_RELOCATION_PROGRESS = 0.75;
/** Weight of evictions, in weights of throughput, above which throttled tasks are not moved. */
const MAX_RELOCATION_WEIGHT_RATIO = 2;
/** Observed rise, in limits, from which on a replica is stopped when nothing else helps. */
const MIN_STOP_RISE = 4;

/** Decides on throttles, evictions and stops in a cell. */
export function mitigate(
    context: MitigationContext,
    view: CellView,
    capacities: readonly FreeCapacity[],
    now: number,
): Decision[] {
    return capacities.flatMap(capacity => mitigateWorker(context, view, capacity, now));
}

function mitigateWorker(context: MitigationContext, view: CellView, capacity: FreeCapacity, now: number): Decision[] {
    const neighbours = capacity.view.tasks.filter(task =>
        task.kind === "batch" && task.state === "running" && !context.isBeingRemoved(task)
    );
    const worst = findMostAffected(context, capacity);
    const lastActionAt = context.state.lastActions.get(capacity.name) ?? Number.NEGATIVE_INFINITY;
    const isReactionOver = now - lastActionAt >= context.settings.mitigation.reactionMilliseconds;
    if (
        worst === undefined
        || worst.rise <= context.interferenceCost.throttleRise * context.settings.mitigation.releaseShare
    ) {
        return isReactionOver ? recordAction(context, capacity, now, release(context, capacity, neighbours)) : [];
    }
    if (worst.rise <= context.interferenceCost.throttleRise) {
        const isRelocationDue =
            now - lastActionAt >= RELOCATION_DELAY_REACTIONS * context.settings.mitigation.reactionMilliseconds;
        return isRelocationDue
            ? recordAction(context, capacity, now, relocate(context, view, neighbours, capacity, now))
            : [];
    }
    const throttles = throttle(context, capacity, worst, neighbours);
    if (throttles.length > 0) {
        return recordAction(context, capacity, now, throttles);
    }
    if (!isReactionOver) {
        return [];
    }
    const eviction = evict(context, view, worst, neighbours, capacity, now);
    return recordAction(
        context,
        capacity,
        now,
        eviction.length > 0 ? eviction : stop(context, view, capacity, worst, now),
    );
}

function recordAction(
    context: MitigationContext,
    capacity: FreeCapacity,
    now: number,
    decisions: Decision[],
): Decision[] {
    if (decisions.length > 0) {
        setBounded(context.state.lastActions, capacity.name, now, MAX_TRACKED_WORKERS);
    }
    return decisions;
}

function findMostAffected(context: MitigationContext, capacity: FreeCapacity): AffectedService | undefined {
    let worst: AffectedService | undefined;
    for (const task of capacity.view.tasks) {
        if (task.kind !== "service" || task.state === "moving") {
            continue;
        }
        const rise = context.interferenceCost.estimateRise(task.rule, capacity, new Map());
        if (worst === undefined || rise > worst.rise) {
            worst = { task, rise };
        }
    }
    return worst;
}

/** Throttles the neighbours that do most harm, as far as the expected rise needs it. */
function throttle(
    context: MitigationContext,
    capacity: FreeCapacity,
    worst: AffectedService,
    neighbours: readonly PlacedTask[],
): Decision[] {
    const { interferenceCost: harm, settings } = context;
    const { smallestShare } = settings.mitigation;
    const decisions: Decision[] = [];
    const contributions = neighbours
        .filter(task => task.throttleShare > smallestShare)
        .map(task => ({ task, contribution: harm.estimateContribution(worst.task.rule, capacity, task) }))
        .sort((left, right) => right.contribution - left.contribution);
    let excess = worst.rise - harm.throttleRise * THROTTLE_TARGET_FACTOR;
    for (const { task, contribution: part } of contributions) {
        if (excess <= 0 || part <= 0) {
            break;
        }
        const targetShare = task.throttleShare - excess / part;
        const share = Math.max(smallestShare, THROTTLE_SHARES.find(step => step <= targetShare) ?? 0);
        excess -= (task.throttleShare - share) * part;
        const reason = `slows ${worst.task.rule} on ${capacity.name} by ${formatPercent(part)} unthrottled`;
        decisions.push({ kind: "throttle", taskId: task.taskId, share, reason });
    }
    return decisions;
}

function release(context: MitigationContext, capacity: FreeCapacity, neighbours: readonly PlacedTask[]): Decision[] {
    const { interferenceCost: harm, settings } = context;
    const limit = harm.throttleRise * settings.mitigation.releaseShare;
    const services = capacity.view.tasks.filter(task => task.kind === "service" && task.state !== "moving");
    const shares = new Map<string, number>();
    const throttled = neighbours.filter(task => task.throttleShare < 1);
    for (const task of throttled) {
        const candidateShares = new Map([...shares, [task.taskId, 1]]);
        if (services.every(service => harm.estimateRise(service.rule, capacity, candidateShares) <= limit)) {
            shares.set(task.taskId, 1);
        }
    }
    return [...shares.keys()].map(taskId => ({
        kind: "throttle",
        taskId,
        share: 1,
        reason: `services on ${capacity.name} are no longer slowed`,
    }));
}

/** Evicts the neighbour whose going helps most for the work that it puts at risk. */
function evict(
    context: MitigationContext,
    view: CellView,
    worst: AffectedService,
    neighbours: readonly PlacedTask[],
    capacity: FreeCapacity,
    now: number,
): Decision[] {
    const { interferenceCost: harm, settings, state } = context;
    const { weights, mitigation, placement } = settings;
    const minimumRise = harm.throttleRise * MIN_EVICTION_RISE * (1 + weights.evictions / weights.tail);
    if (worst.rise < minimumRise || state.evictions.remaining(view.cell, now) <= 0) {
        return [];
    }
    const [best] = neighbours
        .filter(task => task.priority > placement.urgentPriority)
        .filter(task => task.evictions < mitigation.evictionsPerTask && task.progress < MAX_EVICTION_PROGRESS)
        .map(task => ({
            task,
            value: harm.estimateContribution(worst.task.rule, capacity, task) / computeEvictionCost(task),
        }))
        .sort((left, right) => right.value - left.value);
    if (best === undefined || best.value <= 0) {
        return [];
    }
    state.evictions.consume(view.cell, now);
    const reason = `slows ${worst.task.rule} on ${capacity.name} though throttled; expected rise ${
        formatPercent(worst.rise)
    }`;
    return [{ kind: "evict", taskId: best.task.taskId, reason }];
}

/** Evicts a throttled neighbour that has much left to do, so that it goes on elsewhere at full speed. */
function relocate(
    context: MitigationContext,
    view: CellView,
    neighbours: readonly PlacedTask[],
    capacity: FreeCapacity,
    now: number,
): Decision[] {
    const { settings: { mitigation, weights }, state } = context;
    if (
        weights.evictions > MAX_RELOCATION_WEIGHT_RATIO * weights.throughput
        || state.evictions.remaining(view.cell, now) <= 0
    ) {
        return [];
    }
    const [task] = neighbours
        .filter(candidate => candidate.throttleShare < 1 && candidate.progress < MAX_RELOCATION_PROGRESS)
        .filter(candidate => candidate.evictions < mitigation.evictionsPerTask)
        .sort((left, right) => left.throttleShare - right.throttleShare || left.progress - right.progress);
    if (task === undefined) {
        return [];
    }
    state.evictions.consume(view.cell, now);
    return [{ kind: "evict", taskId: task.taskId, reason: `stays throttled on ${capacity.name}; may go on elsewhere` }];
}

/** Price of an eviction: work since the last checkpoint may be lost. */
export function computeEvictionCost(task: PlacedTask): number {
    return 1 + LOST_WORK_COST * Math.max(0, task.progress - task.checkpointProgress);
}

/** Stops a replica that stays slow, where another one of the same service serves meanwhile. */
function stop(
    context: MitigationContext,
    view: CellView,
    capacity: FreeCapacity,
    worst: AffectedService,
    now: number,
): Decision[] {
    const { interferenceCost: harm, interference, state } = context;
    const rise = interference.observedRise(worst.task.rule, capacity.name, now);
    const others = view.workers.flatMap(worker => worker.tasks).filter(task =>
        task.rule === worst.task.rule && task.state === "running" && task.taskId !== worst.task.taskId
    );
    if (
        rise === undefined || rise < MIN_STOP_RISE * harm.throttleRise || others.length === 0
        || worst.task.state !== "running" || state.stops.remaining(view.cell, now) <= 0
    ) {
        return [];
    }
    state.stops.consume(view.cell, now);
    const reason = `slowed by ${formatPercent(rise)} on ${capacity.name} and its neighbours cannot be moved`;
    return [{ kind: "stop", taskId: worst.task.taskId, reason }];
}

function formatPercent(rise: number): string {
    return `${Math.round(rise * 100)} %`;
}
