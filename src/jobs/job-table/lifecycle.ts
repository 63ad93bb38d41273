/**
 * Accepts, confirms, cancels and removes jobs, and opens scheduled occurrences.
 */
import { FINAL_STATES } from "../model/job.js";
import type { JobReference } from "../model/requests.js";
import { countOccurrences, createEndedEntry, createJobEntry, describeEnd, dueTime } from "./create.js";
import type { NewJob } from "./create.js";
import { dropJob, holdJob, listUndeferrable, undeferJob } from "./held-jobs.js";
import type { JobTable } from "./job-table.js";
import { endJob, openOccurrence } from "./progress.js";

/**
 * Adds a job; returns false if the job exists already. Its tasks do not start before `confirmJob`. A job that was cancelled
 * before its submission stays cancelled.
 */
export function acceptJob(table: JobTable, job: NewJob): boolean {
    const existing = table.jobs.get(job.id);
    if (existing?.isUnsubmitted === true) {
        existing.isUnsubmitted = false;
        endJob(table, existing, "cancelled", job.acceptedAtMilliseconds);
        return true;
    }
    if (existing !== undefined) {
        return false;
    }
    holdJob(table, createJobEntry(job, false));
    table.changes.accepted.push(job);
    return true;
}

/**
 * Removes a job that is not part of a commit yet; returns false if it is. Of a job that has been cancelled, the cancelling
 * remains.
 */
export function withdrawJob(table: JobTable, id: string): boolean {
    const index = table.changes.accepted.findIndex(job => job.id === id);
    const entry = table.jobs.get(id);
    if (index < 0 || entry?.isCommitted !== false) {
        return false;
    }
    table.changes.accepted.splice(index, 1);
    if (entry.state === "cancelled") {
        entry.isUnsubmitted = true;
        table.changes.ended = table.changes.ended.map(ended => ended.id === id ? describeEnd(entry) : ended);
    }
    else {
        dropJob(table, id);
    }
    return true;
}

/** Records the cancelling of an unknown job. A submission of it that arrives later does not run. */
export function recordCancelling(table: JobTable, { id, queue }: JobReference, now: number): void {
    const entry = createEndedEntry({ id, queue, state: "cancelled", endedAtMilliseconds: now }, false);
    entry.isUnsubmitted = true;
    holdJob(table, entry);
    endJob(table, entry, "cancelled", now);
}

/** Marks a job as committed to the ledger, which allows its tasks to start. */
export function confirmJob(table: JobTable, id: string, now: number): void {
    const entry = table.jobs.get(id);
    if (entry === undefined || entry.isCommitted) {
        return;
    }
    entry.isCommitted = true;
    if (entry.submission.schedule === undefined && !FINAL_STATES.has(entry.state)) {
        openOccurrence(table, entry, 0, now);
    }
}

/** Cancels a job; returns false if it does not exist or has ended. */
export function cancelJob(table: JobTable, id: string, now: number): boolean {
    const entry = table.jobs.get(id);
    if (entry === undefined || FINAL_STATES.has(entry.state)) {
        return false;
    }
    endJob(table, entry, "cancelled", now);
    return true;
}

/** Removes jobs that ended before the given time and have no attempts to be stopped. */
export function removeEndedJobs(table: JobTable, endedBefore: number): void {
    for (const entry of table.jobs.values()) {
        const isExpired = FINAL_STATES.has(entry.reportedState)
            && (entry.endedAtMilliseconds ?? Infinity) < endedBefore;
        if (isExpired && ![...table.attemptsToStop].some(({ task }) => task.entry === entry)) {
            dropJob(table, entry.id);
            table.changes.forgotten.push(entry.id);
        }
    }
}

/** Opens the tasks of inherited jobs as memory allows. */
export function openDeferredJobs(table: JobTable, now: number): void {
    for (const entry of listUndeferrable(table)) {
        undeferJob(table, entry);
        if (entry.submission.schedule === undefined && !FINAL_STATES.has(entry.state)) {
            openOccurrence(table, entry, 0, now);
        }
    }
}

/** Opens all occurrences that are due and returns the due time of the next one. */
export function openDueOccurrences(table: JobTable, now: number): number | undefined {
    let next: number | undefined;
    for (const entry of table.jobs.values()) {
        const { isCommitted, isDeferred, state, submission: { schedule } } = entry;
        if (schedule === undefined || !isCommitted || isDeferred || FINAL_STATES.has(state)) {
            continue;
        }
        const count = countOccurrences(entry);
        while (entry.nextOccurrence < count && dueTime(entry, entry.nextOccurrence) <= now) {
            openOccurrence(table, entry, entry.nextOccurrence, now);
            entry.nextOccurrence += 1;
        }
        if (entry.nextOccurrence < count) {
            next = Math.min(next ?? Infinity, dueTime(entry, entry.nextOccurrence));
        }
    }
    return next;
}
