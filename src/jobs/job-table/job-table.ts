/**
 * The books of a cell: its jobs, what runs where, what is ready to start, and which changes have to be committed.
 */
import { createChanges, isEmpty } from "../ledger/segment.js";
import type { Changes } from "../ledger/segment.js";
import { parseTaskKey } from "../model/task-key.js";
import type { TaskKey } from "../model/task-key.js";
import type { JobEntry, StepProgress } from "./job.js";
import { createOccupancy } from "./occupancy.js";
import type { Occupancy } from "./occupancy.js";
import type { Attempt, Task } from "./task.js";

/** What the books need to know from outside. */
export interface JobTableOptions {
    /** Epoch of the cell's owner. */
    readonly epoch: number;
    /** Failed attempts of a task after which a job of the queue has failed. */
    maximumAttempts(queue: string): number;
}

/** The books of a cell. The functions of this folder keep them. */
export interface JobTable extends JobTableOptions {
    readonly jobs: Map<string, JobEntry>;
    readonly occupancy: Occupancy;
    /** Tasks that may start as soon as there is room. */
    readonly readyTasks: Set<Task>;
    /** Attempts that have to be stopped. */
    readonly attemptsToStop: Set<Attempt>;
    /** Changes that have not been handed over to be committed. */
    changes: Changes;
}

/** Creates empty books. */
export function createJobTable(options: JobTableOptions): JobTable {
    return {
        ...options,
        jobs: new Map(),
        occupancy: createOccupancy(),
        readyTasks: new Set(),
        attemptsToStop: new Set(),
        changes: createChanges(),
    };
}

/** Finds a task of an occurrence that is open. */
export function findTask(table: JobTable, key: TaskKey): Task | undefined {
    const parts = parseTaskKey(key);
    if (parts === undefined) {
        return undefined;
    }
    const occurrence = table.jobs.get(parts.job)?.occurrences.get(parts.occurrence);
    return occurrence?.steps[parts.step]?.tasks[parts.index];
}

/** The step that a task is of. */
export function stepProgressOf({ key, occurrence, stepIndex }: Task): StepProgress {
    const progress = occurrence.steps[stepIndex];
    if (progress === undefined) {
        throw new RangeError(`task ${key} has no step`);
    }
    return progress;
}

/** Tasks that start and end together with a task: its gang, or just itself. */
export function gangMembersOf(task: Task): readonly Task[] {
    return task.step.isGang ? stepProgressOf(task).tasks : [task];
}

/** Hands over the changes to be committed. */
export function detachChanges(table: JobTable): Changes {
    const detached = table.changes;
    table.changes = createChanges();
    return detached;
}

/** A worker may run attempts from now on. */
export function recordWorkerUsed({ changes }: JobTable, id: string): void {
    changes.workersLeft = changes.workersLeft.filter(other => other !== id);
    changes.workersUsed.push(id);
}

/** Nothing runs on a worker any more. */
export function recordWorkerUnused({ changes }: JobTable, id: string): void {
    changes.workersUsed = changes.workersUsed.filter(other => other !== id);
    changes.workersLeft.push(id);
}

/** Puts changes back that were not committed, before those that have come since. */
export function restoreChanges(table: JobTable, detached: Changes): void {
    const later = table.changes;
    // Within one commit the order of the two lists is lost, so only what was noted last may be in it.
    const usedBefore = detached.workersUsed.filter(id => !later.workersLeft.includes(id));
    const unusedBefore = detached.workersLeft.filter(id => !later.workersUsed.includes(id));
    table.changes = isEmpty(later) ? detached : {
        accepted: [...detached.accepted, ...later.accepted],
        begun: [...detached.begun, ...later.begun],
        done: [...detached.done, ...later.done],
        failed: [...detached.failed, ...later.failed],
        checkpoints: [...detached.checkpoints, ...later.checkpoints],
        ended: [...detached.ended, ...later.ended],
        forgotten: [...detached.forgotten, ...later.forgotten],
        workersUsed: [...usedBefore, ...later.workersUsed],
        workersLeft: [...unusedBefore, ...later.workersLeft],
    };
}
