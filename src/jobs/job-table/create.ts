/**
 * Creates job entries and the tasks of their occurrences.
 */
import type { Ended } from "../ledger/segment.js";
import type { Submission } from "../model/job.js";
import { formatTaskKey } from "../model/task-key.js";
import type { JobEntry, Occurrence, StepProgress } from "./job.js";
import type { Task } from "./task.js";

/** Fields of a job at the time of its acceptance. */
export interface NewJob {
    readonly id: string;
    readonly queue: string;
    readonly submission: Submission;
    readonly acceptedAtMilliseconds: number;
}

/** Creates a job entry without occurrences. */
export function createJobEntry(job: NewJob, isInherited: boolean): JobEntry {
    return {
        ...job,
        isCommitted: isInherited,
        isInherited,
        isUnsubmitted: false,
        state: "queued",
        reportedState: "queued",
        endedAtMilliseconds: undefined,
        occurrences: new Map(),
        nextOccurrence: 0,
        completedOccurrences: 0,
    };
}

/** Creates the entry of an ended job of which only the end is known. */
export function createEndedEntry({ id, queue, endedAtMilliseconds }: Ended, isInherited: boolean): JobEntry {
    const submission = { payload: "", steps: [] };
    return createJobEntry({ id, queue, submission, acceptedAtMilliseconds: endedAtMilliseconds }, isInherited);
}

/** Describes the end of a job for the ledger. */
export function describeEnd({ id, queue, state, endedAtMilliseconds = 0, isUnsubmitted }: JobEntry): Ended {
    return { id, queue, state, endedAtMilliseconds, ...(isUnsubmitted ? { isUnsubmitted } : {}) };
}

/** Returns how many times a job's steps run. */
export function countOccurrences({ submission }: JobEntry): number {
    return submission.schedule?.occurrences ?? 1;
}

/** Returns when an occurrence is due, in milliseconds since the Unix epoch. */
export function dueTime({ submission, acceptedAtMilliseconds }: JobEntry, occurrence: number): number {
    const { schedule } = submission;
    return schedule === undefined
        ? acceptedAtMilliseconds
        : schedule.firstAtMilliseconds + occurrence * schedule.intervalMilliseconds;
}

/** Creates an occurrence with all its tasks, none of them ready. */
export function createOccurrence(entry: JobEntry, number: number): Occurrence {
    const occurrence: Occurrence = {
        number,
        entry,
        dueAtMilliseconds: dueTime(entry, number),
        steps: [],
        doneSteps: 0,
    };
    entry.submission.steps.forEach((_, index) => occurrence.steps.push(createStep(occurrence, index)));
    return occurrence;
}

function createStep(occurrence: Occurrence, stepIndex: number): StepProgress {
    const step = occurrence.entry.submission.steps[stepIndex];
    if (step === undefined) {
        throw new RangeError(`job ${occurrence.entry.id} has no step ${stepIndex}`);
    }
    const progress: StepProgress = {
        step,
        index: stepIndex,
        tasks: [],
        doneCount: 0,
        unfinishedDependencies: new Set(step.after).size,
        wasSeenRunning: false,
    };
    for (let index = 0; index < step.taskCount; index++) {
        progress.tasks.push(createTask(occurrence, progress, index));
    }
    return progress;
}

function createTask(occurrence: Occurrence, { step, index: stepIndex }: StepProgress, index: number): Task {
    const { entry, number } = occurrence;
    return {
        key: formatTaskKey({ job: entry.id, occurrence: number, step: stepIndex, index }),
        entry,
        occurrence,
        step,
        stepIndex,
        index,
        phase: "waiting",
        attempts: [],
        lastAttempt: 0,
        failedAttempts: [],
        crashedAttempts: [],
        doubtedAttempts: [],
        checkpoint: "",
        readyAtMilliseconds: 0,
        wasSeenRunning: false,
        avoidedWorkers: [],
    };
}

/** Lists all tasks of the open occurrences. */
export function listTasks(entry: JobEntry): Task[] {
    return [...entry.occurrences.values()].flatMap(({ steps }) => steps.flatMap(({ tasks }) => tasks));
}
