/**
 * Keeps the memory of the jobs that an owner holds below its limit: refuses new jobs, defers inherited ones, and releases ended ones.
 */
import type { Submission } from "../model/job.js";
import { FINAL_STATES } from "../model/job.js";
import { ENTRY_BYTES, estimateFootprint } from "./footprint.js";
import type { JobTable } from "./job-table.js";
import type { JobEntry, Occurrence } from "./job.js";

/** Share of the limit above which ended jobs are released at once. */
const RELEASE_SHARE = 0.5;

const RELEASED_SUBMISSION: Submission = { payload: "", steps: [] };

/** Whether there is memory for another job besides the oldest deferred one, which new jobs would keep waiting for ever. */
export function hasRoomFor(table: JobTable, submission: Submission): boolean {
    const { definitionBytes, progressBytes } = estimateFootprint(submission);
    const [deferred] = table.deferredJobs;
    const isAwaited = deferred !== undefined && hasJobThatEnds(table);
    const awaitedBytes = isAwaited ? estimateFootprint(deferred.submission).progressBytes : 0;
    return table.heldBytes + awaitedBytes + definitionBytes + progressBytes <= table.heldBytesLimit;
}

/** Adds a job to the table, with its whole memory. */
export function holdJob(table: JobTable, entry: JobEntry): void {
    const { definitionBytes, progressBytes } = estimateFootprint(entry.submission);
    table.jobs.set(entry.id, entry);
    setHeldBytes(table, entry, definitionBytes + progressBytes);
}

/** Adds an inherited job without its tasks, which are opened as memory allows. */
export function deferJob(table: JobTable, entry: JobEntry): void {
    table.jobs.set(entry.id, entry);
    entry.isDeferred = true;
    table.deferredJobs.add(entry);
    setHeldBytes(table, entry, estimateFootprint(entry.submission).definitionBytes);
}

/** Counts a deferred job with its tasks from now on. */
export function undeferJob(table: JobTable, entry: JobEntry): void {
    if (table.deferredJobs.delete(entry)) {
        const { definitionBytes, progressBytes } = estimateFootprint(entry.submission);
        entry.isDeferred = false;
        setHeldBytes(table, entry, definitionBytes + progressBytes);
    }
}

/**
 * Lists deferred jobs for which there is memory by now, oldest first. One that is too large for it does not hold up the others. Where no
 * other job goes on that could give memory back, the oldest is opened beyond the limit.
 */
export function listUndeferrable(table: JobTable): JobEntry[] {
    let heldBytes = table.heldBytes;
    const undeferrable: JobEntry[] = [];
    for (const entry of table.deferredJobs) {
        const { progressBytes } = estimateFootprint(entry.submission);
        if (heldBytes + progressBytes <= table.heldBytesLimit) {
            heldBytes += progressBytes;
            undeferrable.push(entry);
        }
    }
    const [oldest] = table.deferredJobs;
    return undeferrable.length === 0 && oldest !== undefined && !hasJobThatEnds(table) ? [oldest] : undeferrable;
}

/** Whether a job goes on that gives its memory back at its end. Those that last or recur may go on without one. */
function hasJobThatEnds({ jobs }: JobTable): boolean {
    for (const { isDeferred, state, submission: { schedule, steps } } of jobs.values()) {
        const hasEnd = schedule === undefined && steps.every(({ isLasting }) => !isLasting);
        if (!isDeferred && !FINAL_STATES.has(state) && hasEnd) {
            return true;
        }
    }
    return false;
}

/** Removes a job from the table. */
export function dropJob(table: JobTable, id: string): void {
    const entry = table.jobs.get(id);
    if (entry !== undefined) {
        setHeldBytes(table, entry, 0);
        table.deferredJobs.delete(entry);
        table.jobs.delete(id);
    }
}

/**
 * Releases the definitions and occurrences of jobs that ended before the given time, or of all ended ones where memory is short. Attempts
 * that still have to be stopped keep theirs.
 */
export function releaseEndedJobs(table: JobTable, endedBefore: number): void {
    for (const entry of table.jobs.values()) {
        const isShort = table.heldBytes > table.heldBytesLimit * RELEASE_SHARE;
        const isDue = FINAL_STATES.has(entry.reportedState) && entry.submission !== RELEASED_SUBMISSION
            && (isShort || (entry.endedAtMilliseconds ?? Infinity) < endedBefore);
        if (isDue && [...entry.occurrences.values()].every(isClosed)) {
            entry.occurrences.clear();
            entry.submission = RELEASED_SUBMISSION;
            table.deferredJobs.delete(entry);
            setHeldBytes(table, entry, ENTRY_BYTES);
        }
    }
}

function isClosed({ steps }: Occurrence): boolean {
    return steps.every(({ openTasks }) => openTasks.size === 0);
}

function setHeldBytes(table: JobTable, entry: JobEntry, bytes: number): void {
    table.heldBytes += bytes - entry.heldBytes;
    entry.heldBytes = bytes;
}
