/**
 * Records of a cell's ledger: tasks, their specs, and the admitted runs of each rule.
 */
import * as z from "zod";
import { Name } from "../../core/messages/identity.js";
import { TaskState } from "../../core/messages/operator.js";
import { Resources } from "../../rules/rule.js";

/** Common fields of the tasks of a rule; tasks keep the version under which they were admitted. */
export const TaskSpec = z.strictObject({
    /** Rule and a digest of the fields below. */
    specId: z.string(),
    rule: Name,
    team: Name,
    requester: z.string(),
    kind: z.enum(["service", "batch"]),
    resources: Resources,
    dataCentres: z.array(Name),
    priority: z.int().min(0).max(9),
    workSeconds: z.number().min(0),
    retries: z.int().min(0),
});
export type TaskSpec = z.infer<typeof TaskSpec>;

/** One task. Times are in milliseconds since the Unix epoch. */
export const Task = z.strictObject({
    taskId: z.string(),
    specId: z.string(),
    state: TaskState,
    /** Number of the last attempt; 0 before the first. */
    attempt: z.int().min(0),
    /** Attempts of earlier tasks of this name, counted in `attempt`; absent where there were none. */
    attemptsBefore: z.int().min(0).optional(),
    /** Worker on which the last attempt holds resources; absent where it holds none. */
    worker: Name.optional(),
    /** Checkpoint from which the next attempt resumes. */
    checkpoint: z.string().optional(),
    checkpointProgress: z.number().min(0).max(1),
    submittedAtMilliseconds: z.number(),
    notBeforeMilliseconds: z.number(),
    /** When the task entered its state. */
    sinceMilliseconds: z.number(),
    failures: z.int().min(0),
    evictions: z.int().min(0),
    throttleShare: z.number().min(0).max(1),
    /** Why the task waits, is parked or is being stopped; empty for a running task that is not throttled. */
    reason: z.string(),
});
export type Task = z.infer<typeof Task>;

/** The newest run of a rule that the cell has begun to admit; older runs are never admitted again. */
export const Admission = z.strictObject({
    rule: Name,
    /** Scheduled time in seconds since the Unix epoch, or 0 for work that runs once. */
    run: z.number(),
    /** Tasks of the run that have been processed so far; a large run is admitted in slices. */
    tasks: z.int().min(0),
    /** Number of replacements of the service's replicas in this cell; gives each replacement a new id. */
    replacements: z.int().min(0),
    /** Rises when a rule is removed and later created again. */
    generation: z.int().min(0),
});
export type Admission = z.infer<typeof Admission>;

/** A worker that an operator has drained. */
export const Drain = z.strictObject({ worker: Name, by: z.string() });
export type Drain = z.infer<typeof Drain>;

/** States in which an attempt holds resources on its worker. */
export const HOLDING_STATES: ReadonlySet<TaskState> = new Set(["starting", "running", "checkpointing", "stopping"]);

/** States in which a task waits for a worker. */
export const WAITING_STATES: ReadonlySet<TaskState> = new Set(["pending", "evicted"]);

/** States of tasks that have ended permanently; they are kept for a while for operators. */
export const ENDED_STATES: ReadonlySet<TaskState> = new Set(["finished", "cancelled"]);
