/**
 * Runs one contestant through an environment, second by second, and measures what came of it.
 */
import { createRandom } from "../../src/core/random.js";
import type { Random } from "../../src/core/random.js";
import type { WorkerInstance } from "../../src/platform/instances.js";
import type { AttemptUsage, WorkerReport } from "../../src/platform/worker.js";
import type { CellView, Decision, PendingTask, PlacedTask } from "../../src/policy/policy.js";
import { BASE_TAIL_MILLISECONDS } from "./contestants.js";
import type { Contestant, ContestantFactory } from "./contestants.js";
import type { Environment } from "./environment.js";
import { drawNormal, GIBIBYTE, SERVICE_CORES, SERVICE_GIBIBYTES } from "./environment.js";
import { createLatencyMixture } from "./latency.js";
import type { BinnedMixture } from "./latency.js";

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

/** A task with what only the model knows of it. */
interface ModelTask {
    readonly taskId: string;
    readonly rule: string;
    /** Index of the service or the batch rule. */
    readonly index: number;
    readonly kind: "service" | "batch";
    readonly cores: number;
    readonly memoryBytes: number;
    readonly workSeconds: number;
    readonly submittedSecond: number;
    doneSeconds: number;
    attempt: number;
    startedSecond: number;
    evictions: number;
    share: number;
    /** Second at which an eviction or a stop is complete. */
    goneSecond: number | undefined;
}

interface Cell {
    readonly instances: readonly WorkerInstance[];
    readonly contestant: Contestant;
    readonly running: Map<string, ModelTask[]>;
    pending: ModelTask[];
    readonly reports: { readonly dueSecond: number; readonly report: WorkerReport; }[];
}

interface Totals {
    workDone: number;
    tasksFinished: number;
    evictions: number;
    throttles: number;
    stops: number;
    placements: number;
    capacityViolations: number;
    decisionMicroseconds: number;
    decisions: number;
    started: number;
}

const START_MILLISECONDS = 1_800_000_000_000;
const REPORT_INTERVAL_SECONDS = 5;
const REPORT_LAG_SECONDS = 10;
const MISSING_REPORTS = 0.05;
const WRONG_REPORTS = 0.01;
const REPORT_NOISE = 0.1;
const EVICTION_SECONDS = 5;
const EVICTION_LOST_SECONDS = 10;
const SERVICE_NEIGHBOUR_EFFECT = 0.01;
const REQUESTS_AT_PEAK = 100;
const REFERENCE_CORES = 4;
const TAIL_FACTOR = Math.exp(2.326 * 0.5);

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
    let nextArrival = 0;
    for (let second = 0; second < environment.seconds; second += 1) {
        for (let arrival = environment.arrivals[nextArrival]; arrival !== undefined && arrival.atSecond <= second;) {
            const model = environment.batches[arrival.batch];
            const cell = cells[arrival.cell];
            if (model !== undefined && cell !== undefined) {
                cell.pending.push(createTask(totals, {
                    rule: model.rule,
                    index: arrival.batch,
                    kind: "batch",
                    cores: model.declaredCores,
                    memoryBytes: model.declaredGibibytes * GIBIBYTE,
                    workSeconds: arrival.workSeconds,
                    submittedSecond: second,
                }));
            }
            nextArrival += 1;
            arrival = environment.arrivals[nextArrival];
        }
        for (const cell of cells) {
            deliverReports(cell, second);
            applyDecisions(cell, decide(cell, second, totals), second, totals);
            advance(environment, cell, second, totals, latency, random);
        }
    }
    return { latency, ...totals, decisionMicroseconds: totals.decisionMicroseconds / totals.decisions };
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

function createReplica(totals: Totals, rule: string, index: number, second: number): ModelTask {
    return createTask(totals, {
        rule,
        index,
        kind: "service",
        cores: SERVICE_CORES,
        memoryBytes: SERVICE_GIBIBYTES * GIBIBYTE,
        workSeconds: Number.POSITIVE_INFINITY,
        submittedSecond: second,
    });
}

