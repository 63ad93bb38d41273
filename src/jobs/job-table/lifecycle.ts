/**
 * Jobs come in, are confirmed, cancelled and forgotten.
 */
import { FINAL_STATES } from "../model/job.js";
import { countOccurrences, createJobEntry, dueTime } from "./create.js";
import type { NewJob } from "./create.js";
import type { JobTable } from "./job-table.js";
import { endJob, openOccurrence } from "./progress.js";

/** Takes a job in; false where the job is known already. Nothing of it starts before it is confirmed. */
export function acceptJob(table: JobTable, job: NewJob): boolean {
    if (table.jobs.has(job.id)) {
        return false;
    }
    table.jobs.set(job.id, createJobEntry(job, false));
    table.changes.accepted.push(job);
    return true;
}

/** Takes a job back that has not been handed over to be committed; false where it is too late for that. */
export function withdrawJob(table: JobTable, id: string): boolean {
    const index = table.changes.accepted.findIndex(job => job.id === id);
    if (index < 0 || table.jobs.get(id)?.isCommitted !== false) {
        return false;
    }
    table.changes.accepted.splice(index, 1);
    table.jobs.delete(id);
    return true;
}

/** The ledger holds the job: its tasks may start. */
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

/** Cancels a job; false where there is none, or it has ended. */
export function cancelJob(table: JobTable, id: string, now: number): boolean {
    const entry = table.jobs.get(id);
    if (entry === undefined || FINAL_STATES.has(entry.state)) {
        return false;
    }
    endJob(table, entry, "cancelled", now);
    return true;
}

/** Drops jobs that ended before a time and have nothing running. */
export function removeEndedJobs(table: JobTable, endedBefore: number): void {
    for (const entry of table.jobs.values()) {
        const isExpired = FINAL_STATES.has(entry.reportedState)
            && (entry.endedAtMilliseconds ?? Infinity) < endedBefore;
        if (isExpired && ![...table.attemptsToStop].some(({ task }) => task.entry === entry)) {
            table.jobs.delete(entry.id);
            table.changes.forgotten.push(entry.id);
        }
    }
}

/** Opens the occurrences whose time has come; gives the time of the next one. */
export function openDueOccurrences(table: JobTable, now: number): number | undefined {
    let next: number | undefined;
    for (const entry of table.jobs.values()) {
        if (entry.submission.schedule === undefined || !entry.isCommitted || FINAL_STATES.has(entry.state)) {
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
