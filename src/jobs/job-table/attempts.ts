/**
 * Records the start, progress, end and loss of task attempts in the job table.
 */
import { FINAL_STATES } from "../model/job.js";
import { parseTaskKey } from "../model/task-key.js";
import type { TaskKey } from "../model/task-key.js";
import type { EndedAttempt, RunningAttempt } from "../model/worker.js";
import { isDeadly } from "../policy/crashes.js";
import type { CrashEvidence } from "../policy/crashes.js";
import { countOccurrences } from "./create.js";
import { undeferJob } from "./held-jobs.js";
import { findTask, gangMembersOf, stepProgressOf } from "./job-table.js";
import type { JobTable } from "./job-table.js";
import { closeTask, endJob, finishTask, openOccurrence, requeueTask, startJob } from "./progress.js";
import { removeReadyTask } from "./ready.js";
import type { Attempt, Task } from "./task.js";

/** Pace of an attempt at its start, until another one is ordered. */
export const FULL_PACE_PERCENT = 100;

/** Options of a new attempt. */
export interface AttemptOptions {
    /** Percentage of full speed that is ordered as soon as the start is confirmed. */
    readonly pacePercent?: number;
}

/** Creates an attempt that is not in any table yet. */
export function createAttempt(
    task: Task,
    worker: string,
    number: number,
    now: number,
    { pacePercent = FULL_PACE_PERCENT }: AttemptOptions = {},
): Attempt {
    return {
        task,
        number,
        worker,
        orderedAtMilliseconds: now,
        sentAtMilliseconds: undefined,
        unansweredStartAtMilliseconds: undefined,
        phase: "ordered",
        confirmedClockMilliseconds: undefined,
        unlistedSinceMilliseconds: undefined,
        runningSinceMilliseconds: undefined,
        checkpoint: task.checkpoint,
        percent: 0,
        percentAtStart: -1,
        progressedAtMilliseconds: now,
        measurement: 0,
        pacePercent,
        overObjectiveSinceMilliseconds: undefined,
        pacedAtMilliseconds: 0,
    };
}

/** Adds an attempt to the table and reserves capacity on the worker. Called before the start order is sent. */
export function registerAttempt(table: JobTable, attempt: Attempt): void {
    const { number, task } = attempt;
    task.lastAttempt = Math.max(task.lastAttempt, number);
    task.attempts.push(attempt);
    if (task.phase !== "done") {
        task.phase = "active";
    }
    // A task that is done, or whose job has ended, is kept only while it has attempts.
    stepProgressOf(task).openTasks.set(task.index, task);
    removeReadyTask(table, task);
    table.occupancy.add(attempt);
}

/** Creates an attempt and adds it to the table. */
export function addAttempt(
    table: JobTable,
    task: Task,
    worker: string,
    number: number,
    now: number,
    options: AttemptOptions = {},
): Attempt {
    const attempt = createAttempt(task, worker, number, now, options);
    registerAttempt(table, attempt);
    return attempt;
}

/** Records that the worker confirmed the start of an attempt. */
export function confirmStart(table: JobTable, attempt: Attempt, clockMilliseconds: number, now: number): void {
    attempt.confirmedClockMilliseconds = clockMilliseconds;
    recordStart(table, attempt, now);
}

/**
 * Updates an attempt that a worker reports as running. An attempt missing from the table is added; it is marked to be
 * stopped if its task is done or its job has ended.
 */
