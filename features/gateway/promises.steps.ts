/**
 * Steps that play random mixes of calls against the promises.
 */
import { Given, Then } from "@cucumber/cucumber";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { callMixes, createMixedUpstreams, findViolations, nameCall } from "./support/mix.js";
import type { MixedCall, MixedUpstreams } from "./support/mix.js";
import { call, firstGateway, startService } from "./support/world.js";
import type { CallOptions, ReceivedAnswer, RequestWorld } from "./support/world.js";

const FORWARDER_ATTEMPTS = 2;
const MANY_FAILURES = 1_000_000;
const stepOptions = { timeout: 120_000 };

interface PromisesWorld extends RequestWorld {
    mixed: MixedUpstreams;
    mixes: number;
    /** Endings that callers have seen, so that a check of nothing does not pass. */
    endings: Set<string>;
}

type Send = (path: string, options: CallOptions) => Promise<ReceivedAnswer>;

Given("a service with {int} replicas whose faults are drawn", async function(this: PromisesWorld, replicas: number) {
    await startService(this, { replicas, settings: { breakerFailures: MANY_FAILURES, retryReserve: MANY_FAILURES } });
    this.mixed = createMixedUpstreams();
    this.mixes = 0;
    this.endings = new Set();
    this.upstreams.forEach(upstream => upstream.behave(this.mixed.behaviour));
});

async function playMix(world: PromisesWorld, calls: readonly MixedCall[], send: Send): Promise<string[]> {
    world.mixes += 1;
    const mix = `mix-${world.mixes}`;
    world.mixed.expect(mix, calls);
    const violations = await Promise.all(calls.map(async ({ method }, index) => {
        const path = nameCall(mix, index);
        const body = `body-${index}`;
        const answer = await send(path, { method, body });
        world.endings.add(answer.status === 200 ? "answered" : answer.outcome ?? "broken");
        return findViolations(path, body, answer, world.mixed.runs(path));
    }));
    return violations.flat();
}

async function checkMixes(world: PromisesWorld, count: number, seed: number, send: Send): Promise<void> {
    const property = fc.asyncProperty(callMixes, async calls => {
        assert.deepEqual(await playMix(world, calls, send), []);
    });
    // A failed check prints its seed and the smallest mix that fails.
    await fc.assert(property, { numRuns: count, seed });
}

/** Sends again whatever went wrong, and passes on what it gets, as a forwarder without checks does. */
async function forwardWithoutChecks(world: PromisesWorld, path: string, options: CallOptions): Promise<ReceivedAnswer> {
    let answer: ReceivedAnswer | undefined;
    for (let attempt = 0; attempt < FORWARDER_ATTEMPTS; attempt += 1) {
        const origin = world.upstreams[attempt]?.origin ?? "";
        answer = await call(`${origin}${path}`, options);
        if (answer.status === 200) {
            return answer;
        }
    }
    assert.ok(answer !== undefined);
    return answer;
}

Then(
    "the promises hold in {int} random mixes of calls with seed {int}",
    stepOptions,
    async function(this: PromisesWorld, count: number, seed: number) {
        const { origin } = firstGateway(this);
        await checkMixes(this, count, seed, (path, options) => call(`${origin}/beacon-check${path}`, options));
        assert.deepEqual(["answered", "not-run", "unknown"].filter(ending => !this.endings.has(ending)), []);
    },
);

Then(
    "a plain forwarder breaks a promise in {int} random mixes of calls with seed {int}",
    stepOptions,
    async function(this: PromisesWorld, count: number, seed: number) {
        const check = checkMixes(this, count, seed, (path, options) => forwardWithoutChecks(this, path, options));
        await assert.rejects(check, thrown => /ran 2 times|was answered with/u.test(String((thrown as Error).cause)));
    },
);
