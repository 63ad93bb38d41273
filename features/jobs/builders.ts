/**
 * Jobs, tasks and workers for scenarios on decisions.
 */
import assert from "node:assert/strict";
import { describeStep, POOL } from "../../bench/colocation/jobs.js";
import { addAttempt, confirmStart, recordRunningAttempt } from "../../src/jobs/job-table/attempts.js";
import { createJobTable, openAllTasks } from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob } from "../../src/jobs/job-table/lifecycle.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import type { Queue } from "../../src/jobs/model/catalog.js";

export { CORE, describeStep, describeWorker } from "../../bench/colocation/jobs.js";

/** The present time of all scenarios. */
export const NOW = 1_000_000;
/** The queue of all jobs. */
export const QUEUE: Queue = {
    name: "checks",
    pool: POOL,
    priority: 0,
    maximumAttempts: 3,
    stretchFactor: 2,
    latencyObjectiveMilliseconds: 500,
    advisor: undefined,
};

/** Creates the empty state of a cell. */
export function createEmptyJobTable(heldBytesLimit = Infinity): JobTable {
    return createJobTable({ epoch: 1, heldBytesLimit, maximumAttempts: () => QUEUE.maximumAttempts });
}

/** Lists the tasks of a step in a job's first occurrence. */
export function tasksOfStep(jobTable: JobTable, id: string, step = 0): Task[] {
    const occurrence = jobTable.jobs.get(id)?.occurrences.get(0);
    return occurrence === undefined ? [] : openAllTasks(occurrence, step);
}

/** Adds an accepted and confirmed job of one task; returns the task. */
export function addTask(jobTable: JobTable, id: string, fields: Parameters<typeof describeStep>[0], at: number): Task {
    const submission = { payload: "", steps: [describeStep(fields)] };
    acceptJob(jobTable, { id, queue: QUEUE.name, submission, acceptedAtMilliseconds: at });
    confirmJob(jobTable, id, at);
    const [task] = tasksOfStep(jobTable, id);
    assert.ok(task !== undefined);
    return task;
}

/** Starts a task's first attempt and reports it as running. */
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