function createTask(
    totals: Totals,
    given: Pick<
        ModelTask,
        "rule" | "index" | "kind" | "cores" | "memoryBytes" | "workSeconds" | "submittedSecond"
    >,
): ModelTask {
    totals.started += 1;
    return {
        ...given,
        taskId: `task-${totals.started}`,
        doneSeconds: 0,
        attempt: 0,
        startedSecond: 0,
        evictions: 0,
        share: 1,
        goneSecond: undefined,
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

/** Milliseconds since the Unix epoch of a second of the run. */
export function toMilliseconds(second: number): number {
    return START_MILLISECONDS + second * 1_000;
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

function showPlaced(task: ModelTask): PlacedTask {
    const progress = task.kind === "batch" ? task.doneSeconds / task.workSeconds : 0;
    return {
        taskId: task.taskId,
        attempt: task.attempt,
        rule: task.rule,
        team: "team",
        kind: task.kind,
        resources: { cores: task.cores, memoryBytes: task.memoryBytes, accelerators: 0 },
        priority: task.kind === "service" ? 0 : 5,
        state: task.goneSecond === undefined ? "running" : "moving",
        startedAtMilliseconds: toMilliseconds(task.startedSecond),
        progress,
        checkpointProgress: progress,
        evictions: task.evictions,
        throttleShare: task.share,
    };
}

function showPending(task: ModelTask, second: number): PendingTask {
    return {
        taskId: task.taskId,
        rule: task.rule,
        team: "team",
        kind: task.kind,
        resources: { cores: task.cores, memoryBytes: task.memoryBytes, accelerators: 0 },
        priority: task.kind === "service" ? 0 : 5,
        dataCentres: [],
        submittedAtMilliseconds: toMilliseconds(Math.min(second, task.submittedSecond)),
        notBeforeMilliseconds: 0,
        failures: 0,
        retries: 3,
        evictions: task.evictions,
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
        if ((second + place) % REPORT_INTERVAL_SECONDS === 0) {
            report(environment, cell, instance.name, tasks, medians, load, second, random);
        }
        cell.running.set(instance.name, tasks.filter(task => staysOn(cell, task, second, totals)));
    });
}

/** Real use of cores. */
function useCores(environment: Environment, task: ModelTask, load: number, second: number): number {
    if (task.kind === "service") {
        return SERVICE_CORES * (0.3 + 0.5 * load);
    }
    const noisy = environment.isNoisy(task.index, second) ? 1.25 : 1;
    return task.cores * (environment.batches[task.index]?.useShare ?? 1) * task.share * noisy;
}

/** Median latency in units of the service's base. */
function latencyOf(
    environment: Environment,
    service: ModelTask,
    tasks: readonly ModelTask[],
    load: number,
    second: number,
): number {
    let rise = 0;
    for (const other of tasks) {
        if (other === service) {
            continue;
        }
        if (other.kind === "service") {
            rise += SERVICE_NEIGHBOUR_EFFECT;
            continue;
        }
        const useShare = environment.batches[other.index]?.useShare ?? 1;
        const noisy = environment.isNoisy(other.index, second) ? 2 : 1;
        rise += environment.effect(service.index, other.index, second) * other.share * other.cores * useShare
            / REFERENCE_CORES * noisy;
    }
    return (1 + 0.5 * load) * (1 + (0.25 + 0.75 * load ** 2) * rise);
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

function report(
    environment: Environment,
    cell: Cell,
    worker: string,
    tasks: readonly ModelTask[],
    medians: ReadonlyMap<ModelTask, number>,
    load: number,
    second: number,
    random: Random,
): void {
    // Drawn in any case, so that a missing report does not shift what follows.
    const missing = random() < MISSING_REPORTS;
    const usages: AttemptUsage[] = tasks.map(task => {
        const median = medians.get(task);
        const noise = Math.exp(REPORT_NOISE * drawNormal(random));
        const wrong = random() < WRONG_REPORTS ? 10 ** Math.sign(random() - 0.5) : 1;
        return {
            taskId: task.taskId,
            attempt: task.attempt,
            rule: task.rule,
            kind: task.kind,
            cores: useCores(environment, task, load, second),
            memoryBytes: 0.8 * task.memoryBytes,
            progress: task.kind === "batch" ? task.doneSeconds / task.workSeconds : 0,
            throttleShare: task.share,
            ...(median === undefined ? {} : {
                requestsPerSecond: REQUESTS_AT_PEAK * load,
                latencyMedianMilliseconds: BASE_TAIL_MILLISECONDS / TAIL_FACTOR * median * noise * wrong,
                latencyTailMilliseconds: BASE_TAIL_MILLISECONDS * median * noise * wrong,
            }),
        };
    });
    if (!missing) {
        const measuredAtMilliseconds = toMilliseconds(second);
        cell.reports.push({
            dueSecond: second + REPORT_LAG_SECONDS,
            report: { worker, incarnation: "1", measuredAtMilliseconds, usages, connections: [] },
        });
    }
}
