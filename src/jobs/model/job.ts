/**
 * Jobs as callers submit them: steps of tasks, in an order, once or at set times.
 */
import * as z from "zod";
import { Size } from "./size.js";

/** Most tasks that one step may have; a job of more is refused as invalid. */
const MAXIMUM_TASKS_PER_STEP = 100_000;

/** One step: a number of tasks that are alike. */
export const JobStep = z.object({
    taskCount: z.int().min(1).max(MAXIMUM_TASKS_PER_STEP),
    /** What each task takes. */
    size: Size,
    /** The caller's guess of how long a task works; 0 without one. */
    estimateMilliseconds: z.number().min(0),
    /** Numbers of earlier steps whose tasks have to be done first. */
    after: z.array(z.int().min(0)),
    /** Tasks save their progress, and can go on elsewhere from what they saved. */
    savesProgress: z.boolean(),
    /** All tasks work together or not at all, and end together. */
    isGang: z.boolean(),
    /** A gang that is slower when it is spread over racks. */
    prefersOneRack: z.boolean(),
    /** Label that a worker must have. */
    requiredLabel: z.string().optional(),
    /** Rack that holds the data; tasks elsewhere take longer. */
    dataRack: z.string().optional(),
    /** Most tasks of the step on one worker; 0 without a limit. */
    limitPerWorker: z.int().min(0),
    /** Copies of a task may run at once; the first to finish counts. */
    allowsCopies: z.boolean(),
    /** Tasks work until the job is cancelled, and are started again however they end. */
    isLasting: z.boolean(),
    /** What the tasks run; tasks of one image behave alike. Empty where the caller named none. */
    image: z.string(),
    /** Tail latency, in milliseconds, that tasks which serve users of their own must stay below; 0 for other tasks. */
    latencyObjectiveMilliseconds: z.number().min(0),
    /** Tasks take the processor time that others leave; their cores are not counted against the worker's. */
    isFiller: z.boolean(),
    /** Most tasks of a lasting step that the system may make unavailable at one time; absent without a limit. */
    disruptionBudget: z.int().min(0).optional(),
});
export type JobStep = z.infer<typeof JobStep>;

/** Set times of a job that runs more than once. */
export const JobSchedule = z.object({
    /** First occurrence, in milliseconds since the Unix epoch. */
    firstAtMilliseconds: z.number(),
    intervalMilliseconds: z.number().min(0),
    occurrences: z.int().min(1),
});
export type JobSchedule = z.infer<typeof JobSchedule>;

/** A job as submitted. */
export const Submission = z.object({
    /** Handed to the tasks as it is. */
    payload: z.string(),
    steps: z.array(JobStep).min(1),
    schedule: JobSchedule.optional(),
}).refine(({ steps }) => steps.every((step, index) => step.after.every(earlier => earlier < index)), {
    error: "a step may only come after earlier steps",
    path: ["steps"],
});
export type Submission = z.infer<typeof Submission>;

/** What callers are told about a job. */
export const JobState = z.enum(["queued", "running", "completed", "failed", "cancelled"]);
export type JobState = z.infer<typeof JobState>;

/** States that a job does not leave. */
export const FINAL_STATES: ReadonlySet<JobState> = new Set(["completed", "failed", "cancelled"]);
