/**
 * Steps for closed data centres, with the dispatcher of a cell, simulated workers and closures that tests change.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import type { Failure } from "../../src/core/errors.js";
import { createMetrics } from "../../src/core/metrics.js";
import { pause, systemClock } from "../../src/core/time.js";
import { createCellClosures } from "../../src/jobs/cell/closures.js";
import type { CellContext } from "../../src/jobs/cell/context.js";
import { createDispatcher } from "../../src/jobs/cell/dispatch.js";
import type { Dispatcher } from "../../src/jobs/cell/dispatch.js";
import { createRecovery } from "../../src/jobs/cell/recovery.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { createJobsMetrics } from "../../src/jobs/metrics.js";
import type { OrderCheck, StartAnswer } from "../../src/jobs/model/worker.js";
import { CellSettings } from "../../src/jobs/settings.js";
import { addTask, createEmptyJobTable, describeWorker, runTask } from "./builders.js";
import { createClosureList } from "./closure-list.js";
import type { ClosureList } from "./closure-list.js";
import { createSimulatedCell } from "./simulated-cell.js";

interface ClosuresWorld {
    closures: ClosureList;
    jobTable: JobTable;
    closuresEnd: AbortController;
    workers: CellContext["workers"];
    dispatcher: Dispatcher;
    /** Data centres of the starts that workers have carried out. */
    started: string[];
    counted: number;
    submitted: number;
    events: { readonly event: string; readonly fields: Record<string, unknown>; }[];
    /** Milliseconds by which the owner's clock is ahead of the real time. */
    aheadMilliseconds: number;
    answers: "at once" | "none" | "held";
    orders: number;
    waitingDataCentre: string;
    isWanted: OrderCheck;
    answerOrder: (answer: Result<StartAnswer, Failure>) => void;
}

const LIMIT = { timeout: 20_000 };
const CLOSURE_LIMIT_MILLISECONDS = 5_000;
const WORKER_CORES = 8;
const CLOCK_MILLISECONDS = 500_000;
const LOOK_MILLISECONDS = 10;
/** Longest wait for starts that are expected. */
const START_LIMIT_MILLISECONDS = 10_000;
/** Longest time between two reads of the closures, with what a busy machine adds. */
const READ_INTERVAL_MILLISECONDS = 1_500;
const NO_ANSWER = createFailure("ambiguous", "/run-start", "no answer within the time limit");

After(function(this: Partial<ClosuresWorld>) {
    this.closuresEnd?.abort();
});

function startOwner(world: ClosuresWorld, perDataCentre: number, dataCentres: string[], hasLimit: boolean): void {
    const clock = (): number => systemClock() + world.aheadMilliseconds;
    Object.assign(world, {
        jobTable: createEmptyJobTable(),
        closuresEnd: new AbortController(),
        started: [],
        counted: 0,
        submitted: 0,
        events: [],
        aheadMilliseconds: 0,
        answers: "at once",
        orders: 0,
        closures: createClosureList(clock),
    });
    const workers: CellContext["workers"] = new Map();
    world.workers = workers;
    for (const dataCentre of dataCentres) {
        for (let index = 0; index < perDataCentre; index++) {
            const listed = { ...describeWorker(`${dataCentre}-${index}`, WORKER_CORES), dataCentre };
            const worker = createCellWorker(listed, true, clock());
            worker.contact = "answering";
            worker.clock = { workerMilliseconds: CLOCK_MILLISECONDS, atMilliseconds: clock() };
            workers.set(listed.id, worker);
        }
    }
    const { signal } = world.closuresEnd;
    const settings = CellSettings.parse(hasLimit ? { closureLimitMilliseconds: CLOSURE_LIMIT_MILLISECONDS } : {});
    const requestDispatch = (): void => world.dispatcher.requestDispatch();
    const log = {
        write: (event: string, fields: Record<string, unknown>) => void world.events.push({ event, fields }),
        flush: async () => undefined,
    };
    const metrics = createJobsMetrics(createMetrics({}, "usage"));
    const source = world.closures.source;
    const closures = createCellClosures({ clock, log, metrics, requestDispatch, settings, signal, source, workers });
    const cell: CellContext = {
        ...createSimulatedCell({
            jobTable: world.jobTable,
            signal,
            closures,
            orders: {
                async start({ dataCentre }, _, isWanted) {
                    world.orders += 1;
                    if (world.answers === "at once") {
                        world.started.push(dataCentre);
                        return Result.ok({ kind: "started", clockMilliseconds: CLOCK_MILLISECONDS });
                    }
                    world.waitingDataCentre = dataCentre;
                    world.isWanted = isWanted;
                    return new Promise(resolve => {
                        world.answerOrder = resolve;
                    });
                },
                stop: async () => Result.err(NO_ANSWER),
            },
        }),
        settings,
        clock,
        log,
        workers,
        requestDispatch,
    };
    const recovery = createRecovery({
        workers: [],
        claimedAtMilliseconds: clock(),
        predecessorActiveMilliseconds: 0,
        longestLeaseOf: () => 0,
        contactMilliseconds: 0,
    });
    world.dispatcher = createDispatcher(cell, recovery);
    void closures.run();
    void world.dispatcher.run();
}

async function waitUntil(condition: () => boolean, limitMilliseconds: number): Promise<void> {
    const limit = systemClock() + limitMilliseconds;
    while (!condition() && systemClock() < limit) {
        await pause(LOOK_MILLISECONDS);
    }
}

