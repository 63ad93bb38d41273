/**
 * Order in which ready tasks get room.
 *
 * The load that this answers: short jobs that people wait for, beside long batch work that fills the workers for seconds.
 */
import type { Task } from "../board/task.js";

/** What decides a task's turn. */
export interface TurnTerms {
    /** Priority of the task's queue; 0 comes first. */
    priority(task: Task): number;
}

/** Sorts ready tasks: by priority, lasting tasks first among equals, then the job that has waited longest. */
export function orderTasks(ready: Iterable<Task>, terms: TurnTerms): Task[] {
    return [...ready]
        .map(task => ({ task, priority: terms.priority(task) }))
        .sort((left, right) => left.priority - right.priority || compare(left.task, right.task))
        .map(({ task }) => task);
}

function compare(left: Task, right: Task): number {
    return Number(right.step.isLasting) - Number(left.step.isLasting)
        || left.occurrence.dueAtMilliseconds - right.occurrence.dueAtMilliseconds
        || left.stepIndex - right.stepIndex
        || left.index - right.index;
}
