/**
 * The ready tasks of the steps, of which only the next ones to start are open.
 */
import { FINAL_STATES } from "../model/job.js";
import { openTask } from "./create.js";
import { stepProgressOf } from "./job-table.js";
import type { JobTable } from "./job-table.js";
import type { Occurrence, StepProgress } from "./job.js";
import type { Task } from "./task.js";

/** Ready tasks of a step that are open at the same time, if it has as many: more than a pass of the dispatcher starts. */
export const OPEN_READY_TASKS = 64;

/** Makes the tasks of a step ready. */
export function makeStepReady(table: JobTable, occurrence: Occurrence, progress: StepProgress, now: number): void {
    progress.readyAtMilliseconds ??= now;
    progress.openTasks.forEach(task => makeTaskReady(table, task, now));
    openReadyTasks(table, occurrence, progress);
}

/** Makes an open task ready, if it has no attempts and its job goes on. */
export function makeTaskReady(table: JobTable, task: Task, now: number): void {
    if (task.phase === "done" || task.attempts.length > 0 || FINAL_STATES.has(task.entry.state)) {
        return;
    }
    if (task.phase !== "ready") {
        task.phase = "ready";
        task.readyAtMilliseconds = now;
    }
    if (!table.readyTasks.has(task)) {
        table.readyTasks.add(task);
        stepProgressOf(task).readyCount += 1;
    }
}

/** Removes a task from the ready ones; the next task of its step takes its place. */
export function removeReadyTask(table: JobTable, task: Task): void {
    if (table.readyTasks.delete(task)) {
        const progress = stepProgressOf(task);
        progress.readyCount -= 1;
        openReadyTasks(table, task.occurrence, progress);
    }
}

/** Number of ready tasks of a step that are not open. */
export function countUnopenedTasks({ nextIndex, readyAtMilliseconds, step }: StepProgress): number {
    return readyAtMilliseconds === undefined ? 0 : step.taskCount - nextIndex;
}

function openReadyTasks(table: JobTable, occurrence: Occurrence, progress: StepProgress): void {
    const { readyAtMilliseconds, step } = progress;
    if (readyAtMilliseconds === undefined || FINAL_STATES.has(occurrence.entry.state)) {
        return;
    }
    const limit = step.isGang ? Infinity : OPEN_READY_TASKS;
    while (progress.readyCount < limit && progress.nextIndex < step.taskCount) {
        const task = openTask(occurrence, progress, progress.nextIndex);
        progress.nextIndex += 1;
        // A task with a history is ready already, or active.
        if (task?.phase === "waiting") {
            makeTaskReady(table, task, readyAtMilliseconds);
        }
    }
}
