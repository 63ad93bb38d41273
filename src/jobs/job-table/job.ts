/**
 * Types of the jobs, occurrences and steps in the job table.
 */
import type { JobState, JobStep, Submission } from "../model/job.js";
import type { IndexSet } from "./index-set.js";
import type { Task } from "./task.js";

/** Progress of one step of an occurrence. */
export interface StepProgress {
    readonly step: JobStep;
    readonly index: number;
    /**
     * Tasks that have attempts or a history, and the next ones to start, by index. The others that wait or are done are not held as objects,
     * so that a step with many tasks takes little memory.
     */
    readonly openTasks: Map<number, Task>;
    readonly done: IndexSet;
    /** Index of the first task that has not been opened for its start yet. */
    nextIndex: number;
    /** Number of open tasks that are ready. */
    readyCount: number;
    /** When the step's tasks became ready; absent while it waits for others. */
    readyAtMilliseconds: number | undefined;
    /** Number of earlier steps this step waits for. */
    unfinishedDependencies: number;
    /** Whether a worker has reported one of the tasks as running to this owner, so that no former owner saw them all done. */
    wasSeenRunning: boolean;
}

/** One run of all steps of a job. */
export interface Occurrence {
    readonly number: number;
    readonly entry: JobEntry;
    /** Due time in milliseconds since the Unix epoch; the time of acceptance for a job without a schedule. */
    readonly dueAtMilliseconds: number;
    readonly steps: StepProgress[];
    doneSteps: number;
    /** When an attempt of the occurrence last ended, as far as this owner knows. */
    lastEndedAtMilliseconds: number | undefined;
}

/** A job in the job table. */
export interface JobEntry {
    readonly id: string;
    readonly queue: string;
    /** Without payload and steps once the job has ended and been released. */
    submission: Submission;
    readonly acceptedAtMilliseconds: number;
    /** Memory that the job is counted with, in bytes. */
    heldBytes: number;
    /** Whether the job waits for memory before its tasks are opened. */
    isDeferred: boolean;
    /** Whether the job is committed to the ledger. Its tasks do not start before that. */
    isCommitted: boolean;
    /** Whether the job comes from an earlier owner, which may have started attempts that the ledger does not list. */
    readonly isInherited: boolean;
    /** Whether the job was cancelled without having been submitted; callers are told that there is no such job. */
    isUnsubmitted: boolean;
    state: JobState;
    /** The state that callers are told; a final state appears here only after its commit. */
    reportedState: JobState;
    endedAtMilliseconds: number | undefined;
    readonly occurrences: Map<number, Occurrence>;
    /** Number of the first scheduled occurrence that is not due yet. */
    nextOccurrence: number;
    completedOccurrences: number;
}
