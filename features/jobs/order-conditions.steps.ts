/**
 * Steps for what orders that wait or are repeated ask before they are sent, with a simulated worker.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import type { Failure } from "../../src/core/errors.js";
import { pause, systemClock } from "../../src/core/time.js";
import { paceAttempt } from "../../src/jobs/cell/pacing.js";
import { applyReport } from "../../src/jobs/cell/report.js";
import { startAttempt } from "../../src/jobs/cell/starting.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import { addAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { cancelJob } from "../../src/jobs/job-table/lifecycle.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import type { ListedWorker, OrderAnswer, OrderCheck, StartAnswer, WorkerOrders } from "../../src/jobs/model/worker.js";
import type { StandInServer } from "../../stand-ins/users-platform/http.js";
import type { describeStep } from "./builders.js";
import { addTask, createEmptyJobTable, describeWorker, runTask } from "./builders.js";
import { createSimulatedCell } from "./simulated-cell.js";
import { createTakeoverSimulation } from "./takeover-world.js";

type StartResult = Result<StartAnswer, Failure>;

interface ConditionsWorld {
    jobTable: JobTable;
    worker: CellWorker;
    task: Task;
    attempt: Attempt;
    end: AbortController;
    starts: number;
    isWanted: OrderCheck;
    answerStart: (answer: StartResult) => void;
    answerPace: (answer: Result<OrderAnswer, Failure>) => void;
    done: Promise<void>;
    server: StandInServer;
    listed: ListedWorker;
    orders: WorkerOrders;
}

const JOB = "00000000000000f1";
const LABEL = "kind-a";
const CLOCK = 500_000;
const LIMIT = { timeout: 10_000 };
const NO_ANSWER = createFailure("ambiguous", "/run-start", "no answer within the time limit");
const UNSENT = createFailure("unavailable", "/run-start", "not wanted any more");

After(function(this: Partial<ConditionsWorld>) {
    this.end?.abort();
});

function report(world: ConditionsWorld, incarnation: number, clockMilliseconds: number, foreign = false) {
    const now = systemClock();
    const running = foreign
        ? [{ task: "00000000000000ff.0.0.0", attempt: 1, checkpoint: "", percent: 1, measurement: 0 }]
        : [];
    const content = { incarnation, clockMilliseconds, running, ended: [], isComplete: true };
    return applyReport(world.jobTable, world.worker, content, now, now);
}

function prepare(world: ConditionsWorld, fields: Parameters<typeof describeStep>[0]): void {
    world.jobTable = createEmptyJobTable();
    world.worker = createCellWorker(
        { ...describeWorker("worker-0", 8), labels: [LABEL] },
        true,
        systemClock(),
    );
    world.starts = 0;
    world.end = new AbortController();
    report(world, 1, CLOCK);
    world.task = addTask(world.jobTable, JOB, fields, systemClock());
}

function begin(world: ConditionsWorld, start: WorkerOrders["start"]): void {
    const cell = createSimulatedCell({ jobTable: world.jobTable, signal: world.end.signal, orders: { start } });
    world.attempt = addAttempt(world.jobTable, world.task, world.worker.listed.id, 1, systemClock());
    world.done = startAttempt(cell, world.worker, world.attempt, undefined);
}

Given("a start without an answer whose step requires a label", LIMIT, async function(this: ConditionsWorld) {
    prepare(this, { cores: 1 });
    Object.assign(this.task.step, { requiredLabel: LABEL });
    begin(this, async () => {
        this.starts += 1;
        return Result.err(NO_ANSWER);
    });
    await this.done;
    assert.equal(this.starts, 1);
});

When("the worker has come back as another kind, and has reported", async function(this: ConditionsWorld) {
    await pause(10);
    this.worker.listed = { ...this.worker.listed, labels: ["kind-b"], incarnation: 2 };
    report(this, 2, 1_000);
});

Then("the worker gets no second start order", LIMIT, async function(this: ConditionsWorld) {
    await pause(350);
    assert.equal(this.starts, 1);
});

Given("a start that waits for a connection", LIMIT, function(this: ConditionsWorld) {
    prepare(this, { cores: 1 });
    begin(this, (_, __, isWanted) => {
        this.isWanted = isWanted;
        return new Promise<StartResult>(resolve => {
            this.answerStart = resolve;
        });
    });
    assert.ok(this.isWanted());
});

When("its worker has reported from a new life", function(this: ConditionsWorld) {
    assert.ok(report(this, 2, 1_000).hasRestarted);
});

When("its worker has failed to report", function(this: ConditionsWorld) {
    // As a session does after an unanswered report.
    this.worker.failingSinceMilliseconds = systemClock();
});

When("its worker has reported runs of other owners", function(this: ConditionsWorld) {
    assert.equal(report(this, 1, CLOCK + 1, true).foreign.length, 1);
    // As a session does, because the capacity that these use is unknown.
    this.worker.startsFromMilliseconds = systemClock() + 1_500;
});

Then("the start is not wanted any more", function(this: ConditionsWorld) {
    assert.equal(this.isWanted(), false);
});

Given(
    "a start without an answer, and a refusal for lack of room of its repetition",
    LIMIT,
    async function(this: ConditionsWorld) {
        prepare(this, { cores: 1 });
        begin(this, async () => {
            this.starts += 1;
            return this.starts === 1
                ? Result.err(NO_ANSWER)
                : Result.ok({ kind: "refused", refusal: "no-room", clockMilliseconds: CLOCK + 2 });
        });
        await this.done;
        await pause(10);
        report(this, 1, CLOCK + 1);
        while (this.starts < 2) {
            await pause(10);
        }
        await pause(10);
    },
);

Then("the attempt is still listed, and is to be stopped", function(this: ConditionsWorld) {
    assert.ok(
        this.task.attempts.includes(this.attempt),
        "the attempt has been given up, and its task may start elsewhere",
    );
    assert.ok(this.jobTable.attemptsToStop.has(this.attempt));
});

Given("a filler whose pace order of 50 waits for a connection", LIMIT, function(this: ConditionsWorld) {
    prepare(this, { cores: 1, isFiller: true });
    this.attempt = runTask(this.jobTable, this.task, this.worker.listed.id, systemClock());
    let orders = 0;
    const cell = createSimulatedCell({
        jobTable: this.jobTable,
        signal: this.end.signal,
        orders: {
            pace: (_, __, isWanted) => {
                orders += 1;
                if (orders > 1) {
                    return Promise.resolve(Result.ok({ clockMilliseconds: CLOCK }));
                }
                this.isWanted = isWanted;
                return new Promise(resolve => {
                    this.answerPace = resolve;
                });
            },
        },
    });
    this.done = paceAttempt(cell, this.worker, this.attempt, 50);
    Object.assign(this, { paceLater: () => paceAttempt(cell, this.worker, this.attempt, 0) });
});

When("a pace of 0 is ordered and confirmed", async function(this: ConditionsWorld & { paceLater(): Promise<void>; }) {
    await this.paceLater();
    assert.equal(this.attempt.pacePercent, 0);
});

Then("the order of 50 is not wanted any more", function(this: ConditionsWorld) {
    assert.equal(this.isWanted(), false);
});

When("the order of 50 fails", async function(this: ConditionsWorld) {
    this.answerPace(Result.err(UNSENT));
    await this.done;
});

Then("the owner still counts with a pace of 0", function(this: ConditionsWorld) {
    assert.equal(this.attempt.pacePercent, 0);
});

When("{int} starts wait for a connection, and are not wanted any more", function(this: ConditionsWorld, count: number) {
    let isWanted = true;
    for (let index = 0; index < count; index++) {
        const task = `00000000000000e1.0.0.${index}`;
        const order = { epoch: 1, task, attempt: 1, payload: "", leaseUntilMilliseconds: 1_000, checkpoint: "" };
        void this.orders.start(this.listed, order, () => isWanted);
    }
    isWanted = false;
});

When("an order is sent and answered", LIMIT, async function(this: ConditionsWorld) {
    const answer = await this.orders.stop(
        this.listed,
        { epoch: 1, task: "00000000000000e2.0.0.0", attempt: 1 },
        () => true,
    );
    assert.ok(answer.isOk);
});

Then("the worker has seen at most {int} connections", function(this: ConditionsWorld, most: number) {
    const connections = this.server.connections();
    assert.ok(connections <= most, `${connections} connections`);
});

When("its job is cancelled, and the start is given up unsent", LIMIT, async function(this: ConditionsWorld) {
    assert.ok(cancelJob(this.jobTable, JOB, systemClock()));
    assert.equal(this.isWanted(), false);
    this.answerStart(Result.err(UNSENT));
    await this.done;
});

Then("other starts may be sent to its worker at once", function(this: ConditionsWorld) {
    assert.ok(this.worker.startsFromMilliseconds <= systemClock(), "the worker gets no starts for a while");
});

Then("an owner starts nothing from its release on, while the store's answer is under way", LIMIT, async function() {
    const simulation = createTakeoverSimulation(2, 1);
    let answerRelease: () => void = () => undefined;
    const releaseAnswer = new Promise<void>(resolve => {
        answerRelease = resolve;
    });
    const reach = { workers: new Set(simulation.workerNames), store: true, releaseAnswer };
    const owner = simulation.startOwner(reach);
    try {
        assert.ok(await simulation.passTime(5_000, () => simulation.runs.length > 0));
        const released = owner.cell.release();
        await pause(50);
        const [first] = simulation.runs;
        assert.ok(first !== undefined);
        simulation.failTask(first.worker);
        await simulation.passTime(1_200, () => simulation.runs.length > 1);
        const startsAfter = simulation.runs.length - 1;
        answerRelease();
        assert.ok(await released);
        assert.equal(startsAfter, 0);
    }
    finally {
        answerRelease();
        await simulation.close();
    }
});
