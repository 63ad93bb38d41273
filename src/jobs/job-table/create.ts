/**
 * Creates job entries and the tasks of their occurrences.
 */
import type { Ended } from "../ledger/segment.js";
import { FINAL_STATES } from "../model/job.js";
import type { Submission } from "../model/job.js";
import { formatTaskKey } from "../model/task-key.js";
import { createIndexSet } from "./index-set.js";
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
        heldBytes: 0,
        isDeferred: false,
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

/** Creates an occurrence. None of its tasks is open or ready. */
export function createOccurrence(entry: JobEntry, number: number): Occurrence {
    const occurrence: Occurrence = {
        number,
        entry,
        dueAtMilliseconds: dueTime(entry, number),
        steps: [],
        doneSteps: 0,
        lastEndedAtMilliseconds: undefined,
    };
    entry.submission.steps.forEach((step, index) =>
        occurrence.steps.push({
            step,
            index,
            openTasks: new Map(),
            done: createIndexSet(step.taskCount),
            nextIndex: 0,
            readyCount: 0,
            readyAtMilliseconds: undefined,
            unfinishedDependencies: new Set(step.after).size,
            wasSeenRunning: false,
        })
    );
    return occurrence;
}

/** Finds an open task of a step, or opens it. One that is done, or whose job has ended, is not kept until it gets an attempt. */
export function openTask(occurrence: Occurrence, progress: StepProgress, index: number): Task | undefined {
    const open = progress.openTasks.get(index);
    if (open !== undefined || index >= progress.step.taskCount) {
        return open;
    }
    const task = createTask(occurrence, progress, index);
    if (task.phase !== "done" && !FINAL_STATES.has(occurrence.entry.state)) {
        progress.openTasks.set(index, task);
    }
    return task;
}

function createTask(occurrence: Occurrence, { done, step, index: stepIndex }: StepProgress, index: number): Task {
    const { entry, number } = occurrence;
    return {
        key: formatTaskKey({ job: entry.id, occurrence: number, step: stepIndex, index }),
        entry,
        occurrence,
        step,
        stepIndex,
        index,
        phase: done.has(index) ? "done" : "waiting",
        attempts: [],
        lastAttempt: 0,
        failedAttempts: [],
        crashedAttempts: [],
        doubtedAttempts: [],
        checkpoint: "",
        readyAtMilliseconds: 0,
        wasSeenRunning: false,
        gaveWayAtMilliseconds: undefined,
        avoidedWorkers: [],
    };
}

/** Lists the open tasks of a job. */
export function listOpenTasks(entry: JobEntry): Task[] {
    return [...entry.occurrences.values()].flatMap(({ steps }) =>
        steps.flatMap(({ openTasks }) => [...openTasks.values()])
    );
}