Given(
    "an owner with {int} workers each in {string} and {string}",
    async function(this: ClosuresWorld, count: number, first: string, second: string) {
        startOwner(this, count, [first, second], true);
        await waitUntil(() => this.closures.reads() > 0, LIMIT.timeout);
    },
);

Given(
    "an owner without a closure limit, with {int} workers each in {string} and {string}",
    function(this: ClosuresWorld, count: number, first: string, second: string) {
        startOwner(this, count, [first, second], false);
    },
);

Given(/^orders (wait for connections|get no answer)$/, function(this: ClosuresWorld, behaviour: string) {
    this.answers = behaviour === "get no answer" ? "none" : "held";
});

Given("a lasting task and a short one that run in {string}", function(this: ClosuresWorld, dataCentre: string) {
    const worker = [...this.workers.keys()].find(id => id.startsWith(dataCentre)) ?? "";
    const now = systemClock();
    for (const [id, isLasting] of [["lasting", true], ["short", false]] as const) {
        runTask(this.jobTable, addTask(this.jobTable, id, { isLasting }, now), worker, now, 0, 100);
    }
});

Then("nothing is to be stopped", function(this: ClosuresWorld) {
    assert.equal(this.jobTable.attemptsToStop.size, 0);
});

When("orders are answered", function(this: ClosuresWorld) {
    this.answers = "at once";
});

When("{string} is closed", function(this: ClosuresWorld, dataCentre: string) {
    this.closures.close(dataCentre);
});

When("{string} is reopened", function(this: ClosuresWorld, dataCentre: string) {
    this.closures.reopen(dataCentre);
});

When(/^(\d+) tasks? (?:is|are) submitted$/, async function(this: ClosuresWorld, count: string) {
    const former = this.orders;
    for (let index = 0; index < Number(count); index++) {
        this.submitted += 1;
        const id = this.submitted.toString(16).padStart(16, "0");
        addTask(this.jobTable, id, {}, systemClock() + this.aheadMilliseconds);
    }
    this.dispatcher.requestDispatch();
    if (this.answers !== "at once") {
        await waitUntil(() => this.orders > former, LIMIT.timeout);
    }
});

When("{int} ms pass", async function(this: ClosuresWorld, milliseconds: number) {
    await pause(milliseconds);
});

When("the closures cannot be read", function(this: ClosuresWorld) {
    this.closures.isReachable = false;
});

When("the closures can be read", function(this: ClosuresWorld) {
    this.closures.isReachable = true;
});

When(/^the time of the owner moves on by ([\d,]+) ms$/, function(this: ClosuresWorld, milliseconds: string) {
    this.aheadMilliseconds += Number(milliseconds.replace(",", ""));
});

When(
    /^the owner is paused for ([\d,]+) ms, while "(\w+)" and "(\w+)" are closed$/,
    function(this: ClosuresWorld, milliseconds: string, first: string, second: string) {
        this.aheadMilliseconds += Number(milliseconds.replace(",", ""));
        this.closures.closeUnheard(first);
        this.closures.closeUnheard(second);
    },
);

When("the data centre of the waiting order is closed", function(this: ClosuresWorld) {
    assert.ok(this.isWanted());
    this.closures.close(this.waitingDataCentre);
});

When("the order is left without an answer, and its worker reports", async function(this: ClosuresWorld) {
    this.answerOrder(Result.err(NO_ANSWER));
    await pause(LOOK_MILLISECONDS);
    for (const worker of this.workers.values()) {
        worker.clock = { workerMilliseconds: CLOCK_MILLISECONDS + 1, atMilliseconds: systemClock() };
    }
});

Then(
    /^(\d+) tasks start, (none|some) of them in "(\w+)"$/,
    LIMIT,
    async function(this: ClosuresWorld, count: string, amount: string, dataCentre: string) {
        const first = this.counted;
        await waitUntil(() => this.started.length >= first + Number(count), START_LIMIT_MILLISECONDS);
        this.counted = this.started.length;
        assert.equal(this.counted, first + Number(count));
        assert.equal(this.started.slice(first).includes(dataCentre), amount === "some", this.started.join());
    },
);

Then(/^no (?:further )?task has started$/, function(this: ClosuresWorld) {
    assert.equal(this.started.length, this.counted);
});

Then("the waiting order is not wanted any more", function(this: ClosuresWorld) {
    assert.equal(this.isWanted(), false);
});

Then("no second order is sent, and the attempt is to be stopped", LIMIT, async function(this: ClosuresWorld) {
    await waitUntil(() => this.events.some(({ event }) => event === "start-dropped"), 1_000);
    const dropped = this.events.find(({ event }) => event === "start-dropped");
    assert.equal(dropped?.fields["obstacle"], "data-centre-closed");
    assert.equal(this.orders, 1);
    assert.equal(this.jobTable.attemptsToStop.size, 1);
});

Then(
    "the owner has logged {string} for {string}",
    function(this: ClosuresWorld, event: string, dataCentre: string) {
        const found = this.events.filter(entry => entry.event === event);
        assert.deepEqual(found.map(({ fields }) => fields["dataCentre"]), [dataCentre]);
    },
);

Then("the owner logs that starts are held", LIMIT, async function(this: ClosuresWorld) {
    const count = (): number => this.events.filter(({ event }) => event === "starts-held").length;
    await waitUntil(() => count() > 0, READ_INTERVAL_MILLISECONDS);
    assert.equal(count(), 1);
});

Then("the closures have not been read", function(this: ClosuresWorld) {
    assert.equal(this.closures.reads(), 0);
});
