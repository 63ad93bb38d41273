/**
 * Steps for renewals as they go over the wire.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Agent } from "undici";
import { callJson } from "../../src/platform/adapters/calls.js";
import { RenewNews } from "../../src/platform/adapters/renewal.js";
import type { RenewOrder } from "../../src/platform/adapters/renewal.js";
import { createRenewals } from "../../src/platform/adapters/renewals.js";
import { workerPaths } from "../../src/platform/adapters/worker.js";

import { findStatus, header, start } from "./world.js";
import type { WorkerWorld } from "./world.js";

interface RenewalsWorld extends WorkerWorld {
    orders: RenewOrder[];
    versions: string[];
    refusal: string;
}

const dispatcher = new Agent();

function send(url: string, order: RenewOrder) {
    return callJson({ url, body: order, schema: RenewNews, timeoutMilliseconds: 2_000, dispatcher });
}

async function sendNamed(world: RenewalsWorld, leaseMilliseconds: number, known: string | undefined): Promise<void> {
    assert.ok(known !== undefined);
    const url = world.standIn.instance.controlOrigin + workerPaths.renew;
    const answer = await send(url, { ...header(world), leaseMilliseconds, known });
    world.refusal = answer.isErr ? answer.error.code : "none";
}

When("attempt {int} of {string} is renewed by {int} milliseconds {int} time(s)", async function(
    this: RenewalsWorld,
    attempt: number,
    taskId: string,
    leaseMilliseconds: number,
    times: number,
) {
    this.orders = [];
    this.versions = [];
    const renew = createRenewals(async (origin, order) => {
        this.orders.push(order);
        const news = await send(origin + workerPaths.renew, order);
        news.map(({ version }) => this.versions.push(version));
        return news;
    });
    for (let count = 0; count < times; count += 1) {
        const answer = await renew(this.standIn.instance.controlOrigin, {
            ...header(this),
            leaseMilliseconds,
            renewals: [{ taskId, attempt }],
            acknowledged: [],
        });
        assert.ok(answer.isOk && answer.value.attempts.some(status => status.taskId === taskId));
    }
});

Then("the worker was sent the attempts to renew once", function(this: RenewalsWorld) {
    assert.deepEqual(this.orders.map(order => order.renewals?.length), [1, undefined]);
});

Then("attempt {int} of {string} still runs", async function(this: RenewalsWorld, attempt: number, taskId: string) {
    assert.equal((await findStatus(this, taskId, attempt))?.state, "running");
});

When("a renewal by {int} milliseconds names the version before the last", async function(
    this: RenewalsWorld,
    leaseMilliseconds: number,
) {
    await sendNamed(this, leaseMilliseconds, this.versions.at(-2));
});

When("a renewal by {int} milliseconds names the last version", async function(
    this: RenewalsWorld,
    leaseMilliseconds: number,
) {
    await sendNamed(this, leaseMilliseconds, this.versions.at(-1));
});

When("the epoch rises without a renewal", function(this: RenewalsWorld) {
    this.epoch += 1;
});

Then("the renewal is refused as {string}", function(this: RenewalsWorld, code: string) {
    assert.equal(this.refusal, code);
});

When("attempt {int} of {string} is ordered to start on the incarnation of before", async function(
    this: RenewalsWorld,
    attempt: number,
    taskId: string,
) {
    const [before] = this.records.flatMap(record => record.event === "worker" ? [record.incarnation] : []);
    assert.ok(before !== undefined);
    await start(this, taskId, attempt, {}, before);
});
