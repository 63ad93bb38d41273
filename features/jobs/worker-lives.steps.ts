/**
 * Steps for orders to workers that start again, with simulated workers.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import { pause, systemClock } from "../../src/core/time.js";
import type { CellContext } from "../../src/jobs/cell/context.js";
import { applyReport } from "../../src/jobs/cell/report.js";
import { runSession } from "../../src/jobs/cell/session.js";
import { startAttempt } from "../../src/jobs/cell/starting.js";
import { attemptsLapsedAt, createCellWorker, longestFormerLease } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import { addAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable, WorkerLife } from "../../src/jobs/job-table/job-table.js";
import type { HoldOrder, StartAnswer, StartOrder, WorkerOrders, WorkerReport } from "../../src/jobs/model/worker.js";
import type { CellSettings } from "../../src/jobs/settings.js";
import { addTask, createEmptyJobTable, describeWorker, runTask } from "./builders.js";
import { createSimulatedCell } from "./simulated-cell.js";

interface LivesWorld {
    jobTable: JobTable;
    worker: CellWorker;
    settings: CellSettings;
    starts: StartOrder[];
    holds: HoldOrder[];
    /** Answers to starts, in turn; no answer once they are used up. */
    startAnswers: StartAnswer[];
    /** Reports, in turn; no answer once they are used up. */
    reports: WorkerReport[];
    ordersEnd: AbortController;
    knownLife: string;
    formerLease: number;
    cell: CellContext;
}

const FORMER_LIFE = 1;
const NEW_LIFE = 2;
const NEW_CLOCK_MILLISECONDS = 1_000;
const SECOND = 1_000;
const NO_ANSWER = createFailure("ambiguous", "/run-start", "no answer within the time limit");
const LIMIT = { timeout: 10_000 };

function describeReport(incarnation: number, clockMilliseconds: number): WorkerReport {
    return { incarnation, clockMilliseconds, running: [], ended: [], isComplete: true };
}

function report({ jobTable, worker }: LivesWorld, incarnation: number, clockMilliseconds: number): void {
    applyReport(jobTable, worker, describeReport(incarnation, clockMilliseconds), systemClock(), systemClock());
}

/** Orders an attempt; resolves when it is confirmed or given up. */
function order(world: LivesWorld): Promise<void> {
    const { cell, jobTable, worker } = world;
    const task = addTask(jobTable, "00000000000000c1", {}, systemClock());
    return startAttempt(cell, worker, addAttempt(jobTable, task, worker.listed.id, 1, systemClock()), undefined);
}

/** Runs the session with the worker until it has reported from a life. */
async function runSessionUntilLife({ cell, worker }: LivesWorld, incarnation: number): Promise<void> {
    const end = new AbortController();
    const session = runSession(cell, worker, end.signal);
    while (worker.incarnation !== incarnation) {
        await pause(1);
    }
    end.abort();
    await session;
}

async function untilRepeated({ starts }: LivesWorld): Promise<void> {
    while (starts.length < 2) {
        await pause(10);
    }
}

Given("a worker whose clock shows {int} s", function(this: LivesWorld, seconds: number) {
    this.jobTable = createEmptyJobTable();
    this.worker = createCellWorker(describeWorker("worker-0", 8), true, systemClock());
    this.starts = [];
    this.holds = [];
    this.startAnswers = [];
    this.reports = [];
    this.ordersEnd = new AbortController();
    const orders: Partial<WorkerOrders> = {
        start: async (_, start) => {
            this.starts.push(start);
            const answer = this.startAnswers.shift();
            return answer === undefined ? Result.err(NO_ANSWER) : Result.ok(answer);
        },
        hold: async (_, hold) => {
            this.holds.push(hold);
            await pause(10);
            const next = this.reports.shift();
            return next === undefined ? Result.err(NO_ANSWER) : Result.ok(next);
        },
    };
    this.cell = createSimulatedCell({ jobTable: this.jobTable, orders, signal: this.ordersEnd.signal });
    this.settings = this.cell.settings;
    report(this, FORMER_LIFE, seconds * SECOND);
});

After(function(this: Partial<LivesWorld>) {
    this.ordersEnd?.abort();
});

When("a start gets no answer, and the worker reports from a new life {int} ms later", LIMIT, async function(
    this: LivesWorld,
    milliseconds: number,
) {
    void order(this);
    await pause(milliseconds);
    report(this, NEW_LIFE, NEW_CLOCK_MILLISECONDS);
    await untilRepeated(this);
});

When("a start gets no answer, and the worker reports from the same life {int} ms later", LIMIT, async function(
    this: LivesWorld,
    milliseconds: number,
) {
    const { clock } = this.worker;
    assert.ok(clock !== undefined);
    void order(this);
    await pause(milliseconds);
    report(this, FORMER_LIFE, clock.workerMilliseconds + milliseconds);
    await untilRepeated(this);
});

When("a start gets no answer, and the worker has not reported for {int} ms", async function(
    this: LivesWorld,
    milliseconds: number,
) {
    void order(this);
    await pause(milliseconds);
});

When("a start is answered by a new life", async function(this: LivesWorld) {
    this.startAnswers = [{ kind: "started", clockMilliseconds: NEW_CLOCK_MILLISECONDS }];
    await order(this);
});

When("a new life reports after a hold of the former life got no answer", LIMIT, async function(this: LivesWorld) {
    const end = new AbortController();
    const session = runSession(this.cell, this.worker, end.signal);
    while (this.holds.length < 2) {
        await pause(1);
    }
    assert.ok(this.holds[0]?.leaseUntilMilliseconds !== undefined);
    assert.equal(this.holds[1]?.leaseUntilMilliseconds, undefined);
    this.reports = [describeReport(NEW_LIFE, NEW_CLOCK_MILLISECONDS)];
    while (this.worker.incarnation !== NEW_LIFE) {
        await pause(1);
    }
    end.abort();
    await session;
});

