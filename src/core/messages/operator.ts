/**
 * What operators ask of schedulers, through any gateway: tasks, workers, cancellations and reasons.
 */
import * as z from "zod";
import { defineMethod } from "../method.js";
import { Name, Origin } from "./identity.js";

/** State of a task in its cell's ledger. */
export const TaskState = z.enum([
    "pending",
    "starting",
    "running",
    "checkpointing",
    "evicted",
    "stopping",
    "finished",
    "cancelled",
    "parked",
]);
export type TaskState = z.infer<typeof TaskState>;

/** A task as operators see it. */
export const TaskSummary = z.strictObject({
    taskId: z.string(),
    rule: Name,
    team: Name,
    kind: z.enum(["service", "batch"]),
    state: TaskState,
    cell: z.string(),
    attempt: z.int().min(0),
    worker: Name.optional(),
    /** Share of the work done, 0 to 1. */
    progress: z.number().min(0).max(1),
    requester: z.string(),
    /** Milliseconds since the Unix epoch. */
    submittedAtMilliseconds: z.number(),
    /** Why it waits, is parked or was stopped; empty where it runs as asked. */
    reason: z.string(),
});
export type TaskSummary = z.infer<typeof TaskSummary>;

/** Lists tasks of the cells that a scheduler owns. */
export const listTasks = defineMethod(
    "tasks.list",
    z.strictObject({ rule: Name.optional(), team: Name.optional(), states: z.array(TaskState).optional() }),
    z.strictObject({ cells: z.array(z.string()), tasks: z.array(TaskSummary) }),
);

/** Cancels a task, wherever it stands. `known` is false where no cell of the scheduler has it. */
export const cancelTask = defineMethod(
    "tasks.cancel",
    z.strictObject({ taskId: z.string(), by: z.string().min(1) }),
    z.strictObject({ known: z.boolean(), state: TaskState.optional() }),
);

/** Tells why a task runs or waits: what placement refused it on, worker by worker, counted by reason. */
export const explainTask = defineMethod(
    "tasks.explain",
    z.strictObject({ taskId: z.string() }),
    z.strictObject({
        task: TaskSummary.optional(),
        refusals: z.array(z.strictObject({ reason: z.string(), workers: z.int().min(0) })),
        events: z.array(z.strictObject({ atMilliseconds: z.number(), event: z.string() })),
    }),
);

/** A worker as its cell's owner sees it. */
export const WorkerSummary = z.strictObject({
    worker: Name,
    cell: z.string(),
    dataCentre: Name,
    rack: z.int(),
    state: z.enum(["live", "leaving", "draining", "silent", "quarantined"]),
    tasks: z.int().min(0),
    slots: z.int(),
    coresReserved: z.number(),
    cores: z.number(),
    memoryReservedBytes: z.number(),
    memoryBytes: z.number(),
    reason: z.string(),
});
export type WorkerSummary = z.infer<typeof WorkerSummary>;

/** Lists workers of the cells that a scheduler owns. */
export const listWorkers = defineMethod(
    "workers.list",
    z.strictObject({}),
    z.strictObject({ workers: z.array(WorkerSummary) }),
);

/** Takes new work away from a worker and moves batch tasks off it, or ends that. */
export const drainWorker = defineMethod(
    "workers.drain",
    z.strictObject({ worker: Name, drain: z.boolean(), by: z.string().min(1) }),
    z.strictObject({ known: z.boolean() }),
);

/** What a daemon says of itself. */
export const readStatus = defineMethod(
    "status.read",
    z.strictObject({}),
    z.strictObject({
        instance: Name,
        role: z.enum(["gateway", "scheduler"]),
        dataCentre: Name,
        origin: Origin,
        ready: z.boolean(),
        configurationRevision: z.int().min(0),
        startedAtMilliseconds: z.number(),
        storeReachable: z.boolean(),
        cells: z.array(z.strictObject({ cell: z.string(), epoch: z.int(), tasks: z.int(), workers: z.int() })),
    }),
);
