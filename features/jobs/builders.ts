/**
 * Jobs, tasks and workers for scenarios on decisions.
 */
import assert from "node:assert/strict";
import { confirmStart, noteRunning, orderAttempt } from "../../src/jobs/board/attempts.js";
import { createBoard } from "../../src/jobs/board/board.js";
import type { Board } from "../../src/jobs/board/board.js";
import { acceptJob, confirmJob } from "../../src/jobs/board/intake.js";
import type { Attempt, Task } from "../../src/jobs/board/task.js";
import type { Queue } from "../../src/jobs/model/catalog.js";
import { JobStep } from "../../src/jobs/model/job.js";
import type { ListedWorker } from "../../src/jobs/model/worker.js";

/** The present time of all scenarios. */
export const NOW = 1_000_000;
/** Thousandths of a core. */
export const CORE = 1_000;
/** The queue of all jobs. */
export const QUEUE: Queue = {
    name: "checks",
    pool: "desk",
    priority: 0,
    maximumAttempts: 3,
    stretchFactor: 2,
    latencyObjectiveMilliseconds: 500,
    advisor: undefined,
};

/** A step of one task of one core and a second; the fields say what is different. */
export function describeStep(fields: Partial<JobStep> & { cores?: number; }): JobStep {
    const { cores = 1, ...others } = fields;
    return JobStep.parse({
        taskCount: 1,
        size: { millicores: cores * CORE, memoryMegabytes: 100, accelerators: 0 },
        estimateMilliseconds: 1_000,
        after: [],
        savesProgress: false,
        isGang: false,
        prefersOneRack: false,
        limitPerWorker: 0,
        allowsCopies: false,
        isLasting: false,
        image: "",
        latencyObjectiveMilliseconds: 0,
        isFiller: false,
        ...others,
    });
}

/** Empty books. */
export function openBoard(): Board {
    return createBoard({ epoch: 1, maximumAttempts: () => QUEUE.maximumAttempts });
}

/** A job of one task, accepted and confirmed; gives the task. */
export function addTask(board: Board, id: string, fields: Parameters<typeof describeStep>[0], at: number): Task {
    const submission = { payload: "", steps: [describeStep(fields)] };
    acceptJob(board, { id, queue: QUEUE.name, submission, acceptedAtMilliseconds: at });
    confirmJob(board, id, at);
    const task = board.jobs.get(id)?.occurrences.get(0)?.steps[0]?.tasks[0];
    assert.ok(task !== undefined);
    return task;
}

/** A worker as the platform lists it. */
export function describeWorker(id: string, cores: number): ListedWorker {
    return {
        id,
        pool: QUEUE.pool,
        origin: "http://127.0.0.1:1",
        dataCentre: "levi",
        labels: [],
        capacity: { millicores: cores * CORE, memoryMegabytes: 64_000, accelerators: 0 },
        isDraining: false,
        leavesInMilliseconds: undefined,
        incarnation: 1,
    };
}

/** A task's first attempt, seen to run. */
export function runTask(
    board: Board,
    task: Task,
    worker: string,
    startedAt: number,
    measure = 0,
    percent = 10,
): Attempt {
    const attempt = orderAttempt(board, task, worker, 1, startedAt);
    confirmStart(board, attempt, 1, startedAt);
    noteRunning(board, worker, { task: task.key, attempt: 1, checkpoint: "", percent, measure }, startedAt);
    return attempt;
}
