/**
 * Steps for worker stand-ins, driven through the worker adapter.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { pause } from "../../src/core/time.js";
import { createWorkerStandIn, WorkerBehaviour, WorkerFaultChange } from "../../stand-ins/worker/index.js";
import {
    ask,
    control,
    findStatus,
    header,
    POLL_MILLISECONDS,
    readReport,
    readUsages,
    renew,
    start,
    stop,
} from "./world.js";
import type { WorkerWorld } from "./world.js";

Given("a worker stand-in at the speed of {int} declared seconds a second", async function(
    this: WorkerWorld,
    speed: number,
) {
    this.records = [];
    this.sockets = [];
    this.epoch = 1;
    this.standIn = await createWorkerStandIn({
        name: "levi-01",
        dataCentre: "levi",
        rack: 0,
        shape: { slots: 8, cores: 32, memoryBytes: 125_000_000_000, accelerators: 0, connections: 4 },
        host: "127.0.0.1",
        behaviour: WorkerBehaviour.parse({
            speed,
            checkpointMilliseconds: 20,
            reportEveryMilliseconds: 50,
            reportLagMilliseconds: 50,
            effects: [{ rule: "prep", beside: "noisy", slowdown: 3 }],
        }),
        record: record => this.records.push(record),
    });
});

After(async function(this: Partial<WorkerWorld>) {
    for (const socket of this.sockets ?? []) {
        socket.destroy();
    }
    await this.standIn?.close();
});

When("attempt {int} of batch task {string} with {int} seconds of work is started", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
    workSeconds: number,
) {
    await start(this, taskId, attempt, { workSeconds });
});

When("attempt {int} of batch task {string} is started under a lease of {int} milliseconds", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
    leaseMilliseconds: number,
) {
    await start(this, taskId, attempt, { leaseMilliseconds });
});

Given("attempt {int} of batch task {string} of rule {string} is started", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
    rule: string,
) {
    await start(this, taskId, attempt, { rule });
});

Given("attempt {int} of service task {string} is started", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
) {
    await start(this, taskId, attempt, { kind: "service" });
});

Then("the last start is {string}", function(this: WorkerWorld, outcome: string) {
    assert.equal(this.started.unwrapOr([])[0]?.outcome, outcome);
});

Then("the records show {int} start(s) of {string}", function(this: WorkerWorld, count: number, taskId: string) {
    const starts = this.records.filter(record => record.event === "attempt-started" && record.taskId === taskId);
    assert.equal(starts.length, count);
});

Then("the worker says that attempt {int} of {string} is {string}", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
    state: string,
) {
    let found = await findStatus(this, taskId, attempt);
    while (found?.state === "running" || found?.state === "checkpointing") {
        await pause(POLL_MILLISECONDS);
        found = await findStatus(this, taskId, attempt);
    }
    assert.equal(found?.state, state);
});

When("attempt {int} of {string} is acknowledged", async function(this: WorkerWorld, attempt: number, taskId: string) {
    await renew(this, [{ taskId, attempt }]);
});

Then("the worker knows no attempt of {string}", async function(this: WorkerWorld, taskId: string) {
    const answer = await renew(this);
    assert.deepEqual(answer.attempts.filter(attempt => attempt.taskId === taskId), []);
});

Then("the worker knows no attempt of {string} under another incarnation", async function(
    this: WorkerWorld,
    taskId: string,
) {
    const answer = await renew(this);
    assert.deepEqual(answer.attempts.filter(attempt => attempt.taskId === taskId), []);
    const incarnations = this.records.flatMap(record => record.event === "worker" ? [record.incarnation] : []);
    assert.equal(new Set(incarnations).size, 2);
    assert.equal(answer.incarnation, incarnations[1]);
});

When("attempt {int} of {string} is stopped", async function(this: WorkerWorld, attempt: number, taskId: string) {
    await stop(this, taskId, attempt, false);
});

When("attempt {int} of {string} is stopped with a checkpoint", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
) {
    await stop(this, taskId, attempt, true);
});

Then("attempt 2 of {string} resumes where attempt 1 stopped", async function(this: WorkerWorld, taskId: string) {
    const before = await findStatus(this, taskId, 1);
    assert.ok(before?.checkpoint !== undefined);
    await start(this, taskId, 2, { checkpoint: before.checkpoint });
    const resumed = this.records.find(record => record.event === "attempt-started" && record.attempt === 2);
    assert.ok(resumed?.event === "attempt-started");
    assert.equal(resumed.resumedProgress, before.progress);
});

When("the epoch rises", async function(this: WorkerWorld) {
    this.epoch += 1;
    await renew(this);
});

When("the earlier owner starts attempt {int} of batch task {string}", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
) {
    this.epoch -= 1;
    await start(this, taskId, attempt, {});
});

Then("the order fails as {string}", function(this: WorkerWorld, code: string) {
    assert.equal(this.started.isErr ? this.started.error.code : "ok", code);
});

Given("the worker stand-in has the faults {string}", function(this: WorkerWorld, faults: string) {
    this.standIn.setFaults(WorkerFaultChange.parse(JSON.parse(faults)));
});

Then("a report fails as {string}", async function(this: WorkerWorld, code: string) {
    const report = await readReport(this);
    assert.equal(report.isErr ? report.error.code : "ok", code);
});

Then("the report shows {string} slower than {string}", async function(this: WorkerWorld, slow: string, fast: string) {
    const usages = await readUsages(this, all => all.some(usage => usage.taskId === fast && usage.progress > 0));
    const progress = (taskId: string) => usages.find(usage => usage.taskId === taskId)?.progress ?? 1;
    assert.ok(progress(slow) < progress(fast), JSON.stringify(usages));
});

When("attempt {int} of {string} is throttled to {float}", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
    share: number,
) {
    const answer = await control.throttle(this.standIn.instance.controlOrigin, {
        ...header(this),
        throttles: [{ taskId, attempt, share }],
    });
    assert.ok(answer.isOk);
});

Then("the report shows {string} at a share of {float}", async function(
    this: WorkerWorld,
    taskId: string,
    share: number,
) {
    const usages = await readUsages(this, all => all.some(usage => usage.throttleShare === share));
    assert.equal(usages.find(usage => usage.taskId === taskId)?.throttleShare, share);
});

When("a request for attempt {int} of {string} arrives", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
) {
    this.answer = await ask(this, taskId, attempt);
});

When("a request for attempt {int} of {string} arrives with a deadline in {int} milliseconds", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
    milliseconds: number,
) {
    this.answer = await ask(this, taskId, attempt, String(Date.now() + milliseconds));
});

Given("a request for attempt {int} of {string} is under way", async function(
    this: WorkerWorld,
    attempt: number,
    taskId: string,
) {
    this.underWay = ask(this, taskId, attempt);
    while (!this.records.some(record => record.event === "request-started")) {
        await pause(POLL_MILLISECONDS);
    }
});

Then("the request under way is answered with status {int}", async function(this: WorkerWorld, status: number) {
    assert.equal((await this.underWay).status, status);
});

Then("it is answered with status {int} and the outcome {string}", function(
    this: WorkerWorld,
    status: number,
    outcome: string,
) {
    assert.deepEqual(this.answer, { status, outcome });
});

Then("the records show {int} requests", function(this: WorkerWorld, count: number) {
    assert.equal(this.records.filter(record => record.event === "request-started").length, count);
});

When("{int} connections are opened to a worker that holds 4", async function(this: WorkerWorld, count: number) {
    const port = Number(new URL(this.standIn.instance.serveOrigin).port);
    for (let index = 0; index < count; index += 1) {
        const socket = connect({ host: "127.0.0.1", port });
        socket.on("error", () => socket.destroy());
        this.sockets.push(socket);
        await once(socket, "connect");
    }
});

Then("1 connection is closed by the worker", async function(this: WorkerWorld) {
    const last = this.sockets.at(-1);
    while (last?.closed !== true) {
        last?.resume();
        await pause(POLL_MILLISECONDS);
    }
    assert.equal(this.sockets.filter(socket => socket.closed).length, 1);
});

Then("the records show a refused connection", function(this: WorkerWorld) {
    assert.equal(this.records.filter(record => record.event === "connection-refused").length, 1);
});