export function recordRunningAttempt(
    table: JobTable,
    worker: string,
    running: RunningAttempt,
    now: number,
): Attempt | undefined {
    const attempt = findAttemptOnWorker(table, worker, running) ?? adoptRunningAttempt(table, worker, running, now);
    if (attempt === undefined) {
        return undefined;
    }
    const { task } = attempt;
    recordStart(table, attempt, now);
    if (attempt.percentAtStart < 0) {
        attempt.percentAtStart = attempt.checkpoint === "" ? 0 : running.percent;
    }
    if (running.percent > attempt.percent) {
        attempt.progressedAtMilliseconds = now;
    }
    attempt.percent = running.percent;
    attempt.measurement = running.measurement;
    const { latencyObjectiveMilliseconds: objective } = task.step;
    attempt.overObjectiveSinceMilliseconds = objective > 0 && running.measurement >= objective
        ? attempt.overObjectiveSinceMilliseconds ?? now
        : undefined;
    if (running.checkpoint !== "") {
        attempt.checkpoint = running.checkpoint;
    }
    if (task.phase === "done" || FINAL_STATES.has(task.entry.state)) {
        table.attemptsToStop.add(attempt);
    }
    return attempt;
}

/**
 * Records how a worker reported an attempt to have ended. Returns the attempt if it was in the table. Repeated reports have
 * no effect.
 */
export function recordAttemptEnd(
    table: JobTable,
    worker: string,
    ended: EndedAttempt,
    now: number,
): Attempt | undefined {
    const task = findOrOpenTask(table, ended.task, now);
    if (task === undefined) {
        return undefined;
    }
    const attempt = findAttempt(task, worker, ended.attempt);
    if (attempt !== undefined) {
        removeAttempt(table, attempt);
    }
    task.occurrence.lastEndedAtMilliseconds = now;
    const isLatest = ended.attempt >= task.lastAttempt;
    task.lastAttempt = Math.max(task.lastAttempt, ended.attempt);
    if (FINAL_STATES.has(task.entry.state) || task.phase === "done") {
        return attempt;
    }
    startJob(table, task.entry);
    // A lasting task is never done: it is started again however its attempts end.
    if (ended.end === "done" && !task.step.isLasting) {
        finishTask(table, task, now);
        return attempt;
    }
    if (isLatest) {
        recordCheckpoint(table, task, ended.checkpoint);
    }
    if (ended.end === "failed") {
        recordFailure(table, task, worker, ended.attempt, now);
    }
    requeueTask(table, task, now);
    return attempt;
}

/** Removes an attempt that cannot be running any more but whose outcome is unknown, and requeues its task. */
export function recordLostAttempt(table: JobTable, attempt: Attempt, now: number): void {
    const { task } = attempt;
    removeAttempt(table, attempt);
    if (attempt.runningSinceMilliseconds !== undefined) {
        task.occurrence.lastEndedAtMilliseconds = now;
    }
    if (attempt.number >= task.lastAttempt) {
        recordCheckpoint(table, task, attempt.checkpoint);
    }
    task.avoidedWorkers.push(attempt.worker);
    requeueTask(table, task, now);
}

/** Counts a worker's crash against an attempt; returns whether its job is given up because of it. */
export function recordCrash(
    table: JobTable,
    { number, task }: Attempt,
    now: number,
    evidence: CrashEvidence = "certain",
): boolean {
    const { crashedAttempts, doubtedAttempts, entry, key, phase } = task;
    const isKnown = crashedAttempts.includes(number) || doubtedAttempts.includes(number);
    if (phase === "done" || FINAL_STATES.has(entry.state) || isKnown) {
        return false;
    }
    if (evidence === "certain") {
        crashedAttempts.push(number);
        table.changes.crashed.push([key, number]);
    }
    else {
        doubtedAttempts.push(number);
        table.changes.doubted.push([key, number]);
    }
    if (isDeadly(task)) {
        endJob(table, entry, "failed", now);
        return true;
    }
    return false;
}

/** Removes an attempt that certainly never started. It does not count as a failed attempt, and its task goes on waiting. */
export function withdrawAttempt(table: JobTable, attempt: Attempt): void {
    const { task } = attempt;
    removeAttempt(table, attempt);
    stopRun(table, attempt);
    requeueTask(table, task, task.readyAtMilliseconds);
}

