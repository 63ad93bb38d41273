/**
 * Steps for whole answers.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { startGateway, startScheduler } from "./support/gateway.js";
import { startUpstream } from "./support/upstream.js";
import { call, waitUntil } from "./support/world.js";
import type { RequestWorld } from "./support/world.js";

Given(/^a service with (\d+) replicas?$/, async function(this: RequestWorld, count: string) {
    this.answers = [];
    this.upstreams = await Promise.all(Array.from({ length: Number(count) }, startUpstream));
    this.schedulers = [await startScheduler()];
    this.schedulers[0]?.offer({}, this.upstreams.map(({ origin }) => ({ origin })));
    this.gateways = [await startGateway({ schedulers: this.schedulers.map(({ origin }) => origin) })];
    const [gateway] = this.gateways;
    const [scheduler] = this.schedulers;
    assert.ok(gateway !== undefined && scheduler !== undefined);
    if (this.upstreams.length > 0) {
        await waitUntil("routes known", async () => (await call(`${gateway.origin}/beacon-check/`)).status === 200);
        this.upstreams.forEach(({ requests }) => requests.splice(0));
    }
});

When("a caller posts {string} to {string}", async function(this: RequestWorld, body: string, path: string) {
    this.answers.push(await call(`${this.gateways[0]?.origin ?? ""}${path}`, { body }));
});

Then("the caller gets status {int} and {string}", function(this: RequestWorld, status: number, body: string) {
    const answer = this.answers.at(-1);
    assert.equal(answer?.status, status);
    assert.equal(answer.body, body);
});

Then(
    "the caller gets status {int} with outcome {string} and reason {string}",
    function(this: RequestWorld, status: number, outcome: string, reason: string) {
        const { status: seenStatus, outcome: seenOutcome, reason: seenReason } = this.answers.at(-1) ?? {};
        assert.deepEqual([seenStatus, seenOutcome, seenReason], [status, outcome, reason]);
    },
);

Then("the upstream was told the attempt, the deadline and the gateway", function(this: RequestWorld) {
    const arrived = this.upstreams.flatMap(({ requests }) => requests);
    assert.equal(arrived.length, 1);
    const headers = arrived[0]?.headers;
    assert.match(headers?.get("flamingowell-attempt") ?? "", /^beacon-check-\d#1$/);
    assert.ok(Number(headers?.get("flamingowell-deadline")) > Date.now());
    assert.match(headers?.get("flamingowell-gateway") ?? "", /^entry-1\//);
});
