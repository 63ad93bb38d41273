/**
 * Tasks of the policy bench's model, and how contestants see them.
 */
import type { PendingTask, PlacedTask } from "../../src/policy/policy.js";
import { GIBIBYTE, SERVICE_CORES, SERVICE_GIBIBYTES } from "./environment.js";

const START_MILLISECONDS = 1_800_000_000_000;

/** A task with what only the model knows of it. */
export interface ModelTask {
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

/** What a run adds up. */
export interface Totals {
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

/** Milliseconds since the Unix epoch of a second of the run. */
export function toMilliseconds(second: number): number {
    return START_MILLISECONDS + second * 1_000;
}

/** Creates a replica that waits. */
export function createReplica(totals: Totals, rule: string, index: number, second: number): ModelTask {
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

/** Creates a task that waits. */
export function createTask(
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

/** Shows a task that holds room. */
export function showPlaced(task: ModelTask): PlacedTask {
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

/** Shows a task that waits. */
export function showPending(task: ModelTask, second: number): PendingTask {
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
