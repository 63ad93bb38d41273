/**
 * The in-memory job state of a cell: jobs, attempts by worker, tasks ready to start, and changes to be committed.
 */
import { createChanges, isEmpty } from "../ledger/segment.js";
import type { Changes } from "../ledger/segment.js";
import { parseTaskKey } from "../model/task-key.js";
import type { TaskKey } from "../model/task-key.js";
import { openTask } from "./create.js";
import type { JobEntry, Occurrence, StepProgress } from "./job.js";
import { createOccupancy } from "./occupancy.js";
import type { Occupancy } from "./occupancy.js";
import type { Attempt, Task } from "./task.js";

/** A life of a worker, from one start to the next, as recorded in the ledger. */
export interface WorkerLife {
    readonly incarnation: number;
    /** Latest end of leases that it may hold from orders to the life before it, on its clock; 0 if there were none. */
    readonly leaseUntilMilliseconds: number;
}

/** Options of a job table. */
export interface JobTableOptions {
    /** Epoch of the cell's owner. */
    readonly epoch: number;
    /** Memory that the jobs may take, in bytes as counted by `footprint.ts`. */
    readonly heldBytesLimit: number;
    /** Number of failed attempts of a task after which its job fails, by queue. */
    maximumAttempts(queue: string): number;
}

/** The job state of a cell, modified by the functions in this folder. */
export interface JobTable extends JobTableOptions {
    readonly jobs: Map<string, JobEntry>;
    /** Memory that the jobs are counted with, in bytes. */
    heldBytes: number;
    /** Jobs whose tasks are opened once there is memory for them, oldest first. */
    readonly deferredJobs: Set<JobEntry>;
    readonly occupancy: Occupancy;
    /**
     * Tasks that can start as soon as a worker has free capacity: of each step those with a history, and the next ones of the others. They
     * are added and removed by the functions of `ready.ts`.
     */
    readonly readyTasks: Set<Task>;
    /** Last known lives of the workers. */
    readonly lives: Map<string, WorkerLife>;
    /** Attempts that have to be stopped. */
    readonly attemptsToStop: Set<Attempt>;
    /** Changes that are not part of a commit yet. */
    changes: Changes;
}

/** Creates an empty job table. */
export function createJobTable(options: JobTableOptions): JobTable {
    return {
        ...options,
        jobs: new Map(),
        heldBytes: 0,
        deferredJobs: new Set(),
        occupancy: createOccupancy(),
        readyTasks: new Set(),
        lives: new Map(),
        attemptsToStop: new Set(),
        changes: createChanges(),
    };
}

/** Finds a task by key; `undefined` if its occurrence is not open. */
export function findTask(table: JobTable, key: TaskKey): Task | undefined {
    const parts = parseTaskKey(key);
    if (parts === undefined) {
        return undefined;
    }
    const occurrence = table.jobs.get(parts.job)?.occurrences.get(parts.occurrence);
    const progress = occurrence?.steps[parts.step];
    return occurrence === undefined || progress === undefined
        ? undefined
        : openTask(occurrence, progress, parts.index);
}

/** Returns the progress of the step that a task belongs to. */
export function stepProgressOf({ key, occurrence, stepIndex }: Task): StepProgress {
    const progress = occurrence.steps[stepIndex];
    if (progress === undefined) {
        throw new RangeError(`task ${key} has no step`);
    }
    return progress;
}

/** Returns all tasks of a step, and opens those that are not done. */
export function openAllTasks(occurrence: Occurrence, stepIndex: number): Task[] {
    const progress = occurrence.steps[stepIndex];
    const tasks: Task[] = [];
    for (let index = 0; progress !== undefined && index < progress.step.taskCount; index++) {
        const task = openTask(occurrence, progress, index);
        if (task !== undefined) {
            tasks.push(task);
        }
    }
    return tasks;
}

/** Returns all tasks of the task's gang, or only the task itself if its step is not a gang. */
export function gangMembersOf(task: Task): readonly Task[] {
    return task.step.isGang ? openAllTasks(task.occurrence, task.stepIndex) : [task];
}

/** Returns the uncommitted changes and replaces them by an empty set. */
export function detachChanges(table: JobTable): Changes {
    const detached = table.changes;
    table.changes = createChanges();
    return detached;
}

/** Records that a worker may run attempts. */
export function recordWorkerUsed({ changes }: JobTable, id: string): void {
    changes.workersLeft = changes.workersLeft.filter(other => other !== id);
    changes.workersUsed.push(id);
}

/** Records a life of a worker for later owners; returns whether that is news to them. */
export function recordLife({ changes, lives }: JobTable, id: string, life: WorkerLife): boolean {
    const { incarnation, leaseUntilMilliseconds } = life;
    const known = lives.get(id);
    if (known?.incarnation === incarnation && known.leaseUntilMilliseconds >= leaseUntilMilliseconds) {
        return false;
    }
    lives.set(id, life);
    changes.lives.push([id, incarnation, leaseUntilMilliseconds]);
    return true;
}

/** Records that no attempt runs on a worker any more. */
export function recordWorkerUnused({ changes, lives }: JobTable, id: string): void {
    lives.delete(id);
    changes.workersUsed = changes.workersUsed.filter(other => other !== id);
    changes.workersLeft.push(id);
}

/** Puts back changes whose commit failed, ahead of the changes made since then. */
export function restoreChanges(table: JobTable, detached: Changes): void {
    const later = table.changes;
    // A commit keeps no order between the two lists, so each worker is listed only with its latest change.
    const usedBefore = detached.workersUsed.filter(id => !later.workersLeft.includes(id));
    const unusedBefore = detached.workersLeft.filter(id => !later.workersUsed.includes(id));
    table.changes = isEmpty(later) ? detached : {
        accepted: [...detached.accepted, ...later.accepted],
        begun: [...detached.begun, ...later.begun],
        done: [...detached.done, ...later.done],
        doneSets: [...detached.doneSets, ...later.doneSets],
        failed: [...detached.failed, ...later.failed],
        crashed: [...detached.crashed, ...later.crashed],
        doubted: [...detached.doubted, ...later.doubted],
        checkpoints: [...detached.checkpoints, ...later.checkpoints],
        ended: [...detached.ended, ...later.ended],
        forgotten: [...detached.forgotten, ...later.forgotten],
        workersUsed: [...usedBefore, ...later.workersUsed],
        lives: [...detached.lives, ...later.lives],
        workersLeft: [...unusedBefore, ...later.workersLeft],
    };
}
