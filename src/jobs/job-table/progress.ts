/**
 * Moves tasks and jobs through their states: ready, done, ended.
 */
import { FINAL_STATES } from "../model/job.js";
import type { JobState } from "../model/job.js";
import { countOccurrences, createOccurrence, describeEnd, listOpenTasks } from "./create.js";
import { gangMembersOf, stepProgressOf } from "./job-table.js";
import type { JobTable } from "./job-table.js";
import type { JobEntry, Occurrence, StepProgress } from "./job.js";
import { makeStepReady, makeTaskReady, removeReadyTask } from "./ready.js";
import type { Task } from "./task.js";

/** Opens an occurrence and makes the tasks of its first steps ready. */
export function openOccurrence(table: JobTable, entry: JobEntry, number: number, now: number): void {
    if (entry.occurrences.has(number)) {
        return;
    }
    const occurrence = createOccurrence(entry, number);
    entry.occurrences.set(number, occurrence);
    occurrence.steps.filter(({ unfinishedDependencies: blockers }) => blockers === 0).forEach(step =>
        makeStepReady(table, occurrence, step, now)
    );
}

/** Makes a task ready if it has no attempts. A gang becomes ready once none of its members has attempts. */
export function requeueTask(table: JobTable, task: Task, now: number): void {
    const members = gangMembersOf(task);
    if (members.every(({ attempts }) => attempts.length === 0)) {
        members.forEach(member => makeTaskReady(table, member, now));
    }
}

/** Marks a task and the other members of its gang as done. */
export function finishTask(table: JobTable, task: Task, now: number): void {
    gangMembersOf(task).forEach(member => markDone(table, member, now));
}

/** Ends a job. Its tasks do not start any more, and its running attempts are marked to be stopped. */
export function endJob(table: JobTable, entry: JobEntry, state: JobState, now: number): void {
    entry.state = state;
    entry.endedAtMilliseconds = now;
    for (const task of listOpenTasks(entry)) {
        removeReadyTask(table, task);
        task.attempts.forEach(attempt => table.attemptsToStop.add(attempt));
        closeTask(task);
    }
    table.changes.ended.push(describeEnd(entry));
}

/** Marks a job as running when its first task has started. */
export function startJob(table: JobTable, entry: JobEntry): void {
    if (entry.state === "queued") {
        entry.state = "running";
        // Reported before the commit: a lost change from queued to running does no damage.
        if (entry.reportedState === "queued") {
            entry.reportedState = "running";
        }
        table.changes.begun.push(entry.id);
    }
}

/** Drops a task that will not be started any more, unless it has attempts whose end is not confirmed. */
export function closeTask(task: Task): void {
    if (task.attempts.length === 0 && (task.phase === "done" || FINAL_STATES.has(task.entry.state))) {
        stepProgressOf(task).openTasks.delete(task.index);
    }
}

function markDone(table: JobTable, task: Task, now: number): void {
    if (task.phase === "done") {
        return;
    }
    task.phase = "done";
    task.attempts.forEach(attempt => table.attemptsToStop.add(attempt));
    table.changes.done.push(task.key);
    const progress = stepProgressOf(task);
    progress.done.add(task.index);
    removeReadyTask(table, task);
    closeTask(task);
    if (progress.done.size === progress.step.taskCount) {
        completeStep(table, task.occurrence, progress, now);
    }
}

function completeStep(table: JobTable, occurrence: Occurrence, progress: StepProgress, now: number): void {
    const { entry, steps } = occurrence;
    occurrence.doneSteps += 1;
    for (const dependent of steps.filter(({ step }) => step.after.includes(progress.index))) {
        dependent.unfinishedDependencies -= 1;
        if (dependent.unfinishedDependencies === 0) {
            makeStepReady(table, occurrence, dependent, now);
        }
    }
    if (occurrence.doneSteps < steps.length) {
        return;
    }
    entry.completedOccurrences += 1;
    if (entry.completedOccurrences === countOccurrences(entry) && !FINAL_STATES.has(entry.state)) {
        endJob(table, entry, "completed", now);
    }
}
