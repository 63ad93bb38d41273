/**
 * Restores a job table from the ledger's segments, and exports it as a snapshot.
 */
import { createChanges } from "../ledger/segment.js";
import type { Changes, Ended, Segment } from "../ledger/segment.js";
import { FINAL_STATES } from "../model/job.js";
import { formatTaskKey } from "../model/task-key.js";
import { findOrOpenTask } from "./attempts.js";
import { createEndedEntry, createJobEntry, describeEnd, listOpenTasks } from "./create.js";
import type { NewJob } from "./create.js";
import { deferJob, dropJob, holdJob } from "./held-jobs.js";
import { createIndexSet } from "./index-set.js";
import type { JobTable } from "./job-table.js";
import type { JobEntry } from "./job.js";
import { openDeferredJobs } from "./lifecycle.js";
import { finishTask } from "./progress.js";
import { OPEN_READY_TASKS, removeReadyTask } from "./ready.js";
import type { Task } from "./task.js";

/** Applies a segment to the job table and updates the set of workers in use. */
export function replaySegment(table: JobTable, segment: Changes, workersInUse: Set<string>, now: number): void {
    segment.accepted.forEach(job => restoreJob(table, job));
    for (const id of segment.begun) {
        const entry = table.jobs.get(id);
        if (entry?.state === "queued") {
            entry.state = "running";
            entry.reportedState = "running";
        }
    }
    for (const key of segment.done) {
        const task = findOrOpenTask(table, key, now);
        // Older builds recorded lasting tasks as done.
        if (task !== undefined && !task.step.isLasting) {
            finishTask(table, task, now);
        }
    }
    segment.doneSets.forEach(doneSet => restoreDoneSet(table, doneSet, now));
    restoreAttempts(table, segment.failed, task => task.failedAttempts, now);
    restoreAttempts(table, segment.crashed, task => task.crashedAttempts, now);
    restoreAttempts(table, segment.doubted, task => task.doubtedAttempts, now);
    for (const [key, checkpoint] of segment.checkpoints) {
        const task = findOrOpenTask(table, key, now);
        if (task !== undefined) {
            task.checkpoint = checkpoint;
        }
    }
    segment.ended.forEach(ended => restoreEndedJob(table, ended));
    segment.forgotten.forEach(id => dropJob(table, id));
    segment.workersUsed.forEach(worker => workersInUse.add(worker));
    segment.lives.forEach(([worker, incarnation, leaseUntilMilliseconds]) =>
        table.lives.set(worker, { incarnation, leaseUntilMilliseconds })
    );
    segment.workersLeft.forEach(worker => {
        workersInUse.delete(worker);
        table.lives.delete(worker);
    });
    openDeferredJobs(table, now);
    // Changes that were read from the ledger are not committed again.
    table.changes = createChanges();
}

function restoreDoneSet(
    table: JobTable,
    [job, occurrence, step, formatted]: Segment["doneSets"][number],
    now: number,
): void {
    const taskCount = table.jobs.get(job)?.submission.steps[step]?.taskCount ?? 0;
    const done = createIndexSet(taskCount, formatted);
    for (let index = 0; index < taskCount; index++) {
        const task = done.has(index)
            ? findOrOpenTask(table, formatTaskKey({ job, occurrence, step, index }), now)
            : undefined;
        if (task !== undefined && !task.step.isLasting) {
            finishTask(table, task, now);
            // Changes that were read from the ledger are not committed again.
            table.changes.done = [];
        }
    }
}

/** Adds attempt numbers from the ledger to a list of their tasks. */
function restoreAttempts(
    table: JobTable,
    attempts: Segment["failed"],
    listOf: (task: Task) => number[],
    now: number,
): void {
    for (const [key, attempt] of attempts) {
        const task = findOrOpenTask(table, key, now);
        if (task !== undefined && !listOf(task).includes(attempt)) {
            listOf(task).push(attempt);
            task.lastAttempt = Math.max(task.lastAttempt, attempt);
        }
    }
}

/** Returns the job table as changes to an empty one, without the jobs that are accepted in a later commit or refused until then. */
export function createSnapshot(table: JobTable, workersInUse: ReadonlySet<string>): Changes {
    const snapshot = createChanges();
    const acceptedLater = new Set(table.changes.accepted.map(({ id }) => id));
    for (const entry of table.jobs.values()) {
        if (!acceptedLater.has(entry.id)) {
            addJobToSnapshot(entry, snapshot);
        }
    }
    snapshot.workersUsed.push(...workersInUse);
    table.lives.forEach(({ incarnation, leaseUntilMilliseconds }, worker) =>
        snapshot.lives.push([worker, incarnation, leaseUntilMilliseconds])
    );
    return snapshot;
}

function addJobToSnapshot(entry: JobEntry, snapshot: Changes): void {
    const { id, queue, state, submission, acceptedAtMilliseconds } = entry;
    if (FINAL_STATES.has(state)) {
        snapshot.ended.push(describeEnd(entry));
        return;
    }
    snapshot.accepted.push({ id, queue, submission, acceptedAtMilliseconds });
    if (state === "running") {
        snapshot.begun.push(id);
    }
    addDoneTasksToSnapshot(entry, snapshot);
    for (const task of listOpenTasks(entry)) {
        if (task.phase === "done") {
            continue;
        }
        task.failedAttempts.forEach(attempt => snapshot.failed.push([task.key, attempt]));
        task.crashedAttempts.forEach(attempt => snapshot.crashed.push([task.key, attempt]));
        task.doubtedAttempts.forEach(attempt => snapshot.doubted.push([task.key, attempt]));
        if (task.checkpoint !== "") {
            snapshot.checkpoints.push([task.key, task.checkpoint]);
        }
    }
}

function addDoneTasksToSnapshot({ id, occurrences }: JobEntry, snapshot: Changes): void {
    for (const { number, steps } of occurrences.values()) {
        for (const { done, index: step, step: { taskCount } } of steps) {
            // The keys of a small step stay in the format that older builds read.
            if (taskCount > OPEN_READY_TASKS && done.size > 0) {
                snapshot.doneSets.push([id, number, step, done.format()]);
                continue;
            }
            for (let index = 0; index < taskCount && done.size > 0; index++) {
                if (done.has(index)) {
                    snapshot.done.push(formatTaskKey({ job: id, occurrence: number, step, index }));
                }
            }
        }
    }
}

function restoreJob(table: JobTable, job: NewJob): void {
    if (table.jobs.has(job.id)) {
        return;
    }
    deferJob(table, createJobEntry(job, true));
}

function restoreEndedJob(table: JobTable, ended: Ended): void {
    const { id, state, endedAtMilliseconds, isUnsubmitted = false } = ended;
    const entry = table.jobs.get(id) ?? createEndedEntry(ended, true);
    if (!table.jobs.has(id)) {
        holdJob(table, entry);
    }
    table.deferredJobs.delete(entry);
    entry.isUnsubmitted = isUnsubmitted;
    entry.isCommitted = !isUnsubmitted;
    entry.state = state;
    entry.reportedState = state;
    entry.endedAtMilliseconds = endedAtMilliseconds;
    listOpenTasks(entry).forEach(task => removeReadyTask(table, task));
}
