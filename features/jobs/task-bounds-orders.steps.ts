/**
 * Steps for the bounds of attempts that are thought alive, with a simulated worker and clock.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import { applyReport } from "../../src/jobs/cell/report.js";
import { startAttempt } from "../../src/jobs/cell/starting.js";
import { stopAttempt } from "../../src/jobs/cell/stopping.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import { addAttempt, stopRun } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import { addTask, createEmptyJobTable, describeWorker, NOW } from "./builders.js";
import { createSimulatedCell } from "./simulated-cell.js";

interface OrdersWorld {
    jobTable: JobTable;
    boundWorker: CellWorker;
    boundTask: Task;
    boundAttempt: Attempt;
    now: number;
    boundOrdersEnd: AbortController;
}

const JOB = "00000000000000f1";
const CLOCK_MILLISECONDS = 500_000;
const NO_ANSWER = createFailure("ambiguous", "/run-start", "no answer within the time limit");

function report({ boundWorker, jobTable, now }: OrdersWorld, incarnation = 1): void {
    const clockMilliseconds = (incarnation === 1 ? CLOCK_MILLISECONDS : 0) + now - NOW;
    applyReport(
        jobTable,
        boundWorker,
        { incarnation, clockMilliseconds, running: [], ended: [], isComplete: true },
        now,
        now,
    );
}

function prepare(world: OrdersWorld): void {
    world.now = NOW;
    world.jobTable = createEmptyJobTable();
    world.boundWorker = createCellWorker(describeWorker("worker-0", 8), true, NOW);
    world.boundOrdersEnd = new AbortController();
    report(world);
    world.boundTask = addTask(world.jobTable, JOB, {}, NOW);
    world.boundAttempt = addAttempt(world.jobTable, world.boundTask, "worker-0", 1, NOW);
}

After(function(this: Partial<OrdersWorld>) {
    this.boundOrdersEnd?.abort();
});

Given(
    "a start and its stops that a worker leaves unanswered, while it reports each second",
    async function(this: OrdersWorld) {
        prepare(this);
        const cell = createSimulatedCell({
            jobTable: this.jobTable,
            signal: this.boundOrdersEnd.signal,
            clock: () => this.now,
            orders: { start: async () => Result.err(NO_ANSWER) },
        });
        await startAttempt(cell, this.boundWorker, this.boundAttempt, undefined);
        stopRun(this.jobTable, this.boundAttempt);
    },
);

When("{int} seconds have passed", function(this: OrdersWorld, seconds: number) {
    for (let passed = 0; passed < seconds; passed++) {
        this.now += 1_000;
        report(this);
    }
});

Then("the attempt still counts as alive", function(this: OrdersWorld) {
    assert.deepEqual(this.boundTask.attempts, [this.boundAttempt]);
});

Then("the attempt is lost, and its task is ready", function(this: OrdersWorld) {
    assert.deepEqual(this.boundTask.attempts, []);
    assert.ok(this.jobTable.readyTasks.has(this.boundTask));
});

Given("a start without an answer, and a stop that is on its way", function(this: OrdersWorld) {
    prepare(this);
    stopRun(this.jobTable, this.boundAttempt);
});

When("the worker's former life has confirmed the stop after the first report of the next", async function(
    this: OrdersWorld,
) {
    const clocks = [CLOCK_MILLISECONDS, 0];
    const cell = createSimulatedCell({
        jobTable: this.jobTable,
        signal: this.boundOrdersEnd.signal,
        clock: () => this.now,
        orders: {
            stop: async () => {
                const clockMilliseconds = clocks.shift() ?? 0;
                this.now += 1_000;
                report(this, 2);
                return Result.ok({ clockMilliseconds });
            },
        },
    });
    this.boundWorker.contact = "answering";
    await stopAttempt(cell, this.boundWorker, this.boundAttempt);
});

Then(
    "the attempt is lost with the next report of the present life, and its task is ready",
    function(this: OrdersWorld) {
        this.now += 1_000;
        report(this, 2);
        assert.deepEqual(this.boundTask.attempts, []);
        assert.ok(this.jobTable.readyTasks.has(this.boundTask));
    },
);
