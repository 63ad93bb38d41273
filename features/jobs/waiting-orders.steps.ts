/**
 * Steps for orders that wait for a free connection, with the platform's client and a stand-in of a worker.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createWorkerOrders } from "../../platform/orders.js";
import type { Failure } from "../../src/core/errors.js";
import { pause, systemClock } from "../../src/core/time.js";
import type { ListedWorker, OrderCheck, WorkerOrders } from "../../src/jobs/model/worker.js";
import { serveJson } from "../../stand-ins/users-platform/http.js";
import type { StandInServer } from "../../stand-ins/users-platform/http.js";
import { describeWorker } from "./builders.js";

interface WaitingOrdersWorld {
    server: StandInServer;
    listed: ListedWorker;
    orders: WorkerOrders;
    /** Tasks of the orders that have reached the worker. */
    arrived: string[];
    answerAll: () => void;
    /** Resolves to the failure of the order that waits; absent if it has been carried out. */
    outcome: Promise<Failure | undefined>;
}

const CONNECTIONS = 4;
const TIMEOUT_MILLISECONDS = 500;
const HOLD_MILLISECONDS = 2_000;
const SETTLED_MILLISECONDS = 100;
const TASK = "00000000000000e1.0.0.0";
const LIMIT = { timeout: 10_000 };
const always: OrderCheck = () => true;

Given("a worker that has not answered the orders on all its connections yet", LIMIT, async function(
    this: WaitingOrdersWorld,
) {
    this.arrived = [];
    const answered = new Promise<void>(resolve => {
        this.answerAll = resolve;
    });
    this.server = await serveJson(async ({ body }) => {
        this.arrived.push(String(body["task"]));
        await answered;
        return { status: 200, body: { clockMs: 1 } };
    }, () => "none");
    this.listed = { ...describeWorker("worker-0", 8), origin: `http://${this.server.address}` };
    this.orders = createWorkerOrders(TIMEOUT_MILLISECONDS);
    for (let index = 0; index < CONNECTIONS; index++) {
        void this.orders.hold(this.listed, { epoch: 1, acknowledged: 0, waitMilliseconds: HOLD_MILLISECONDS });
    }
    while (this.arrived.length < CONNECTIONS) {
        await pause(1);
    }
});

After(async function(this: Partial<WaitingOrdersWorld>) {
    if (this.listed !== undefined && this.orders !== undefined && this.server !== undefined) {
        this.orders.closeConnections(this.listed);
        await this.server.close();
    }
});

function order(
    { listed, orders }: WaitingOrdersWorld,
    kind: string,
    isWanted: OrderCheck,
): Promise<Failure | undefined> {
    const fields = { epoch: 1, task: TASK, attempt: 1 };
    const sent = kind === "a start"
        ? orders.start(
            listed,
            { ...fields, payload: "", leaseUntilMilliseconds: 1_000, checkpoint: "" },
            isWanted,
        )
        : kind === "a stop"
        ? orders.stop(listed, fields, isWanted)
        : orders.pace(listed, { ...fields, percent: 50 }, isWanted);
    return sent.then(result => result.isErr ? result.error : undefined);
}

When("a start waits for a connection", function(this: WaitingOrdersWorld) {
    this.outcome = order(this, "a start", always);
});

When(/^(a start|a stop|a pace) waits for a connection, and is not wanted any more$/, function(
    this: WaitingOrdersWorld,
    kind: string,
) {
    let isWanted = true;
    this.outcome = order(this, kind, () => isWanted);
    isWanted = false;
});

When("a start waits for a connection, and is wanted for {int} ms", function(
    this: WaitingOrdersWorld,
    milliseconds: number,
) {
    const wantedUntil = systemClock() + milliseconds;
    this.outcome = order(this, "a start", () => systemClock() < wantedUntil);
});

When("the worker answers", async function(this: WaitingOrdersWorld) {
    this.answerAll();
    await pause(SETTLED_MILLISECONDS);
});

When("the worker answers while the process stands still for {int} ms", async function(
    this: WaitingOrdersWorld,
    milliseconds: number,
) {
    this.answerAll();
    // The answers are on their way before the process stands still.
    await Promise.resolve();
    await new Promise<void>(resolve =>
        setImmediate(() => {
            Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, milliseconds);
            resolve();
        })
    );
    await pause(SETTLED_MILLISECONDS);
});

When("the time limit has passed", async function() {
    await pause(TIMEOUT_MILLISECONDS + SETTLED_MILLISECONDS);
});

Then("the start has reached the worker", async function(this: WaitingOrdersWorld) {
    assert.equal(await this.outcome, undefined);
    assert.ok(this.arrived.includes(TASK));
});

Then("the start has not reached the worker", function(this: WaitingOrdersWorld) {
    assert.ok(!this.arrived.includes(TASK));
});

Then("the order fails as {string}, and has not reached the worker", LIMIT, async function(
    this: WaitingOrdersWorld,
    code: string,
) {
    assert.equal((await this.outcome)?.code, code);
    assert.ok(!this.arrived.includes(TASK));
});
