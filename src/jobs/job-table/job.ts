/**
 * Types of the jobs, occurrences and steps in the job table.
 */
import type { JobState, JobStep, Submission } from "../model/job.js";
import type { Task } from "./task.js";

/** Progress of one step of an occurrence. */
export interface StepProgress {
    readonly step: JobStep;
    readonly index: number;
    readonly tasks: Task[];
    doneCount: number;
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
}

/** A job in the job table. */
export interface JobEntry {
    readonly id: string;
    readonly queue: string;
    readonly submission: Submission;
    readonly acceptedAtMilliseconds: number;
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
