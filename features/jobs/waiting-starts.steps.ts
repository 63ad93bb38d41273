/**
 * Steps for starts that are repeated after their worker was silent, with a simulated worker.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import { pause, systemClock } from "../../src/core/time.js";
import type { CellContext } from "../../src/jobs/cell/context.js";
import { applyReport } from "../../src/jobs/cell/report.js";
import { startAttempt } from "../../src/jobs/cell/starting.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import { addAttempt, withdrawAttempt } from "../../src/jobs/job-table/attempts.js";
import { openAllTasks } from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { cancelJob } from "../../src/jobs/job-table/lifecycle.js";
import { finishTask } from "../../src/jobs/job-table/progress.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import type { Queue } from "../../src/jobs/model/catalog.js";
import type { RunningAttempt } from "../../src/jobs/model/worker.js";
import { addTask, CORE, createEmptyJobTable, describeWorker, QUEUE } from "./builders.js";
import { createSimulatedCell } from "./simulated-cell.js";

interface WaitingWorld {
    jobTable: JobTable;
    worker: CellWorker;
    task: Task;
    attempt: Attempt;
    gang: readonly Attempt[];
    /** Number of start orders that were sent. */
    starts: number;
    queues: Map<string, Queue>;
    mayOrder: boolean;
    isSuspect: boolean;
    cell: CellContext;
    ordersEnd: AbortController;
}

const JOB = "00000000000000d1";
const WORKER_CORES = 8;
const TASK_CORES = 6;
const CLOCK_MILLISECONDS = 500_000;
/** Several times the wait before an order is repeated. */
const SETTLED_MILLISECONDS = 350;
/** Longer than the wait before an order is repeated. */
const SILENCE_MILLISECONDS = 150;
const NO_ANSWER = createFailure("ambiguous", "/run-start", "no answer within the time limit");
const LIMIT = { timeout: 10_000 };

function report({ jobTable, worker }: WaitingWorld, running: RunningAttempt[] = []): void {
    const now = systemClock();
    const clockMilliseconds = (worker.clock?.workerMilliseconds ?? CLOCK_MILLISECONDS) + 1;
    applyReport(
        jobTable,
        worker,
        { incarnation: 1, clockMilliseconds, running, ended: [], isComplete: true },
        now,
        now,
    );
}

Given("a start that its worker has left unanswered", LIMIT, async function(this: WaitingWorld) {
    this.jobTable = createEmptyJobTable();
    this.worker = createCellWorker(describeWorker("worker-0", WORKER_CORES), true, systemClock());
    this.starts = 0;
    this.queues = new Map([[QUEUE.name, QUEUE]]);
    this.mayOrder = true;
    this.isSuspect = false;
    this.ordersEnd = new AbortController();
    this.cell = createSimulatedCell({
        jobTable: this.jobTable,
        signal: this.ordersEnd.signal,
        orders: {
            start: async () => {
                this.starts += 1;
                return Result.err(NO_ANSWER);
            },
        },
        catalog: () => ({ version: 1, queues: this.queues, admissionCheckedPools: new Set() }),
        maySendOrders: () => this.mayOrder,
        crashes: { record: () => undefined, isUnderReview: () => this.isSuspect, review: () => undefined },
    });
    report(this);
    this.task = addTask(this.jobTable, JOB, { cores: TASK_CORES, allowsCopies: true }, systemClock());
    this.attempt = addAttempt(this.jobTable, this.task, this.worker.listed.id, 1, systemClock());
    await startAttempt(this.cell, this.worker, this.attempt, undefined);
    assert.equal(this.starts, 1);
});

After(function(this: Partial<WaitingWorld>) {
    this.ordersEnd?.abort();
});

When("the job has been cancelled", function(this: WaitingWorld) {
    assert.ok(cancelJob(this.jobTable, JOB, systemClock()));
});

When("another copy of the task is done", function(this: WaitingWorld) {
    finishTask(this.jobTable, this.task, systemClock());
});

When("the worker has begun to drain", function(this: WaitingWorld) {
    this.worker.listed = { ...this.worker.listed, isDraining: true };
});

When("the worker has left the list for {int} ms", function(this: WaitingWorld, milliseconds: number) {
    this.worker.unlistedSinceMilliseconds = systemClock() - milliseconds;
});

When("the queue has been removed", function(this: WaitingWorld) {
    this.queues.delete(QUEUE.name);
});

When("the queue has got other workers", function(this: WaitingWorld) {
    this.queues.set(QUEUE.name, { ...QUEUE, pool: "workshop" });
});

When("the worker has lost half of its capacity", function(this: WaitingWorld) {
    const { listed } = this.worker;
    const capacity = { ...listed.capacity, millicores: WORKER_CORES / 2 * CORE };
    this.worker.listed = { ...listed, capacity };
});

When(/^the owner (may not send orders|may send orders again)$/, function(this: WaitingWorld, permission: string) {
    this.mayOrder = permission === "may send orders again";
});

When(/^the task is (suspected of a crash of its worker|cleared)$/, function(this: WaitingWorld, change: string) {
    this.isSuspect = change !== "cleared";
});

When("the worker answers again", async function(this: WaitingWorld) {
    await pause(10);
    report(this);
});

When("the worker answers again, and runs the task", async function(this: WaitingWorld) {
    await pause(SILENCE_MILLISECONDS);
    report(this, [{ task: this.task.key, attempt: 1, checkpoint: "", percent: 10, measurement: 0 }]);
});

Then("the task goes on", function(this: WaitingWorld) {
    assert.equal(this.attempt.phase, "running");
    assert.ok(!this.jobTable.attemptsToStop.has(this.attempt));
});

Then("the start is sent again", LIMIT, async function(this: WaitingWorld) {
    while (this.starts < 2) {
        await pause(10);
    }
});

Then("the start is not sent again", LIMIT, async function(this: WaitingWorld) {
    await pause(SETTLED_MILLISECONDS);
    assert.equal(this.starts, 1);
});

Then("the start is not sent again, and a stop is ordered", LIMIT, async function(this: WaitingWorld) {
    await pause(SETTLED_MILLISECONDS);
    assert.equal(this.starts, 1);
    // The first order may have been carried out.
    assert.ok(this.jobTable.attemptsToStop.has(this.attempt));
});

Given("a gang of {int} whose starts are unanswered", function(this: WaitingWorld, members: number) {
    const first = addTask(this.jobTable, "00000000000000d2", { isGang: true, taskCount: members }, systemClock());
    const tasks = openAllTasks(first.occurrence, 0);
    this.gang = tasks.map(task => addAttempt(this.jobTable, task, this.worker.listed.id, 1, systemClock()));
});

When("a worker refuses one of them", function(this: WaitingWorld) {
    const [refused] = this.gang;
    assert.ok(refused !== undefined);
    withdrawAttempt(this.jobTable, refused);
});

Then("the other members are to be stopped", function(this: WaitingWorld) {
    const [refused, ...others] = this.gang;
    assert.ok(others.length > 0 && others.every(attempt => this.jobTable.attemptsToStop.has(attempt)));
    assert.ok(refused !== undefined && !this.jobTable.attemptsToStop.has(refused));
});
