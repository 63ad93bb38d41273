/**
 * Steps for graceful stops.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Client } from "undici";
import type { Dispatcher } from "undici";
import { answerWhole } from "./support/upstream.js";
import { call, firstGateway, waitUntil } from "./support/world.js";
import type { ReceivedAnswer, RequestWorld } from "./support/world.js";

const LONG_LIMIT_MILLISECONDS = 20_000;

interface DrainWorld extends RequestWorld {
    kept: Client;
    answer: Dispatcher.ResponseData;
    inFlight: Promise<ReceivedAnswer[]>;
    answerAll: () => void;
    stopping: Promise<void>;
    stopped: boolean;
}

function startDrain(world: DrainWorld, limitMilliseconds: number): void {
    world.stopped = false;
    world.stopping = firstGateway(world).gateway.drain(limitMilliseconds).then(() => {
        world.stopped = true;
    });
}

Given("a caller with a kept connection", async function(this: DrainWorld) {
    this.kept = new Client(firstGateway(this).origin);
    const answer = await this.kept.request({ method: "GET", path: "/beacon-check/kept" });
    await answer.body.dump();
    assert.notEqual(answer.headers.connection, "close");
});

Given(/^(\d+) requests? under way$/, async function(this: DrainWorld, count: string) {
    const held: (() => void)[] = [];
    const [upstream] = this.upstreams;
    upstream?.behave((request, socket) => held.push(() => answerWhole(request, socket)));
    const { origin } = firstGateway(this);
    this.inFlight = Promise.all(
        Array.from(
            { length: Number(count) },
            (unused, index) => call(`${origin}/beacon-check/${index}`, { body: "x" }),
        ),
    );
    await waitUntil("the requests are under way", () => held.length === Number(count));
    upstream?.behave(answerWhole);
    this.answerAll = () => held.forEach(answer => answer());
});

When("the gateway begins to stop", function(this: DrainWorld) {
    startDrain(this, LONG_LIMIT_MILLISECONDS);
});

When("the gateway is told to stop within {int} ms", function(this: DrainWorld, limit: number) {
    startDrain(this, limit);
});

Then("it is not ready", function(this: DrainWorld) {
    assert.equal(firstGateway(this).gateway.ready(), false);
});

When("the kept connection is used again", async function(this: DrainWorld) {
    this.answer = await this.kept.request({ method: "GET", path: "/beacon-check/kept" });
    await this.answer.body.dump();
    await this.kept.close();
});

Then("it is answered with {string}", function(this: DrainWorld, header: string) {
    assert.equal(`connection: ${String(this.answer.headers.connection)}`, header);
    assert.equal(this.answer.statusCode, 200);
});

Then("the gateway waits for the requests under way", function(this: DrainWorld) {
    assert.equal(this.stopped, false);
});

When("the replica answers", function(this: DrainWorld) {
    this.answerAll();
});

Then("all requests got status {int}", async function(this: DrainWorld, status: number) {
    this.answers = await this.inFlight;
    assert.deepEqual([...new Set(this.answers.map(answer => answer.status))], [status]);
});

Then("the gateway has stopped", async function(this: DrainWorld) {
    await this.stopping;
    await this.gateways.shift()?.close();
});

Then("the replica has no connection of the gateway left", async function(this: DrainWorld) {
    await waitUntil("no connection is left", () => this.upstreams[0]?.connections() === 0);
});

Then("the stop ends though the request is under way", async function(this: DrainWorld) {
    await this.stopping;
    this.answerAll();
    await this.inFlight;
});