/** Marks an attempt to be stopped, with those of its gang's other members, which would wait for it in vain. */
export function stopRun(table: JobTable, { number, task }: Attempt): void {
    for (const { attempts } of gangMembersOf(task)) {
        attempts.filter(attempt => attempt.number === number).forEach(attempt => table.attemptsToStop.add(attempt));
    }
}

function recordStart(table: JobTable, attempt: Attempt, now: number): void {
    if (attempt.phase === "ordered") {
        attempt.phase = "running";
    }
    attempt.runningSinceMilliseconds ??= now;
    startJob(table, attempt.task.entry);
}

/** Looks only at the worker's own attempts, which avoids parsing the task key in the common case. */
function findAttemptOnWorker(table: JobTable, worker: string, running: RunningAttempt): Attempt | undefined {
    return table.occupancy.load(worker).attempts.find(({ number, task }) =>
        number === running.attempt && task.key === running.task
    );
}

function adoptRunningAttempt(
    table: JobTable,
    worker: string,
    running: RunningAttempt,
    now: number,
): Attempt | undefined {
    const task = findOrOpenTask(table, running.task, now);
    if (task === undefined) {
        return undefined;
    }
    task.wasSeenRunning = true;
    // A copy may run on although another one is done.
    stepProgressOf(task).wasSeenRunning ||= task.phase !== "done" && !task.step.allowsCopies;
    return addAttempt(table, task, worker, running.attempt, now, { pacePercent: estimatePace(task, running) });
}

/** Estimates the pace that a former owner has ordered, from the cores in use; only fillers are slowed down. */
function estimatePace({ step }: Task, { measurement }: RunningAttempt): number {
    return step.isFiller && step.size.millicores > 0
        ? Math.min(FULL_PACE_PERCENT, Math.round(FULL_PACE_PERCENT * measurement / step.size.millicores))
        : FULL_PACE_PERCENT;
}

function findAttempt(task: Task, worker: string, number: number): Attempt | undefined {
    return task.attempts.find(attempt => attempt.number === number && attempt.worker === worker);
}

/** Finds a task named by the ledger or a worker. Opens its occurrence if this owner has not done so yet. */
export function findOrOpenTask(table: JobTable, key: TaskKey, now: number): Task | undefined {
    const parts = parseTaskKey(key);
    const entry = parts === undefined ? undefined : table.jobs.get(parts.job);
    if (parts === undefined || entry === undefined || parts.occurrence >= countOccurrences(entry)) {
        return undefined;
    }
    if (entry.isCommitted && !FINAL_STATES.has(entry.state)) {
        undeferJob(table, entry);
        openOccurrence(table, entry, parts.occurrence, now);
    }
    return findTask(table, key);
}

function removeAttempt(table: JobTable, attempt: Attempt): void {
    const { attempts } = attempt.task;
    const index = attempts.indexOf(attempt);
    if (index >= 0) {
        attempts.splice(index, 1);
    }
    table.attemptsToStop.delete(attempt);
    table.occupancy.remove(attempt);
    closeTask(attempt.task);
}

function recordCheckpoint(table: JobTable, task: Task, checkpoint: string): void {
    if (checkpoint === "" || checkpoint === task.checkpoint || task.phase === "done") {
        return;
    }
    for (const member of gangMembersOf(task)) {
        member.checkpoint = checkpoint;
        table.changes.checkpoints.push([member.key, checkpoint]);
    }
}

function recordFailure(table: JobTable, task: Task, worker: string, attempt: number, now: number): void {
    task.avoidedWorkers.push(worker);
    // The members of a gang fail together, so only the first member counts failed attempts.
    const countingTask = gangMembersOf(task)[0] ?? task;
    if (countingTask.failedAttempts.includes(attempt)) {
        return;
    }
    countingTask.failedAttempts.push(attempt);
    table.changes.failed.push([countingTask.key, attempt]);
    const isAttemptLimitReached = countingTask.failedAttempts.length >= table.maximumAttempts(task.entry.queue);
    if (isAttemptLimitReached && !task.step.isLasting) {
        endJob(table, task.entry, "failed", now);
    }
}
