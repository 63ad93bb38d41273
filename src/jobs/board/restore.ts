/**
 * Books as a predecessor left them, from the ledger's segments; and the books as a snapshot.
 */
import { createChanges } from "../ledger/segment.js";
import type { Changes } from "../ledger/segment.js";
import { FINAL_STATES } from "../model/job.js";
import type { JobState } from "../model/job.js";
import { findOrOpenTask } from "./attempts.js";
import type { Board } from "./board.js";
import { createJobEntry, listTasks } from "./create.js";
import type { NewJob } from "./create.js";
import type { JobEntry } from "./job.js";
import { finishTask, openOccurrence } from "./progress.js";

/** Plays a segment into books; workers in use are kept in the set. */
export function replaySegment(board: Board, segment: Changes, workersInUse: Set<string>, now: number): void {
    segment.accepted.forEach(job => restoreJob(board, job, now));
    for (const id of segment.begun) {
        const entry = board.jobs.get(id);
        if (entry?.state === "queued") {
            entry.state = "running";
            entry.shownState = "running";
        }
    }
    for (const key of segment.done) {
        const task = findOrOpenTask(board, key, now);
        if (task !== undefined) {
            finishTask(board, task, now);
        }
    }
    for (const [key, attempt] of segment.failed) {
        const task = findOrOpenTask(board, key, now);
        if (task !== undefined && !task.failedAttempts.includes(attempt)) {
            task.failedAttempts.push(attempt);
            task.lastAttempt = Math.max(task.lastAttempt, attempt);
        }
    }
    for (const [key, checkpoint] of segment.checkpoints) {
        const task = findOrOpenTask(board, key, now);
        if (task !== undefined) {
            task.checkpoint = checkpoint;
        }
    }
    segment.ended.forEach(ended => restoreEnd(board, ended));
    segment.forgotten.forEach(id => board.jobs.delete(id));
    segment.workersUsed.forEach(worker => workersInUse.add(worker));
    segment.workersLeft.forEach(worker => workersInUse.delete(worker));
    // What has been read from the ledger need not be written again.
    board.changes = createChanges();
}

/** The whole of the books, as changes to empty ones. */
export function describeBoard(board: Board, workersInUse: ReadonlySet<string>): Changes {
    const whole = createChanges();
    for (const entry of board.jobs.values()) {
        describeJob(entry, whole);
    }
    whole.workersUsed.push(...workersInUse);
    return whole;
}

function describeJob(entry: JobEntry, whole: Changes): void {
    const { id, queue, state, submission, acceptedAtMilliseconds, endedAtMilliseconds = 0 } = entry;
    if (FINAL_STATES.has(state)) {
        whole.ended.push({ id, queue, state, endedAtMilliseconds });
        return;
    }
    whole.accepted.push({ id, queue, submission, acceptedAtMilliseconds });
    if (state === "running") {
        whole.begun.push(id);
    }
    for (const task of listTasks(entry)) {
        if (task.phase === "done") {
            whole.done.push(task.key);
            continue;
        }
        task.failedAttempts.forEach(attempt => whole.failed.push([task.key, attempt]));
        if (task.checkpoint !== "") {
            whole.checkpoints.push([task.key, task.checkpoint]);
        }
    }
}

function restoreJob(board: Board, job: NewJob, now: number): void {
    if (board.jobs.has(job.id)) {
        return;
    }
    const entry = createJobEntry(job, true);
    board.jobs.set(job.id, entry);
    if (job.submission.schedule === undefined) {
        openOccurrence(board, entry, 0, now);
    }
}

function restoreEnd(
    board: Board,
    { id, queue, state, endedAtMilliseconds }: {
        id: string;
        queue: string;
        state: JobState;
        endedAtMilliseconds: number;
    },
): void {
    const submission = { payload: "", steps: [] };
    const entry = board.jobs.get(id)
        ?? createJobEntry({ id, queue, submission, acceptedAtMilliseconds: endedAtMilliseconds }, true);
    board.jobs.set(id, entry);
    entry.state = state;
    entry.shownState = state;
    entry.endedAtMilliseconds = endedAtMilliseconds;
    listTasks(entry).forEach(task => board.ready.delete(task));
}