Then("the ledger gets the new life, with a lease that ends after {int} ms", function(
    this: LivesWorld,
    milliseconds: number,
) {
    const life = this.jobTable.changes.lives.find(([, incarnation]) => incarnation === NEW_LIFE);
    assert.ok(life !== undefined && life[2] > NEW_CLOCK_MILLISECONDS + milliseconds - SECOND, JSON.stringify(life));
});

Given(/^a successor, whose ledger lists (.*)$/, function(this: LivesWorld, known: string) {
    this.knownLife = known;
    this.worker = createCellWorker(describeWorker("worker-0", 8), true, systemClock());
});

/** Sets up a life of this age as of the ledger; returns its incarnation. */
function beginLife({ jobTable, knownLife }: LivesWorld, seconds: number): number {
    const incarnation = Math.round(systemClock() - seconds * SECOND);
    const lives: Readonly<Record<string, WorkerLife>> = {
        "the worker's former life": { incarnation: FORMER_LIFE, leaseUntilMilliseconds: 0 },
        "the life with a lease of 16 s": { incarnation, leaseUntilMilliseconds: 16 * SECOND },
        "the life without a doubtful lease": { incarnation, leaseUntilMilliseconds: 0 },
    };
    const life = lives[knownLife];
    if (life !== undefined) {
        jobTable.lives.set("worker-0", life);
    }
    return incarnation;
}

When(/^a life of (\d+) s reports to it for the first time$/, LIMIT, async function(this: LivesWorld, seconds: string) {
    const incarnation = beginLife(this, Number(seconds));
    this.reports = [describeReport(incarnation, Number(seconds) * SECOND)];
    await runSessionUntilLife(this, incarnation);
});

When(/^it does not reach a life of (\d+) s$/, function(this: LivesWorld, seconds: string) {
    const incarnation = beginLife(this, Number(seconds));
    this.formerLease = longestFormerLease(
        incarnation,
        this.jobTable.lives.get("worker-0"),
        this.settings,
        systemClock(),
    );
});

Then("it waits for a lease of {int} ms", function(this: LivesWorld, milliseconds: number) {
    assert.equal(this.formerLease, milliseconds);
});

When(/^a new life reports after (a start|a hold|no order) of the former life was sent$/, LIMIT, async function(
    this: LivesWorld,
    sent: string,
) {
    if (sent === "a start") {
        void order(this);
    }
    const isLeased = sent === "a hold";
    // A report is requested without a lease after one that has failed, and while the ownership is not proven.
    this.cell = { ...this.cell, maySendOrders: () => isLeased };
    this.reports = [describeReport(NEW_LIFE, NEW_CLOCK_MILLISECONDS)];
    await pause(1);
    await runSessionUntilLife(this, NEW_LIFE);
    assert.equal(this.holds[0]?.leaseUntilMilliseconds !== undefined, isLeased);
});

When(
    /^a report that lists (all|some) ends comes (\d+) ms after an attempt has last made progress$/,
    LIMIT,
    async function(
        this: LivesWorld,
        ends: string,
        milliseconds: string,
    ) {
        const { clock, listed: { id } } = this.worker;
        assert.ok(clock !== undefined);
        const task = addTask(this.jobTable, "00000000000000c1", {}, systemClock());
        runTask(this.jobTable, task, id, systemClock() - Number(milliseconds));
        // The report is older than the confirmation of the start, so that the attempt does not count as lost.
        task.attempts.forEach(attempt => {
            attempt.confirmedClockMilliseconds = clock.workerMilliseconds + SECOND;
        });
        const cut = describeReport(FORMER_LIFE, clock.workerMilliseconds);
        this.reports = [{ ...cut, isComplete: ends === "all" }];
        const end = new AbortController();
        const session = runSession(this.cell, this.worker, end.signal);
        while (this.holds.length < 2) {
            await pause(1);
        }
        end.abort();
        await session;
    },
);

Then(/^the attempt is (stopped|kept)$/, function(this: LivesWorld, fate: string) {
    assert.equal(this.jobTable.attemptsToStop.size, fate === "stopped" ? 1 : 0);
});

Then("the start is repeated, with a lease that ends within {int} ms on the clock of the new life", function(
    this: LivesWorld,
    milliseconds: number,
) {
    const until = this.starts[1]?.leaseUntilMilliseconds ?? Infinity;
    assert.ok(until <= NEW_CLOCK_MILLISECONDS + milliseconds + SECOND, `the lease ends at ${until}`);
});

Then("the start has not been repeated", function(this: LivesWorld) {
    assert.equal(this.starts.length, 1);
});

Then("the start is repeated with the lease of the first order", function(this: LivesWorld) {
    assert.equal(this.starts[1]?.leaseUntilMilliseconds, this.starts[0]?.leaseUntilMilliseconds);
});

Then("nothing on the worker counts as lapsed within {int} ms", function(this: LivesWorld, milliseconds: number) {
    const lapsedAt = attemptsLapsedAt(this.worker, this.settings.leaseMilliseconds);
    assert.ok(lapsedAt - systemClock() > milliseconds - SECOND, `lapsed in ${lapsedAt - systemClock()} ms`);
});

Then("everything on the worker counts as lapsed after {int} ms", function(this: LivesWorld, milliseconds: number) {
    const lapsedAt = attemptsLapsedAt(this.worker, this.settings.leaseMilliseconds);
    assert.ok(lapsedAt - systemClock() < milliseconds, `lapsed in ${lapsedAt - systemClock()} ms`);
});
