/**
 * Runs one contestant through an environment, second by second, and measures what came of it.
 */
import { createRandom } from "../../src/core/random.js";
import type { Random } from "../../src/core/random.js";
import type { WorkerInstance } from "../../src/platform/instances.js";
import type { WorkerReport } from "../../src/platform/worker.js";
import type { CellView, Decision } from "../../src/policy/policy.js";
import type { Contestant, ContestantFactory } from "./contestants.js";
import type { Environment } from "./environment.js";
import { GIBIBYTE } from "./environment.js";
import { createLatencyMixture } from "./latency.js";
import type { BinnedMixture } from "./latency.js";
import { createReport, latencyOf, REQUESTS_AT_PEAK, useCores } from "./physics.js";
import { createReplica, createTask, showPending, showPlaced } from "./tasks.js";
import type { ModelTask, Totals } from "./tasks.js";

/** What a run came to. */
export interface Outcome {
    readonly latency: BinnedMixture;
    /** Batch work done, in core seconds of declared size. */
    readonly workDone: number;
    readonly tasksFinished: number;
    readonly evictions: number;
    readonly throttles: number;
    readonly stops: number;
    readonly placements: number;
    /** Placements that gave a worker more than its shape. */
    readonly capacityViolations: number;
    readonly decisionMicroseconds: number;
}

interface Cell {
    readonly instances: readonly WorkerInstance[];
    readonly contestant: Contestant;
    readonly running: Map<string, ModelTask[]>;
    pending: ModelTask[];
    readonly reports: { readonly dueSecond: number; readonly report: WorkerReport; }[];
}

const REPORT_INTERVAL_SECONDS = 5;
const REPORT_LAG_SECONDS = 10;
const EVICTION_SECONDS = 5;
const EVICTION_LOST_SECONDS = 10;

/** Runs one contestant; all randomness besides the environment's comes from the seed. */
export function runContestant(environment: Environment, factory: ContestantFactory, seed: number): Outcome {
    const random = createRandom(seed);
    const latency = createLatencyMixture();
    const totals: Totals = {
        workDone: 0,
        tasksFinished: 0,
        evictions: 0,
        throttles: 0,
        stops: 0,
        placements: 0,
        capacityViolations: 0,
        decisionMicroseconds: 0,
        decisions: 0,
        started: 0,
    };
    const cells = environment.cells.map(instances => createCell(environment, instances, factory, random, totals));
    let arrived = 0;
    for (let second = 0; second < environment.seconds; second += 1) {
        arrived = acceptArrivals(environment, cells, second, arrived, totals);
        for (const cell of cells) {
            deliverReports(cell, second);
            applyDecisions(cell, decide(cell, second, totals), second, totals);
            advance(environment, cell, second, totals, latency, random);
        }
    }
    return { latency, ...totals, decisionMicroseconds: totals.decisionMicroseconds / totals.decisions };
}

/** Puts the arrivals of a second into their cells' queues; returns how many have arrived in all. */
function acceptArrivals(
    environment: Environment,
    cells: readonly Cell[],
    second: number,
    arrivedBefore: number,
    totals: Totals,
): number {
    const rest = environment.arrivals.slice(arrivedBefore);
    const later = rest.findIndex(arrival => arrival.atSecond > second);
    const arrivals = later === -1 ? rest : rest.slice(0, later);
    for (const { cell, batch, workSeconds } of arrivals) {
        const model = environment.batches[batch];
        if (model !== undefined) {
            cells[cell]?.pending.push(createTask(totals, {
                rule: model.rule,
                index: batch,
                kind: "batch",
                cores: model.declaredCores,
                memoryBytes: model.declaredGibibytes * GIBIBYTE,
                workSeconds,
                submittedSecond: second,
            }));
        }
    }
    return arrivedBefore + arrivals.length;
}

function createCell(
    environment: Environment,
    instances: readonly WorkerInstance[],
    factory: ContestantFactory,
    random: Random,
    totals: Totals,
): Cell {
    const pending = environment.services.flatMap((rule, index) =>
        Array.from({ length: environment.replicasPerCell }, () => createReplica(totals, rule, index, 0))
    );
    return {
        instances,
        contestant: factory(environment, random),
        running: new Map(instances.map(instance => [instance.name, []])),
        pending,
        reports: [],
    };
}

function deliverReports(cell: Cell, second: number): void {
    while (cell.reports[0] !== undefined && cell.reports[0].dueSecond <= second) {
        cell.contestant.observe(cell.reports[0].report, second);
        cell.reports.shift();
    }
}

