/**
 * Steps for lasting tasks whose runs end.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { addAttempt, confirmStart, recordAttemptEnd } from "../../src/jobs/job-table/attempts.js";
import { detachChanges } from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob } from "../../src/jobs/job-table/lifecycle.js";
import { createSnapshot, replaySegment } from "../../src/jobs/job-table/restore.js";
import type { Task } from "../../src/jobs/job-table/task.js";
import { createChanges } from "../../src/jobs/ledger/segment.js";
import type { Changes } from "../../src/jobs/ledger/segment.js";
import type { AttemptEnd } from "../../src/jobs/model/worker.js";
import { createEmptyJobTable, describeStep, NOW, QUEUE, tasksOfStep } from "./builders.js";
import { byTask, runsOf, submit, waitUntil } from "./world.js";
import type { PathWorld } from "./world.js";

interface LastingWorld extends PathWorld {
    jobTable: JobTable;
    /** Ledger of an older version. */
    oldChanges: Changes;
}

const JOB = "00000000000000d1";
const LIMIT = { timeout: 60_000 };
const TASK_MILLICORES = 1_500;

function tasksOf(jobTable: JobTable, step = 0): readonly Task[] {
    const tasks = tasksOfStep(jobTable, JOB, step);
    assert.ok(tasks.length > 0);
    return tasks;
}

function describeLastingSteps(taskCount: number, isGang: boolean, hasNextStep: boolean) {
    return [
        describeStep({ taskCount, isGang, isLasting: true }),
        ...hasNextStep ? [describeStep({ after: [0] })] : [],
    ];
}

function endRun(jobTable: JobTable, task: Task, end: AttemptEnd): void {
    const [attempt] = task.attempts;
    if (attempt !== undefined) {
        const ended = { sequence: 1, task: task.key, attempt: attempt.number, end, checkpoint: "" };
        recordAttemptEnd(jobTable, attempt.worker, ended, NOW);
    }
}

Given(
    /^a job of (a gang of )?(\d+) lasting tasks that run(, and of 1 task after them)?$/,
    function(this: LastingWorld, gang: string | null, count: string, next: string | null) {
        this.jobTable = createEmptyJobTable();
        const steps = describeLastingSteps(Number(count), gang !== null, next !== null);
        const submission = { payload: "", steps };
        acceptJob(this.jobTable, { id: JOB, queue: QUEUE.name, submission, acceptedAtMilliseconds: NOW });
        confirmJob(this.jobTable, JOB, NOW);
        tasksOf(this.jobTable).forEach((task, index) => {
            const attempt = addAttempt(this.jobTable, task, `worker-${index}`, 1, NOW);
            confirmStart(this.jobTable, attempt, 1, NOW);
        });
    },
);

Given("a ledger in which the {int} tasks of a lasting job are done", function(this: LastingWorld, count: number) {
    const submission = { payload: "", steps: describeLastingSteps(count, false, false) };
    this.oldChanges = {
        ...createChanges(),
        accepted: [{ id: JOB, queue: QUEUE.name, submission, acceptedAtMilliseconds: NOW }],
        begun: [JOB],
        done: Array.from({ length: count }, (_, index) => `${JOB}.0.0.${index}`),
    };
});

When("the run of every task ends as {string}", function(this: LastingWorld, end: AttemptEnd) {
    tasksOf(this.jobTable).forEach(task => endRun(this.jobTable, task, end));
});

When("the run of one task ends as {string}", function(this: LastingWorld, end: AttemptEnd) {
    tasksOf(this.jobTable).slice(0, 1).forEach(task => endRun(this.jobTable, task, end));
});

function assertAllReady(jobTable: JobTable): void {
    assert.ok(tasksOf(jobTable).every(task => jobTable.readyTasks.has(task)), "a task is not started again");
    assert.equal(jobTable.jobs.get(JOB)?.state, "running");
}

Then("every task waits for its next start, and the job still runs", function(this: LastingWorld) {
    assertAllReady(this.jobTable);
});

Then("no task waits for its next start", function(this: LastingWorld) {
    assert.equal(this.jobTable.readyTasks.size, 0);
});

Then("the task after them does not start", function(this: LastingWorld) {
    assert.deepEqual(tasksOf(this.jobTable, 1).map(({ phase }) => phase), ["waiting"]);
});

Then("a successor that reads the segments or a snapshot starts every task", function(this: LastingWorld) {
    // A commit detaches its changes before it writes a snapshot of them.
    const committed = detachChanges(this.jobTable);
    for (const changes of [committed, createSnapshot(this.jobTable, new Set())]) {
        const successor = createEmptyJobTable();
        replaySegment(successor, changes, new Set(), NOW);
        assertAllReady(successor);
    }
});

Then("a successor that reads it starts every task", function(this: LastingWorld) {
    const successor = createEmptyJobTable();
    replaySegment(successor, this.oldChanges, new Set(), NOW);
    assertAllReady(successor);
});

When(
    "a caller submits job {string} of {int} lasting tasks that end as done after {int} ms",
    LIMIT,
    async function(this: PathWorld, id: string, count: number, milliseconds: number) {
        await submit(this, id, {
            spec: JSON.stringify({ milliseconds, millicores: TASK_MILLICORES }),
            steps: [{ count, cpu: TASK_MILLICORES, memMb: 100, longRunning: true }],
        });
    },
);

Then("every task of job {string} starts {int} more times", LIMIT, async function(
    this: PathWorld,
    id: string,
    times: number,
) {
    const before = byTask(runsOf(this, id));
    await waitUntil(
        () => {
            const tasks = [...byTask(runsOf(this, id))];
            return tasks.length > 0
                && tasks.every(([task, { length }]) => length >= (before.get(task)?.length ?? 0) + times);
        },
        "every task has been started again",
    );
});
