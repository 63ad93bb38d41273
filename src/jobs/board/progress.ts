/**
 * Progress of jobs: tasks become ready, done, or are given up with their job.
 */
import { FINAL_STATES } from "../model/job.js";
import type { JobState } from "../model/job.js";
import { companionsOf, progressOf } from "./board.js";
import type { Board } from "./board.js";
import { countOccurrences, createOccurrence, listTasks } from "./create.js";
import type { JobEntry, Occurrence, StepProgress } from "./job.js";
import type { Task } from "./task.js";

/** Opens an occurrence: tasks of its first steps become ready. */
export function openOccurrence(board: Board, entry: JobEntry, number: number, now: number): void {
    if (entry.occurrences.has(number)) {
        return;
    }
    const occurrence = createOccurrence(entry, number);
    entry.occurrences.set(number, occurrence);
    occurrence.steps.filter(({ blockers }) => blockers === 0).forEach(step => openStep(board, step, now));
}

/** Makes a task ready where nothing of it runs; a gang once nothing of all its members runs. */
export function requeueTask(board: Board, task: Task, now: number): void {
    const members = companionsOf(task);
    if (members.every(({ attempts }) => attempts.length === 0)) {
        members.forEach(member => setReady(board, member, now));
    }
}

/** A task and those that end with it are done. */
export function finishTask(board: Board, task: Task, now: number): void {
    companionsOf(task).forEach(member => markDone(board, member, now));
}

/** Ends a job: nothing of it starts any more, and what runs has to be stopped. */
export function endJob(board: Board, entry: JobEntry, state: JobState, now: number): void {
    entry.state = state;
    entry.endedAtMilliseconds = now;
    for (const task of listTasks(entry)) {
        board.ready.delete(task);
        task.attempts.forEach(attempt => board.unwanted.add(attempt));
    }
    board.changes.ended.push({ id: entry.id, queue: entry.queue, state, endedAtMilliseconds: now });
}

/** A first task of the job has started. */
export function beginJob(board: Board, entry: JobEntry): void {
    if (entry.state === "queued") {
        entry.state = "running";
        // Callers may be told before it is committed: no promise hangs on it.
        if (entry.shownState === "queued") {
            entry.shownState = "running";
        }
        board.changes.begun.push(entry.id);
    }
}

function openStep(board: Board, progress: StepProgress, now: number): void {
    progress.tasks.forEach(task => setReady(board, task, now));
}

function setReady(board: Board, task: Task, now: number): void {
    if (task.phase === "done" || task.attempts.length > 0 || FINAL_STATES.has(task.entry.state)) {
        return;
    }
    if (task.phase !== "ready") {
        task.phase = "ready";
        task.readyAtMilliseconds = now;
    }
    board.ready.add(task);
}

function markDone(board: Board, task: Task, now: number): void {
    if (task.phase === "done") {
        return;
    }
    task.phase = "done";
    board.ready.delete(task);
    task.attempts.forEach(attempt => board.unwanted.add(attempt));
    board.changes.done.push(task.key);
    const progress = progressOf(task);
    progress.doneCount += 1;
    if (progress.doneCount === progress.tasks.length) {
        completeStep(board, task.occurrence, progress, now);
    }
}

function completeStep(board: Board, occurrence: Occurrence, progress: StepProgress, now: number): void {
    const { entry, steps } = occurrence;
    occurrence.doneSteps += 1;
    for (const later of steps.filter(({ step }) => step.after.includes(progress.index))) {
        later.blockers -= 1;
        if (later.blockers === 0) {
            openStep(board, later, now);
        }
    }
    if (occurrence.doneSteps < steps.length) {
        return;
    }
    entry.completedOccurrences += 1;
    if (entry.completedOccurrences === countOccurrences(entry) && !FINAL_STATES.has(entry.state)) {
        endJob(board, entry, "completed", now);
    }
}