function decide(cell: Cell, second: number, totals: Totals): readonly Decision[] {
    const view = createView(cell, second);
    const before = process.hrtime.bigint();
    const decisions = cell.contestant.decide(view, second);
    totals.decisionMicroseconds += Number(process.hrtime.bigint() - before) / 1_000;
    totals.decisions += 1;
    return decisions;
}

function createView(cell: Cell, second: number): CellView {
    return {
        cell: cell.instances[0]?.dataCentre ?? "",
        workers: cell.instances.map(instance => ({
            instance,
            state: "live",
            tasks: (cell.running.get(instance.name) ?? []).map(showPlaced),
        })),
        pending: cell.pending.map(task => showPending(task, second)),
        quotas: [],
        placements: [],
    };
}

function applyDecisions(cell: Cell, decisions: readonly Decision[], second: number, totals: Totals): void {
    const placed = new Set<ModelTask>();
    for (const decision of decisions) {
        if (decision.kind === "place") {
            const task = cell.pending.find(candidate => candidate.taskId === decision.taskId);
            if (task !== undefined) {
                placed.add(task);
                startTask(cell, task, decision.worker, second, totals);
            }
        }
        else if (decision.kind === "throttle" || decision.kind === "evict" || decision.kind === "stop") {
            const task = [...cell.running.values()].flat().find(candidate => candidate.taskId === decision.taskId);
            if (task !== undefined && task.goneSecond === undefined) {
                disturbTask(task, decision, second, totals);
            }
        }
    }
    cell.pending = cell.pending.filter(task => !placed.has(task));
}

function startTask(cell: Cell, task: ModelTask, worker: string, second: number, totals: Totals): void {
    const tasks = cell.running.get(worker) ?? [];
    const shape = cell.instances.find(instance => instance.name === worker)?.shape;
    task.attempt += 1;
    task.startedSecond = second;
    task.share = 1;
    tasks.push(task);
    totals.placements += 1;
    const cores = tasks.reduce((total, other) => total + other.cores, 0);
    const memoryBytes = tasks.reduce((total, other) => total + other.memoryBytes, 0);
    if (shape === undefined || tasks.length > shape.slots || cores > shape.cores || memoryBytes > shape.memoryBytes) {
        totals.capacityViolations += 1;
    }
}

function disturbTask(
    task: ModelTask,
    decision: Extract<Decision, { kind: "throttle" | "evict" | "stop"; }>,
    second: number,
    totals: Totals,
): void {
    if (decision.kind === "throttle") {
        task.share = decision.share;
        totals.throttles += 1;
        return;
    }
    task.goneSecond = second + EVICTION_SECONDS;
    totals[decision.kind === "evict" ? "evictions" : "stops"] += 1;
}

function advance(
    environment: Environment,
    cell: Cell,
    second: number,
    totals: Totals,
    latency: BinnedMixture,
    random: Random,
): void {
    const load = environment.load(second);
    cell.instances.forEach((instance, place) => {
        const tasks = cell.running.get(instance.name) ?? [];
        const used = tasks.reduce((total, task) => total + useCores(environment, task, load, second), 0);
        const excess = Math.max(1, used / instance.shape.cores);
        const medians = new Map<ModelTask, number>();
        for (const task of tasks) {
            if (task.kind === "service") {
                const median = latencyOf(environment, task, tasks, load, second) * excess ** 2;
                medians.set(task, median);
                latency.add(median, REQUESTS_AT_PEAK * load);
            }
            else if (task.goneSecond === undefined) {
                const done = Math.min(task.share / excess, task.workSeconds - task.doneSeconds);
                task.doneSeconds += done;
                totals.workDone += done * task.cores;
            }
        }
        const report = (second + place) % REPORT_INTERVAL_SECONDS === 0
            ? createReport(environment, instance.name, tasks, medians, second, random)
            : undefined;
        if (report !== undefined) {
            cell.reports.push({ dueSecond: second + REPORT_LAG_SECONDS, report });
        }
        cell.running.set(instance.name, tasks.filter(task => staysOn(cell, task, second, totals)));
    });
}

function staysOn(cell: Cell, task: ModelTask, second: number, totals: Totals): boolean {
    if (task.doneSeconds >= task.workSeconds) {
        totals.tasksFinished += 1;
        return false;
    }
    if (task.goneSecond === undefined || task.goneSecond > second) {
        return true;
    }
    task.goneSecond = undefined;
    if (task.kind === "batch") {
        const lost = Math.min(task.doneSeconds, EVICTION_LOST_SECONDS);
        task.doneSeconds -= lost;
        totals.workDone -= lost * task.cores;
        task.evictions += 1;
        cell.pending.push(task);
    }
    else {
        cell.pending.push(createReplica(totals, task.rule, task.index, second));
    }
    return false;
}
