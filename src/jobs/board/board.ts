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
export interface BoardOptions {
    /** Epoch of the cell's owner. */
    readonly epoch: number;
    /** Failed attempts of a task after which a job of the queue has failed. */
    maximumAttempts(queue: string): number;
}

/** The books of a cell. The functions of this folder keep them. */
export interface Board extends BoardOptions {
    readonly jobs: Map<string, JobEntry>;
    readonly occupancy: Occupancy;
    /** Tasks that may start as soon as there is room. */
    readonly ready: Set<Task>;
    /** Attempts that have to be stopped. */
    readonly unwanted: Set<Attempt>;
    /** Changes that have not been handed over to be committed. */
    changes: Changes;
}

/** Creates empty books. */
export function createBoard(options: BoardOptions): Board {
    return {
        ...options,
        jobs: new Map(),
        occupancy: createOccupancy(),
        ready: new Set(),
        unwanted: new Set(),
        changes: createChanges(),
    };
}

/** Finds a task of an occurrence that is open. */
export function findTask(board: Board, key: TaskKey): Task | undefined {
    const place = parseTaskKey(key);
    if (place === undefined) {
        return undefined;
    }
    const occurrence = board.jobs.get(place.job)?.occurrences.get(place.occurrence);
    return occurrence?.steps[place.step]?.tasks[place.index];
}

/** The step that a task is of. */
export function progressOf({ key, occurrence, stepIndex }: Task): StepProgress {
    const progress = occurrence.steps[stepIndex];
    if (progress === undefined) {
        throw new RangeError(`task ${key} has no step`);
    }
    return progress;
}

/** Tasks that start and end together with a task: its gang, or just itself. */
export function companionsOf(task: Task): readonly Task[] {
    return task.step.isGang ? progressOf(task).tasks : [task];
}

/** Hands over the changes to be committed. */
export function takeChanges(board: Board): Changes {
    const taken = board.changes;
    board.changes = createChanges();
    return taken;
}

/** A worker may run attempts from now on. */
export function noteWorkerUsed({ changes }: Board, id: string): void {
    changes.workersLeft = changes.workersLeft.filter(other => other !== id);
    changes.workersUsed.push(id);
}

/** Nothing runs on a worker any more. */
export function noteWorkerLeft({ changes }: Board, id: string): void {
    changes.workersUsed = changes.workersUsed.filter(other => other !== id);
    changes.workersLeft.push(id);
}

/** Puts changes back that were not committed, before those that have come since. */
export function returnChanges(board: Board, taken: Changes): void {
    const later = board.changes;
    // Within one commit the order of the two lists is lost, so only what was noted last may be in it.
    const usedBefore = taken.workersUsed.filter(id => !later.workersLeft.includes(id));
    const leftBefore = taken.workersLeft.filter(id => !later.workersUsed.includes(id));
    board.changes = isEmpty(later) ? taken : {
        accepted: [...taken.accepted, ...later.accepted],
        begun: [...taken.begun, ...later.begun],
        done: [...taken.done, ...later.done],
        failed: [...taken.failed, ...later.failed],
        checkpoints: [...taken.checkpoints, ...later.checkpoints],
        ended: [...taken.ended, ...later.ended],
        forgotten: [...taken.forgotten, ...later.forgotten],
        workersUsed: [...usedBefore, ...later.workersUsed],
        workersLeft: [...leftBefore, ...later.workersLeft],
    };
}
