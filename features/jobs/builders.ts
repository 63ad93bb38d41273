/**
 * Jobs, tasks and workers for scenarios on decisions.
 */
import assert from "node:assert/strict";
import { addAttempt, confirmStart, recordRunningAttempt } from "../../src/jobs/job-table/attempts.js";
import { createJobTable } from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob } from "../../src/jobs/job-table/lifecycle.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
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
export function createEmptyJobTable(): JobTable {
    return createJobTable({ epoch: 1, maximumAttempts: () => QUEUE.maximumAttempts });
}

/** A job of one task, accepted and confirmed; gives the task. */
export function addTask(jobTable: JobTable, id: string, fields: Parameters<typeof describeStep>[0], at: number): Task {
    const submission = { payload: "", steps: [describeStep(fields)] };
    acceptJob(jobTable, { id, queue: QUEUE.name, submission, acceptedAtMilliseconds: at });
    confirmJob(jobTable, id, at);
    const task = jobTable.jobs.get(id)?.occurrences.get(0)?.steps[0]?.tasks[0];
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
    jobTable: JobTable,
    task: Task,
    worker: string,
    startedAt: number,
    measure = 0,
    percent = 10,
): Attempt {
    const attempt = addAttempt(jobTable, task, worker, 1, startedAt);
    confirmStart(jobTable, attempt, 1, startedAt);
    recordRunningAttempt(jobTable, worker, {
        task: task.key,
        attempt: 1,
        checkpoint: "",
        percent,
        measurement: measure,
    }, startedAt);
    return attempt;
}
