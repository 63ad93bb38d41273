/**
 * Jobs come in, are confirmed, cancelled and forgotten.
 */
import { FINAL_STATES } from "../model/job.js";
import type { Board } from "./board.js";
import { countOccurrences, createJobEntry, dueTime } from "./create.js";
import type { NewJob } from "./create.js";
import { endJob, openOccurrence } from "./progress.js";

/** Takes a job in; false where the job is known already. Nothing of it starts before it is confirmed. */
export function acceptJob(board: Board, job: NewJob): boolean {
    if (board.jobs.has(job.id)) {
        return false;
    }
    board.jobs.set(job.id, createJobEntry(job, false));
    board.changes.accepted.push(job);
    return true;
}

/** Takes a job back that has not been handed over to be committed; false where it is too late for that. */
export function withdrawJob(board: Board, id: string): boolean {
    const at = board.changes.accepted.findIndex(job => job.id === id);
    if (at < 0 || board.jobs.get(id)?.isCommitted !== false) {
        return false;
    }
    board.changes.accepted.splice(at, 1);
    board.jobs.delete(id);
    return true;
}

/** The ledger holds the job: its tasks may start. */
export function confirmJob(board: Board, id: string, now: number): void {
    const entry = board.jobs.get(id);
    if (entry === undefined || entry.isCommitted) {
        return;
    }
    entry.isCommitted = true;
    if (entry.submission.schedule === undefined && !FINAL_STATES.has(entry.state)) {
        openOccurrence(board, entry, 0, now);
    }
}

/** Cancels a job; false where there is none, or it has ended. */
export function cancelJob(board: Board, id: string, now: number): boolean {
    const entry = board.jobs.get(id);
    if (entry === undefined || FINAL_STATES.has(entry.state)) {
        return false;
    }
    endJob(board, entry, "cancelled", now);
    return true;
}

/** Drops jobs that ended before a time and have nothing running. */
export function forgetEndedJobs(board: Board, endedBefore: number): void {
    for (const entry of board.jobs.values()) {
        const isOver = FINAL_STATES.has(entry.shownState) && (entry.endedAtMilliseconds ?? Infinity) < endedBefore;
        if (isOver && ![...board.unwanted].some(({ task }) => task.entry === entry)) {
            board.jobs.delete(entry.id);
            board.changes.forgotten.push(entry.id);
        }
    }
}

/** Opens the occurrences whose time has come; gives the time of the next one. */
export function openDueOccurrences(board: Board, now: number): number | undefined {
    let next: number | undefined;
    for (const entry of board.jobs.values()) {
        if (entry.submission.schedule === undefined || !entry.isCommitted || FINAL_STATES.has(entry.state)) {
            continue;
        }
        const count = countOccurrences(entry);
        while (entry.nextOccurrence < count && dueTime(entry, entry.nextOccurrence) <= now) {
            openOccurrence(board, entry, entry.nextOccurrence, now);
            entry.nextOccurrence += 1;
        }
        if (entry.nextOccurrence < count) {
            next = Math.min(next ?? Infinity, dueTime(entry, entry.nextOccurrence));
        }
    }
    return next;
}
