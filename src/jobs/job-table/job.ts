/**
 * Jobs as their cell keeps them.
 */
import type { JobState, JobStep, Submission } from "../model/job.js";
import type { Task } from "./task.js";

/** Progress of one step of an occurrence. */
export interface StepProgress {
    readonly step: JobStep;
    readonly index: number;
    readonly tasks: Task[];
    doneCount: number;
    /** Earlier steps that are not done yet. */
    unfinishedDependencies: number;
}

/** One time that a job's steps run. */
export interface Occurrence {
    readonly number: number;
    readonly entry: JobEntry;
    /** When it was due; the time of acceptance for a job without set times. */
    readonly dueAtMilliseconds: number;
    readonly steps: StepProgress[];
    doneSteps: number;
}

/** A job of the cell. */
export interface JobEntry {
    readonly id: string;
    readonly queue: string;
    readonly submission: Submission;
    readonly acceptedAtMilliseconds: number;
    /** Whether the ledger holds it; nothing of it starts before. */
    isCommitted: boolean;
    /** Taken over from an earlier owner, which may have started more than the ledger tells. */
    readonly isInherited: boolean;
    state: JobState;
    /** The state that the ledger holds and callers are told. */
    reportedState: JobState;
    endedAtMilliseconds: number | undefined;
    readonly occurrences: Map<number, Occurrence>;
    /** Set times that have not come yet start here. */
    nextOccurrence: number;
    completedOccurrences: number;
}
