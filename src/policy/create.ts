/**
 * Creates the placement policy of a scheduler. All cells that the scheduler owns share one policy and its learned
 * models.
 */
import type { Logger } from "../core/log.js";
import type { Metrics } from "../core/metrics.js";
import type { Random } from "../core/random.js";
import { createFreeCapacities } from "./capacity.js";
import { buildConstraints } from "./constraints.js";
import { createDecisionLog } from "./decisions.js";
import { explainPending } from "./explain.js";
import { createHealthModel } from "./health.js";
import type { HealthModel } from "./health.js";
import { createHourlyCap } from "./hourly-cap.js";
import { createInterferenceCost } from "./interference-cost.js";
import { createInterferenceModel } from "./interference.js";
import type { InterferenceModel } from "./interference.js";
import { mitigate } from "./mitigation.js";
import type { PlacementContext } from "./placement.js";
import type { CellView, Decision, PlacedTask, Policy } from "./policy.js";
import { preempt, removeStaleReservations } from "./preemption.js";
import type { Reservation } from "./preemption.js";
import { createTeamShares } from "./queue.js";
import { createQuotas } from "./quotas.js";
import { createReplicaSpread } from "./replicas.js";
import { createReportFilter, setBounded } from "./reports.js";
import type { PolicySettings } from "./settings.js";
import { createSizeModel } from "./sizes.js";
import type { SizeModel } from "./sizes.js";
import { decideStarts } from "./start.js";

/** Options of a policy. */
export interface PolicyOptions {
    readonly settings: PolicySettings;
    readonly random: Random;
    readonly metrics?: Metrics;
    readonly logger?: Logger;
    /** Interference model to use instead of one that learns from reports. */
    readonly interference?: InterferenceModel;
}

/** State that the policy keeps between decisions. */
interface PolicyState {
    readonly interference: InterferenceModel;
    readonly sizes: SizeModel;
    readonly health: HealthModel;
    readonly interferenceEvictions: ReturnType<typeof createHourlyCap>;
    readonly urgentEvictions: ReturnType<typeof createHourlyCap>;
    readonly stops: ReturnType<typeof createHourlyCap>;
    readonly lastActions: Map<string, number>;
    readonly reservations: Map<string, Reservation>;
    /** Time of the decision to evict, by attempt; used until the owner reports the task as `moving`. */
    readonly evictedAt: Map<string, number>;
    /** Time of the last eviction, by task. */
    readonly evictedTasks: Map<string, number>;
}

const MAX_TRACKED_EVICTIONS = 4_096;
/** Time after which the policy may repeat an eviction that the owner has not carried out. */
const EVICTION_RETRY_MILLISECONDS = 30_000;

/** Creates a policy with empty models. */
export function createPolicy(options: PolicyOptions): Policy {
    const { settings } = options;
    const state = createPolicyState(options);
    const reportFilter = createReportFilter(settings.reports);
    const log = createDecisionLog(options.metrics, options.logger);
    return {
        observeReport(report, now) {
            const classification = reportFilter.classify(report, now);
            log.countReport(classification);
            if (classification === "news") {
                state.interference.observe(report);
                state.sizes.observe(report, now);
            }
        },
        observeEnd: (end, now) => state.health.observeEnd(end, now),
        decide(view, now) {
            const decisions = decide(options, state, view, now);
            log.countDecisions(view.cell, decisions, state.health.quarantined().length);
            return decisions;
        },
        explain: (view, taskId, now) => {
            const task = view.pending.find(pending => pending.taskId === taskId);
            return task === undefined
                ? []
                : explainPending(
                    createPlacementContext(options, state, view, now),
                    createQuotas(view.quotas),
                    task,
                    now,
                );
        },
        quarantined: () => state.health.quarantined(),
    };
}

function createPolicyState({ settings, interference }: PolicyOptions): PolicyState {
    return {
        interference: interference ?? createInterferenceModel(settings.reports),
        sizes: createSizeModel(settings.sizes),
        health: createHealthModel(settings.quarantine),
        interferenceEvictions: createHourlyCap(settings.mitigation.evictionsPerHour),
        urgentEvictions: createHourlyCap(settings.mitigation.urgentEvictionsPerHour),
        stops: createHourlyCap(settings.mitigation.stopsPerHour),
        lastActions: new Map(),
        reservations: new Map(),
        evictedAt: new Map(),
        evictedTasks: new Map(),
    };
}

