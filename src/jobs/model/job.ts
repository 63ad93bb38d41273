/**
 * Schema of jobs as callers submit them: ordered steps of tasks, run once or on a schedule.
 */
import * as z from "zod";
import { Size } from "./size.js";

/** Largest number of tasks in a step; a job with more is rejected as invalid. */
const MAXIMUM_TASKS_PER_STEP = 100_000;

/** A step: a number of identical tasks. */
export const JobStep = z.object({
    taskCount: z.int().min(1).max(MAXIMUM_TASKS_PER_STEP),
    /** Resources of each task. */
    size: Size,
    /** The caller's estimate of a task's duration; 0 if not given. */
    estimateMilliseconds: z.number().min(0),
    /** Indexes of earlier steps that have to be done first. */
    after: z.array(z.int().min(0)),
    /** Tasks write checkpoints and can resume from them on another worker. */
    savesProgress: z.boolean(),
    /** All tasks run at the same time and end together. */
    isGang: z.boolean(),
    /** The gang is slower when spread over several racks. */
    prefersOneRack: z.boolean(),
    /** Label that a worker must have. */
    requiredLabel: z.string().optional(),
    /** Rack that holds the data; tasks elsewhere take longer. */
    dataRack: z.string().optional(),
    /** Largest number of tasks of the step on one worker; 0 for no limit. */
    limitPerWorker: z.int().min(0),
    /** Several copies of a task may run at the same time; the first to finish counts. */
    allowsCopies: z.boolean(),
    /** Tasks run until the job is cancelled, and are restarted whenever they end. */
    isLasting: z.boolean(),
    /** Image that the tasks run; tasks of the same image behave alike. Empty if not given. */
    image: z.string(),
    /** Tail latency, in milliseconds, that serving tasks must stay below; 0 for other tasks. */
    latencyObjectiveMilliseconds: z.number().min(0),
    /** Tasks use idle processor time; their cores are not counted against the worker's capacity. */
    isFiller: z.boolean(),
    /** Largest number of tasks of a lasting step that the system may make unavailable at one time; absent for no limit. */
    disruptionBudget: z.int().min(0).optional(),
});
export type JobStep = z.infer<typeof JobStep>;

/** Schedule of a job that runs at set times. */
export const JobSchedule = z.object({
    /** Time of the first occurrence, in milliseconds since the Unix epoch. */
    firstAtMilliseconds: z.number(),
    intervalMilliseconds: z.number().min(0),
    occurrences: z.int().min(1),
});
export type JobSchedule = z.infer<typeof JobSchedule>;

/** A job as submitted. */
export const Submission = z.object({
    /** Passed to the tasks unchanged. */
    payload: z.string(),
    steps: z.array(JobStep).min(1),
    schedule: JobSchedule.optional(),
}).refine(({ steps }) => steps.every((step, index) => step.after.every(earlier => earlier < index)), {
    error: "a step may only come after earlier steps",
    path: ["steps"],
});
export type Submission = z.infer<typeof Submission>;

/** State of a job as reported to callers. */
export const JobState = z.enum(["queued", "running", "completed", "failed", "cancelled"]);
export type JobState = z.infer<typeof JobState>;

/** States after which a job no longer changes. */
export const FINAL_STATES: ReadonlySet<JobState> = new Set(["completed", "failed", "cancelled"]);
