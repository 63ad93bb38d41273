/**
 * Attempts of tasks: ordered, seen to run, ended, lost.
 */
import { FINAL_STATES } from "../model/job.js";
import { parseTaskKey } from "../model/task-key.js";
import type { TaskKey } from "../model/task-key.js";
import type { EndedAttempt, RunningAttempt } from "../model/worker.js";
import { companionsOf, findTask } from "./board.js";
import type { Board } from "./board.js";
import { countOccurrences } from "./create.js";
import { beginJob, endJob, finishTask, openOccurrence, requeueTask } from "./progress.js";
import type { Attempt, Task } from "./task.js";

/** Books an attempt on a worker, before its order is sent. */
export function orderAttempt(board: Board, task: Task, worker: string, number: number, now: number): Attempt {
    const attempt: Attempt = {
        task,
        number,
        worker,
        orderedAtMilliseconds: now,
        phase: "ordered",
        confirmedClockMilliseconds: undefined,
        runningSinceMilliseconds: undefined,
        checkpoint: task.checkpoint,
        percent: 0,
        percentAtStart: -1,
        progressedAtMilliseconds: now,
        measure: 0,
        pacePercent: 100,
        overObjectiveSinceMilliseconds: undefined,
        pacedAtMilliseconds: 0,
    };
    task.lastAttempt = Math.max(task.lastAttempt, number);
    task.attempts.push(attempt);
    if (task.phase !== "done") {
        task.phase = "active";
    }
    board.ready.delete(task);
    board.occupancy.add(attempt);
    return attempt;
}

/** The worker confirmed a start. */
export function confirmStart(board: Board, attempt: Attempt, clockMilliseconds: number, now: number): void {
    attempt.confirmedClockMilliseconds = clockMilliseconds;
    noteWork(board, attempt, now);
}

/** The worker lists an attempt as running. An attempt that nobody knew of is booked, and unwanted where its task is over. */
export function noteRunning(board: Board, worker: string, running: RunningAttempt, now: number): Attempt | undefined {
    const attempt = findBooked(board, worker, running) ?? adoptRunning(board, worker, running, now);
    if (attempt === undefined) {
        return undefined;
    }
    const { task } = attempt;
    noteWork(board, attempt, now);
    if (attempt.percentAtStart < 0) {
        attempt.percentAtStart = attempt.checkpoint === "" ? 0 : running.percent;
    }
    if (running.percent > attempt.percent) {
        attempt.progressedAtMilliseconds = now;
    }
    attempt.percent = running.percent;
    attempt.measure = running.measure;
    const { latencyObjectiveMilliseconds: objective } = task.step;
    attempt.overObjectiveSinceMilliseconds = objective > 0 && running.measure >= objective
        ? attempt.overObjectiveSinceMilliseconds ?? now
        : undefined;
    if (running.checkpoint !== "") {
        attempt.checkpoint = running.checkpoint;
    }
    if (task.phase === "done" || FINAL_STATES.has(task.entry.state)) {
        board.unwanted.add(attempt);
    }
    return attempt;
}

/** The worker says how an attempt ended; gives the attempt where it was booked. Ends that are listed again change nothing. */
export function noteEnd(board: Board, worker: string, ended: EndedAttempt, now: number): Attempt | undefined {
    const task = findOrOpenTask(board, ended.task, now);
    if (task === undefined) {
        return undefined;
    }
    const attempt = findAttempt(task, worker, ended.attempt);
    if (attempt !== undefined) {
        removeAttempt(board, attempt);
    }
    const isLatest = ended.attempt >= task.lastAttempt;
    task.lastAttempt = Math.max(task.lastAttempt, ended.attempt);
    if (FINAL_STATES.has(task.entry.state) || task.phase === "done") {
        return attempt;
    }
    beginJob(board, task.entry);
    if (ended.end === "done") {
        finishTask(board, task, now);
        return attempt;
    }
    if (isLatest) {
        keepCheckpoint(board, task, ended.checkpoint);
    }
    if (ended.end === "failed") {
        noteFailure(board, task, worker, ended.attempt, now);
    }
    requeueTask(board, task, now);
    return attempt;
}

/** An attempt certainly does not run and never will, but nobody knows how it ended. */
export function loseAttempt(board: Board, attempt: Attempt, now: number): void {
    const { task } = attempt;
    removeAttempt(board, attempt);
    if (attempt.number >= task.lastAttempt) {
        keepCheckpoint(board, task, attempt.checkpoint);
    }
    task.avoidedWorkers.push(attempt.worker);
    requeueTask(board, task, now);
}

/** An attempt was refused before it began: it does not count. */
export function withdrawAttempt(board: Board, attempt: Attempt, now: number): void {
    removeAttempt(board, attempt);
    requeueTask(board, attempt.task, now);
}

function noteWork(board: Board, attempt: Attempt, now: number): void {
    if (attempt.phase === "ordered") {
        attempt.phase = "running";
    }
    attempt.runningSinceMilliseconds ??= now;
    beginJob(board, attempt.task.entry);
}

/** Nearly all that a worker lists is booked there already; this saves reading the task's name. */
function findBooked(board: Board, worker: string, running: RunningAttempt): Attempt | undefined {
    return board.occupancy.load(worker).attempts.find(({ number, task }) =>
        number === running.attempt && task.key === running.task
    );
}

function adoptRunning(board: Board, worker: string, running: RunningAttempt, now: number): Attempt | undefined {
    const task = findOrOpenTask(board, running.task, now);
    return task === undefined ? undefined : orderAttempt(board, task, worker, running.attempt, now);
}

function findAttempt(task: Task, worker: string, number: number): Attempt | undefined {
    return task.attempts.find(attempt => attempt.number === number && attempt.worker === worker);
}

/** Finds a task that the ledger or a worker names, though the time of its occurrence may not have been seen to come. */
export function findOrOpenTask(board: Board, key: TaskKey, now: number): Task | undefined {
    const place = parseTaskKey(key);
    const entry = place === undefined ? undefined : board.jobs.get(place.job);
    if (place === undefined || entry === undefined || place.occurrence >= countOccurrences(entry)) {
        return undefined;
    }
    if (entry.isCommitted && !FINAL_STATES.has(entry.state)) {
        openOccurrence(board, entry, place.occurrence, now);
    }
    return findTask(board, key);
}

function removeAttempt(board: Board, attempt: Attempt): void {
    const { attempts } = attempt.task;
    const at = attempts.indexOf(attempt);
    if (at >= 0) {
        attempts.splice(at, 1);
    }
    board.unwanted.delete(attempt);
    board.occupancy.remove(attempt);
}

function keepCheckpoint(board: Board, task: Task, checkpoint: string): void {
    if (checkpoint === "" || checkpoint === task.checkpoint || task.phase === "done") {
        return;
    }
    for (const member of companionsOf(task)) {
        member.checkpoint = checkpoint;
        board.changes.checkpoints.push([member.key, checkpoint]);
    }
}

function noteFailure(board: Board, task: Task, worker: string, attempt: number, now: number): void {
    task.avoidedWorkers.push(worker);
    // A gang fails as one, so its first member keeps the count.
    const counted = companionsOf(task)[0] ?? task;
    if (counted.failedAttempts.includes(attempt)) {
        return;
    }
    counted.failedAttempts.push(attempt);
    board.changes.failed.push([counted.key, attempt]);
    const isHopeless = counted.failedAttempts.length >= board.maximumAttempts(task.entry.queue);
    if (isHopeless && !task.step.isLasting) {
        endJob(board, task.entry, "failed", now);
    }
}
