/**
 * Mitigation of interference: batch tasks that slow a service down are throttled, then evicted; as a last resort, the
 * affected replica is stopped.
 *
 * Hysteresis: throttled tasks are released only if the service is expected to stay well below the throttling limit, and
 * only after the last action has had time to take effect.
 */
import type { FreeCapacity } from "./capacity.js";
import type { HourlyCap } from "./hourly-cap.js";
import type { InterferenceCost } from "./interference-cost.js";
import type { InterferenceModel } from "./interference.js";
import type { CellView, Decision, PlacedTask } from "./policy.js";
import { setBounded } from "./reports.js";
import type { PolicySettings } from "./settings.js";

/** State of mitigation between decisions. */
export interface MitigationState {
    /** Time of the last action on each worker. */
    readonly lastActions: Map<string, number>;
    readonly evictions: HourlyCap;
    readonly stops: HourlyCap;
}

/** Inputs of mitigation. */
export interface MitigationContext {
    readonly interferenceCost: InterferenceCost;
    readonly interference: InterferenceModel;
    readonly settings: PolicySettings;
    readonly state: MitigationState;
    /** Returns whether the task is `moving` or its eviction was decided recently. */
    isBeingRemoved(task: PlacedTask): boolean;
}

/** A replica on a worker and the expected rise of its tail latency. */
interface AffectedService {
    readonly task: PlacedTask;
    readonly rise: number;
}

const MAX_TRACKED_WORKERS = 4_096;
/** Shares of its cores that a task may be throttled to. */
const THROTTLE_SHARES = [0.75, 0.5, 0.25, 0.1, 0.05, 0.02, 0.01];
/** Target of throttling, as a factor of the throttling limit. */
const THROTTLE_TARGET_FACTOR = 0.8;
/** Tasks with this progress or more are not evicted. */
const MAX_EVICTION_PROGRESS = 0.9;
/** Additional cost of an eviction that loses all of a task's work. */
const LOST_WORK_COST = 5;
/** Rise after throttling from which a task is evicted, as a factor of the throttling limit, at equal weights. */
const MIN_EVICTION_RISE = 1;
/** Reaction times that must pass since the last action before a throttled task is relocated. */
const RELOCATION_DELAY_REACTIONS = 3;
/** Tasks with this progress or more stay throttled and are not relocated. */
const MAX_RELOCATION_PROGRESS = 0.75;
/** Ratio of the eviction weight to the throughput weight above which throttled tasks are not relocated. */
const MAX_RELOCATION_WEIGHT_RATIO = 2;
/** Observed rise from which a replica is stopped if nothing else helps, as a factor of the throttling limit. */
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

/** Throttles the neighbours with the largest contributions until the expected rise reaches the target. */
function throttle(
    context: MitigationContext,
    capacity: FreeCapacity,
    worst: AffectedService,
    neighbours: readonly PlacedTask[],
): Decision[] {
    const { interferenceCost, settings } = context;
    const { smallestShare } = settings.mitigation;
    const decisions: Decision[] = [];
    const contributions = neighbours
        .filter(task => task.throttleShare > smallestShare)
        .map(task => ({ task, contribution: interferenceCost.estimateContribution(worst.task.rule, capacity, task) }))
        .sort((left, right) => right.contribution - left.contribution);
    let excess = worst.rise - interferenceCost.throttleRise * THROTTLE_TARGET_FACTOR;
    for (const { task, contribution } of contributions) {
        if (excess <= 0 || contribution <= 0) {
            break;
        }
        const targetShare = task.throttleShare - excess / contribution;
        const share = Math.max(smallestShare, THROTTLE_SHARES.find(step => step <= targetShare) ?? 0);
        excess -= (task.throttleShare - share) * contribution;
        const reason = `slows ${worst.task.rule} on ${capacity.name} by ${formatPercent(contribution)} unthrottled`;
        decisions.push({ kind: "throttle", taskId: task.taskId, share, reason });
    }
    return decisions;
}

function release(context: MitigationContext, capacity: FreeCapacity, neighbours: readonly PlacedTask[]): Decision[] {
    const { interferenceCost, settings } = context;
    const limit = interferenceCost.throttleRise * settings.mitigation.releaseShare;
    const services = capacity.view.tasks.filter(task => task.kind === "service" && task.state !== "moving");
    const shares = new Map<string, number>();
    const throttled = neighbours.filter(task => task.throttleShare < 1);
    for (const task of throttled) {
        const candidateShares = new Map([...shares, [task.taskId, 1]]);
        if (
            services.every(service => interferenceCost.estimateRise(service.rule, capacity, candidateShares) <= limit)
        ) {
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

/** Evicts the neighbour with the best ratio of contribution to eviction cost. */
function evict(
    context: MitigationContext,
    view: CellView,
    worst: AffectedService,
    neighbours: readonly PlacedTask[],
    capacity: FreeCapacity,
    now: number,
): Decision[] {
    const { interferenceCost, settings, state } = context;
    const { weights, mitigation, placement } = settings;
    const minimumRise = interferenceCost.throttleRise * MIN_EVICTION_RISE * (1 + weights.evictions / weights.tail);
    if (worst.rise < minimumRise || state.evictions.remaining(view.cell, now) <= 0) {
        return [];
    }
    const [best] = neighbours
        .filter(task => task.priority > placement.urgentPriority)
        .filter(task => task.evictions < mitigation.evictionsPerTask && task.progress < MAX_EVICTION_PROGRESS)
        .map(task => ({
            task,
            value: interferenceCost.estimateContribution(worst.task.rule, capacity, task) / computeEvictionCost(task),
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

/** Evicts a throttled neighbour with much remaining work, so that it can resume unthrottled on another worker. */
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

/** Returns the cost of evicting a task; it grows with the work since the last checkpoint, which may be lost. */
export function computeEvictionCost(task: PlacedTask): number {
    return 1 + LOST_WORK_COST * Math.max(0, task.progress - task.checkpointProgress);
}

/** Stops a replica that stays slow, if another replica of the service is running. */
function stop(
    context: MitigationContext,
    view: CellView,
    capacity: FreeCapacity,
    worst: AffectedService,
    now: number,
): Decision[] {
    const { interferenceCost, interference, state } = context;
    const rise = interference.observedRise(worst.task.rule, capacity.name, now);
    const others = view.workers.flatMap(worker => worker.tasks).filter(task =>
        task.rule === worst.task.rule && task.state === "running" && task.taskId !== worst.task.taskId
    );
    if (
        rise === undefined || rise < MIN_STOP_RISE * interferenceCost.throttleRise || others.length === 0
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
