/**
 * Steps for start orders that a worker carries out in its next life, in simulated time.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import { pause } from "../../src/core/time.js";
import type { CellContext } from "../../src/jobs/cell/context.js";
import { applyReport } from "../../src/jobs/cell/report.js";
import { startAttempt } from "../../src/jobs/cell/starting.js";
import { stopAttempt } from "../../src/jobs/cell/stopping.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import { addAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import type { EndedAttempt } from "../../src/jobs/model/worker.js";
import { addTask, createEmptyJobTable, describeWorker, NOW } from "./builders.js";
import { createSimulatedCell } from "./simulated-cell.js";

interface LateStartWorld {
    now: number;
    cell: CellContext;
    ordersEnd: AbortController;
    jobTable: JobTable;
    worker: CellWorker;
    task: Task;
    attempt: Attempt;
    /** The worker's present life: when it began, what it runs, what it has to reject, and its ends. */
    life: {
        readonly incarnation: number;
        readonly bornAt: number;
        isRunning: boolean;
        isStopped: boolean;
        ended: EndedAttempt[];
    };
}

const LIMIT = { timeout: 10_000 };
const NO_ANSWER = createFailure("ambiguous", "/run-start", "no answer within the time limit");
const SHORT_MILLISECONDS = 100;

function clockOf({ life, now }: LateStartWorld): number {
    return now - life.bornAt + 1_000;
}

function beginLife(world: LateStartWorld, incarnation: number): void {
    world.life = { incarnation, bornAt: world.now, isRunning: false, isStopped: false, ended: [] };
}

function report(world: LateStartWorld): void {
    const { attempt, jobTable, life, task, worker } = world;
    world.now += SHORT_MILLISECONDS;
    const running = life.isRunning
        ? [{ task: task.key, attempt: attempt.number, checkpoint: "", percent: 0, measurement: 0 }]
        : [];
    const { ended, incarnation } = life;
    const clockMilliseconds = clockOf(world);
    applyReport(
        jobTable,
        worker,
        { incarnation, clockMilliseconds, running, ended, isComplete: true },
        world.now,
        world.now,
    );
}

/** Sends the stops that the dispatcher would send. */
async function stopUnwanted({ cell, jobTable, worker }: LateStartWorld): Promise<void> {
    await Promise.all(
        [...jobTable.attemptsToStop].filter(({ phase }) => phase !== "stopping")
            .map(attempt => stopAttempt(cell, worker, attempt)),
    );
}

function stop({ attempt, life, task }: LateStartWorld): void {
    life.isStopped = true;
    if (life.isRunning) {
        life.isRunning = false;
        life.ended.push({ sequence: 1, task: task.key, attempt: attempt.number, end: "stopped", checkpoint: "" });
    }
}

Given(
    /^a worker that (leaves the first start of a task without an answer and confirms the second|confirms the first start of a task)$/,
    LIMIT,
    async function(this: LateStartWorld, answers: string) {
        let unanswered = answers.startsWith("leaves") ? 1 : 0;
        this.now = NOW;
        this.ordersEnd = new AbortController();
        this.jobTable = createEmptyJobTable();
        this.worker = createCellWorker(describeWorker("worker-0", 8), true, NOW);
        this.cell = createSimulatedCell({
            jobTable: this.jobTable,
            clock: () => this.now,
            signal: this.ordersEnd.signal,
            orders: {
                start: async (_, __, isWanted) => {
                    assert.ok(isWanted());
                    if (unanswered > 0) {
                        unanswered -= 1;
                        return Result.err(NO_ANSWER);
                    }
                    this.life.isRunning = true;
                    return Result.ok({ kind: "started", clockMilliseconds: clockOf(this) });
                },
                stop: async () => {
                    stop(this);
                    return Result.ok({ clockMilliseconds: clockOf(this) });
                },
            },
        });
        beginLife(this, 1);
        this.task = addTask(this.jobTable, "00000000000000c1", {}, NOW);
        report(this);
        this.attempt = addAttempt(this.jobTable, this.task, "worker-0", 1, this.now);
        await startAttempt(this.cell, this.worker, this.attempt, undefined);
        while (this.attempt.phase === "ordered") {
            report(this);
            await pause(SHORT_MILLISECONDS);
        }
        assert.ok(this.life.isRunning);
    },
);

After(function(this: Partial<LateStartWorld>) {
    this.ordersEnd?.abort();
});

When(
    /^(the attempt runs|the attempt is listed and stopped), and the worker reports from a new life$/,
    LIMIT,
    async function(this: LateStartWorld, event: string) {
        report(this);
        if (event.endsWith("stopped")) {
            this.jobTable.attemptsToStop.add(this.attempt);
            await stopUnwanted(this);
            assert.equal(this.attempt.phase, "stopping");
        }
        beginLife(this, 2);
        report(this);
    },
);

When("{int} ms after the second the worker reports from a new life that confirms no stop", function(
    this: LateStartWorld,
    milliseconds: number,
) {
    report(this);
    this.now += milliseconds;
    beginLife(this, 2);
    report(this);
});

When("it still reports without the attempt {int} ms later", function(this: LateStartWorld, milliseconds: number) {
    assert.equal(this.task.phase, "active");
    this.now += milliseconds;
    report(this);
});

When("the late start is carried out before the stop", function(this: LateStartWorld) {
    this.life.isRunning = true;
});

Then("the task is not ready before the late run has ended", LIMIT, async function(this: LateStartWorld) {
    report(this);
    assert.equal(this.task.phase, "active");
    await stopUnwanted(this);
    assert.ok(!this.life.isRunning);
    assert.equal(this.task.phase, "active");
    report(this);
    assert.equal(this.task.phase, "ready");
});

Then("the task is not ready before the new life has confirmed a stop of that attempt", LIMIT, async function(
    this: LateStartWorld,
) {
    report(this);
    assert.equal(this.task.phase, "active");
    await stopUnwanted(this);
    assert.equal(this.task.phase, "active");
});

Then("the late start is rejected", function(this: LateStartWorld) {
    assert.ok(this.life.isStopped);
});

Then("the task is ready after the next report", function(this: LateStartWorld) {
    report(this);
    assert.equal(this.task.phase, "ready");
});

Then(/^the task is (ready|not ready)$/, function(this: LateStartWorld, state: string) {
    assert.equal(this.task.phase === "ready", state === "ready");
});
