/**
 * Steps for connection credits.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { pause, systemClock } from "../../src/core/time.js";
import { startGateway } from "./support/gateway.js";
import { CAPACITY, drawHistory, ownerFaults, playHistory } from "./support/history.js";
import { answerWhole } from "./support/upstream.js";
import { call, firstGateway, firstScheduler, startService, waitUntil } from "./support/world.js";
import type { RequestWorld } from "./support/world.js";

const SEED = 20_261_204;
const ANSWER_DELAY_MILLISECONDS = 20;

interface CreditsWorld extends RequestWorld {
    peaks: number[];
}

function playAll(count: number, createAccount?: Parameters<typeof playHistory>[1]): number[] {
    const histories = fc.sample(drawHistory(), { numRuns: count, seed: SEED });
    return histories.map(history => playHistory(history, createAccount));
}

async function callMany(world: RequestWorld, callers: number): Promise<void> {
    const calls = world.gateways.flatMap(({ origin }) =>
        Array.from({ length: callers }, (unused, index) => call(`${origin}/beacon-check/kits/${index}`, { body: "x" }))
    );
    world.answers = await Promise.all(calls);
    assert.deepEqual([...new Set(world.answers.map(({ status }) => status))], [200]);
}

function delayAnswers(world: RequestWorld): void {
    world.upstreams.forEach(upstream =>
        upstream.behave((request, socket) => {
            void pause(ANSWER_DELAY_MILLISECONDS).then(() => answerWhole(request, socket));
        })
    );
}

When("{int} random histories of 5 gateways and their owners are played", function(this: CreditsWorld, count: number) {
    this.peaks = playAll(count);
});

When(
    /^(\d+) random histories are played with an owner that (.*)$/,
    function(this: CreditsWorld, count: string, fault: string) {
        const createAccount = ownerFaults[fault];
        assert.ok(createAccount !== undefined, `no fault ${fault}`);
        this.peaks = playAll(Number(count), createAccount);
    },
);

Then("no worker ever had more than 64 connections", function(this: CreditsWorld) {
    assert.ok(Math.max(...this.peaks) <= CAPACITY, `seed ${SEED}: ${Math.max(...this.peaks)} connections`);
});

Then("some worker had all of them in use", function(this: CreditsWorld) {
    assert.ok(this.peaks.includes(CAPACITY));
});

Then("some worker had more than 64 connections", function(this: CreditsWorld) {
    assert.ok(Math.max(...this.peaks) > CAPACITY);
});

When("{int} callers are answered at once", { timeout: 20_000 }, async function(this: CreditsWorld, callers: number) {
    delayAnswers(this);
    await callMany(this, callers);
});

Then("the owner counts at least {int} credits as taken", function(this: CreditsWorld, least: number) {
    assert.ok(firstScheduler(this).creditAllocator.reserved("worker-0", systemClock()) >= least);
});

When("the gateway stops", async function(this: CreditsWorld) {
    await this.gateways.shift()?.close();
});

Then("the owner counts {int} credits as taken", function(this: CreditsWorld, count: number) {
    assert.equal(firstScheduler(this).creditAllocator.reserved("worker-0", systemClock()), count);
});

Given(
    "a service with 1 replica whose credits lapse after {int} ms",
    async function(this: CreditsWorld, leaseMilliseconds: number) {
        await startService(this, {
            replicas: 1,
            creditAllocator: { leaseMilliseconds },
            settings: { idleMilliseconds: 60_000 },
        });
    },
);

Given("{int} connections of the gateway are open", async function(this: CreditsWorld, count: number) {
    delayAnswers(this);
    await waitUntil("connections are open", async () => {
        await callMany(this, count);
        return this.upstreams[0]?.connections() === count;
    });
});

When("the scheduler is gone and the credits have lapsed", async function(this: CreditsWorld) {
    await this.schedulers.shift()?.close();
    await pause(500);
});

Then("{int} callers are answered", async function(this: CreditsWorld, callers: number) {
    await callMany(this, callers);
});

Then("no more than {int} connections are open", function(this: CreditsWorld, most: number) {
    assert.ok((this.upstreams[0]?.connections() ?? 0) <= most);
});

Given("a service with 1 replica and {int} gateways", async function(this: CreditsWorld, count: number) {
    await startService(this, { replicas: 1 });
    for (let index = 2; index <= count; index += 1) {
        const schedulers = [firstScheduler(this).origin];
        this.gateways.push(await startGateway({ schedulers, instance: `entry-${index}` }));
    }
    for (const { origin } of this.gateways) {
        await waitUntil("routes known", async () => (await call(`${origin}/beacon-check/`)).status === 200);
    }
    assert.equal(firstGateway(this), this.gateways[0]);
});

When(
    "{int} callers at each gateway are answered at once",
    { timeout: 20_000 },
    async function(this: CreditsWorld, callers: number) {
        delayAnswers(this);
        await callMany(this, callers);
        await callMany(this, callers);
    },
);

Then("the worker had at most {int} connections open at once", function(this: CreditsWorld, most: number) {
    const peak = this.upstreams[0]?.peakConnections() ?? 0;
    assert.ok(peak <= most, `${peak} connections`);
});

Then("the worker had at least {int} connections open at once", function(this: CreditsWorld, least: number) {
    const peak = this.upstreams[0]?.peakConnections() ?? 0;
    assert.ok(peak >= least, `${peak} connections`);
});