function decide(options: PolicyOptions, state: PolicyState, view: CellView, now: number): readonly Decision[] {
    const { settings } = options;
    const health = state.health.decide(view.cell, view.workers, now);
    removeStaleReservations(state.reservations, view);
    const placement = createPlacementContext(options, state, view, now);
    const isBeingRemoved = (task: PlacedTask) => task.state === "moving" || isRecentlyEvicted(state, task, now);
    const mitigations = mitigate(
        {
            interferenceCost: placement.interferenceCost,
            interference: state.interference,
            settings,
            state: { lastActions: state.lastActions, evictions: state.interferenceEvictions, stops: state.stops },
            isBeingRemoved,
        },
        view,
        placement.capacities,
        now,
    );
    recordEvictions(state, view, mitigations, now);
    const starts = decideStarts(
        {
            placement,
            quotas: createQuotas(view.quotas),
            shares: createTeamShares(view),
            placementsPerDecision: settings.placement.placementsPerDecision,
            preempt: task => {
                const evictions = preempt(
                    {
                        placement,
                        settings,
                        evictions: state.urgentEvictions,
                        reservations: state.reservations,
                        isBeingRemoved,
                    },
                    view,
                    task,
                    now,
                );
                recordEvictions(state, view, evictions, now);
                return evictions;
            },
        },
        view,
        now,
    );
    return [...health, ...keepLatestPerTask([...mitigations, ...starts])];
}

/** Keeps the last decision on each task: an eviction for urgent work replaces an earlier throttle of that task. */
function keepLatestPerTask(decisions: readonly Decision[]): Decision[] {
    const byTask = new Map<string, Decision>();
    for (const decision of decisions) {
        if ("taskId" in decision) {
            byTask.delete(decision.taskId);
            byTask.set(decision.taskId, decision);
        }
    }
    return [...byTask.values()];
}

function isRecentlyEvicted(state: PolicyState, task: PlacedTask, now: number): boolean {
    const evictedAt = state.evictedAt.get(createAttemptKey(task));
    return evictedAt !== undefined && evictedAt > now - EVICTION_RETRY_MILLISECONDS;
}

function recordEvictions(
    state: PolicyState,
    view: CellView,
    decisions: readonly Decision[],
    now: number,
): void {
    const ending = new Set(
        decisions
            .filter(decision => decision.kind === "evict" || decision.kind === "stop")
            .map(decision => decision.taskId),
    );
    if (ending.size === 0) {
        return;
    }
    for (const worker of view.workers) {
        for (const task of worker.tasks) {
            if (ending.has(task.taskId)) {
                setBounded(state.evictedAt, createAttemptKey(task), now, MAX_TRACKED_EVICTIONS);
                setBounded(state.evictedTasks, task.taskId, now, MAX_TRACKED_EVICTIONS);
            }
        }
    }
}

function createAttemptKey(task: PlacedTask): string {
    return `${task.taskId}#${task.attempt}`;
}

function createPlacementContext(
    options: PolicyOptions,
    state: PolicyState,
    view: CellView,
    now: number,
): PlacementContext {
    const { settings, random } = options;
    const sizeOf: PlacementContext["sizeOf"] = task => state.sizes.correct(task.rule, task.resources, now);
    const capacities = createFreeCapacities(view.workers, sizeOf);
    return {
        capacities,
        constraints: buildConstraints(view.placements),
        spread: createReplicaSpread(view),
        sizeOf,
        interferenceCost: createInterferenceCost({
            interference: state.interference,
            sizes: state.sizes,
            settings,
            random,
            capacities,
            pending: view.pending,
            evictedAt: taskId => state.evictedTasks.get(taskId),
            now,
        }),
        health: state.health,
        now,
        random,
        candidates: settings.placement.candidates,
    };
}
