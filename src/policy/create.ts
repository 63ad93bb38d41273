/**
 * Creates the policy of a scheduler. One policy serves all cells that the scheduler owns, so that they learn together.
 */
import type { Logger } from "../core/log.js";
import type { Metrics } from "../core/metrics.js";
import type { Random } from "../core/random.js";
import { createHourlyCap } from "./allowance.js";
import { readPlacements } from "./constraints.js";
import { createDecisionLog } from "./decisions.js";
import { explainPending } from "./explain.js";
import { createHarmView } from "./harm.js";
import { createHealthModel } from "./health.js";
import type { HealthModel } from "./health.js";
import { createInterferenceModel } from "./interference.js";
import type { InterferenceModel } from "./interference.js";
import { mitigate } from "./mitigation.js";
import type { PlacementContext } from "./placement.js";
import type { CellView, Decision, PlacedTask, Policy } from "./policy.js";
import { forgetClaims, makeRoom } from "./preemption.js";
import type { Claim } from "./preemption.js";
import { createTeamShares } from "./queue.js";
import { createQuotas } from "./quotas.js";
import { createReplicaSpread } from "./replicas.js";
import { createReportIntake, remember } from "./reports.js";
import { createRooms } from "./room.js";
import type { PolicySettings } from "./settings.js";
import { createSizeModel } from "./sizes.js";
import type { SizeModel } from "./sizes.js";
import { decideStarts } from "./start.js";

/** What a policy is created from. */
export interface PolicyOptions {
    readonly settings: PolicySettings;
    readonly random: Random;
    readonly metrics?: Metrics;
    readonly logger?: Logger;
    /** Knowledge of interference from elsewhere in place of what reports teach. */
    readonly interference?: InterferenceModel;
}

/** All that the policy keeps between decisions. */
interface Memory {
    readonly interference: InterferenceModel;
    readonly sizes: SizeModel;
    readonly health: HealthModel;
    readonly harmEvictions: ReturnType<typeof createHourlyCap>;
    readonly urgentEvictions: ReturnType<typeof createHourlyCap>;
    readonly stops: ReturnType<typeof createHourlyCap>;
    readonly lastActions: Map<string, number>;
    readonly claims: Map<string, Claim>;
    /** Time of the decision to evict, by attempt, until the owner shows the task as moving. */
    readonly evictedAt: Map<string, number>;
    /** Time of the last eviction of a task. */
    readonly evictedTasks: Map<string, number>;
}

const REMEMBERED_EVICTIONS = 4_096;
/** Time after which an eviction that the owner did not carry out may be decided again. */
const EVICTION_REPEAT_MILLISECONDS = 30_000;

/** Creates a policy that has learned nothing yet. */
export function createPolicy(options: PolicyOptions): Policy {
    const { settings } = options;
    const memory = createMemory(options);
    const intake = createReportIntake(settings.reports);
    const log = createDecisionLog(options.metrics, options.logger);
    return {
        observeReport(report, now) {
            const worth = intake.judge(report, now);
            log.countReport(worth);
            if (worth === "news") {
                memory.interference.observe(report);
                memory.sizes.observe(report, now);
            }
        },
        observeEnd: (end, now) => memory.health.observeEnd(end, now),
        decide(view, now) {
            const decisions = decide(options, memory, view, now);
            log.countDecisions(view.cell, decisions, memory.health.quarantined().length);
            return decisions;
        },
        explain: (view, taskId, now) => {
            const task = view.pending.find(pending => pending.taskId === taskId);
            return task === undefined
                ? []
                : explainPending(
                    createPlacementContext(options, memory, view, now),
                    createQuotas(view.quotas),
                    task,
                    now,
                );
        },
        quarantined: () => memory.health.quarantined(),
    };
}

function createMemory({ settings, interference }: PolicyOptions): Memory {
    return {
        interference: interference ?? createInterferenceModel(settings.reports),
        sizes: createSizeModel(settings.sizes),
        health: createHealthModel(settings.quarantine),
        harmEvictions: createHourlyCap(settings.mitigation.evictionsPerHour),
        urgentEvictions: createHourlyCap(settings.mitigation.urgentEvictionsPerHour),
        stops: createHourlyCap(settings.mitigation.stopsPerHour),
        lastActions: new Map(),
        claims: new Map(),
        evictedAt: new Map(),
        evictedTasks: new Map(),
    };
}

function decide(options: PolicyOptions, memory: Memory, view: CellView, now: number): readonly Decision[] {
    const { settings } = options;
    const health = memory.health.decide(view.cell, view.workers, now);
    forgetClaims(memory.claims, view);
    const placement = createPlacementContext(options, memory, view, now);
    const isLeaving = (task: PlacedTask) => task.state === "moving" || isEvicted(memory, task, now);
    const mitigations = mitigate(
        {
            harm: placement.harm,
            interference: memory.interference,
            settings,
            state: { lastActions: memory.lastActions, evictions: memory.harmEvictions, stops: memory.stops },
            isLeaving,
        },
        view,
        placement.rooms,
        now,
    );
    rememberEvictions(memory, view, mitigations, now);
    const starts = decideStarts(
        {
            placement,
            quotas: createQuotas(view.quotas),
            shares: createTeamShares(view),
            placementsPerDecision: settings.placement.placementsPerDecision,
            makeRoom: task => {
                const evictions = makeRoom(
                    {
                        placement,
                        settings,
                        evictions: memory.urgentEvictions,
                        claims: memory.claims,
                        isLeaving,
                    },
                    view,
                    task,
                    now,
                );
                rememberEvictions(memory, view, evictions, now);
                return evictions;
            },
        },
        view,
        now,
    );
    return [...health, ...keepLast([...mitigations, ...starts])];
}

/** An eviction for urgent work stands in for an earlier throttle of the same task. */
function keepLast(decisions: readonly Decision[]): Decision[] {
    const byTask = new Map<string, Decision>();
    for (const decision of decisions) {
        if ("taskId" in decision) {
            byTask.delete(decision.taskId);
            byTask.set(decision.taskId, decision);
        }
    }
    return [...byTask.values()];
}

function isEvicted(memory: Memory, task: PlacedTask, now: number): boolean {
    const evictedAt = memory.evictedAt.get(nameAttempt(task));
    return evictedAt !== undefined && evictedAt > now - EVICTION_REPEAT_MILLISECONDS;
}

function rememberEvictions(
    memory: Memory,
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
                remember(memory.evictedAt, nameAttempt(task), now, REMEMBERED_EVICTIONS);
                remember(memory.evictedTasks, task.taskId, now, REMEMBERED_EVICTIONS);
            }
        }
    }
}

function nameAttempt(task: PlacedTask): string {
    return `${task.taskId}#${task.attempt}`;
}

function createPlacementContext(
    options: PolicyOptions,
    memory: Memory,
    view: CellView,
    now: number,
): PlacementContext {
    const { settings, random } = options;
    const sizeOf: PlacementContext["sizeOf"] = task => memory.sizes.correct(task.rule, task.resources, now);
    const rooms = createRooms(view.workers, sizeOf);
    return {
        rooms,
        constraints: readPlacements(view.placements),
        spread: createReplicaSpread(view),
        sizeOf,
        harm: createHarmView({
            interference: memory.interference,
            sizes: memory.sizes,
            settings,
            random,
            rooms,
            pending: view.pending,
            evictedAt: taskId => memory.evictedTasks.get(taskId),
            now,
        }),
        health: memory.health,
        now,
        random,
        candidates: settings.placement.candidates,
    };
}
