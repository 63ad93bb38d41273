/**
 * Steps for requests with an idempotency key.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { pause } from "../../src/core/time.js";
import type { Admission, Guard } from "../../src/gateway/guard.js";
import { createStoreStandIn, StoreStandInSettings } from "../../stand-ins/store/index.js";
import type { StoreStandIn } from "../../stand-ins/store/index.js";
import { createGuard, createRequest, createRunCounter, runThrough } from "./gateways.js";
import type { Ending, RunCounter } from "./gateways.js";

const DEADLINE_MILLISECONDS = 1_500;
const HISTORY_DEADLINE_MILLISECONDS = 150;

interface IdempotencyWorld {
    idempotencyStore: StoreStandIn | undefined;
    guards: Map<string, Guard>;
    answers: Map<string, Admission>;
    runs: RunCounter;
}

async function startStore(): Promise<StoreStandIn> {
    return createStoreStandIn(StoreStandInSettings.parse({ writesPerSecond: 100_000, readsPerSecond: 100_000 }));
}

function findGuard(world: IdempotencyWorld, name: string): Guard {
    const guard = world.guards.get(name);
    assert.ok(guard, `no gateway ${name}`);
    return guard;
}

async function run(world: IdempotencyWorld, name: string, key: string, ending: Ending): Promise<Admission> {
    const request = createRequest(key, DEADLINE_MILLISECONDS);
    const answer = await runThrough(findGuard(world, name), request, ending, world.runs);
    world.answers.set(name, answer);
    return answer;
}

After(async function(this: IdempotencyWorld) {
    await this.idempotencyStore?.close();
});

Given("a store", async function(this: IdempotencyWorld) {
    this.idempotencyStore = await startStore();
});

Given(
    "gateways {string} and {string} that record requests",
    function(this: IdempotencyWorld, one: string, two: string) {
        const origin = this.idempotencyStore?.origin ?? "";
        this.guards = new Map([one, two].map(name => [name, createGuard(origin)]));
        this.answers = new Map();
        this.runs = createRunCounter();
    },
);

Given("the store loses the next {int} answers", function(this: IdempotencyWorld, count: number) {
    // The first write grants the lease of the records; losing that answer costs a lease and nothing else.
    this.idempotencyStore?.setFaults({ loseAnswers: count });
});

Given("the store is down", function(this: IdempotencyWorld) {
    this.idempotencyStore?.setFaults({ down: "reset" });
});

When("the store is up", function(this: IdempotencyWorld) {
    this.idempotencyStore?.setFaults({ down: "no" });
});

When("{string} runs request {string} and answers {string}", async function(
    this: IdempotencyWorld,
    name: string,
    key: string,
    answer: string,
) {
    assert.equal(answer, "paid");
    let admission = await run(this, name, key, "answer");
    for (let tries = 0; admission.kind === "refuse" && admission.outcome === "not-run" && tries < 50; tries += 1) {
        await pause(20);
        admission = await run(this, name, key, "answer");
    }
    assert.equal(admission.kind, "proceed");
});

When("{string} sends request {string} and crashes", async function(this: IdempotencyWorld, name: string, key: string) {
    assert.equal((await run(this, name, key, "crash")).kind, "proceed");
});

When("{string} is given leave to run request {string} and nothing runs", async function(
    this: IdempotencyWorld,
    name: string,
    key: string,
) {
    assert.equal((await run(this, name, key, "not-run")).kind, "proceed");
});

When("the deadline of {string} passes", async function(this: IdempotencyWorld, key: string) {
    assert.equal(this.runs.count(key), 1);
    await pause(DEADLINE_MILLISECONDS);
});

When("{string} is asked to run request {string}", async function(this: IdempotencyWorld, name: string, key: string) {
    await run(this, name, key, "answer");
});

When("{string} is asked to run another request under the key {string}", async function(
    this: IdempotencyWorld,
    name: string,
    key: string,
) {
    const request = createRequest(key, DEADLINE_MILLISECONDS, "another");
    this.answers.set(name, await runThrough(findGuard(this, name), request, "answer", this.runs));
});

Then("{string} replays {string}", function(this: IdempotencyWorld, name: string, text: string) {
    const answer = this.answers.get(name);
    assert.equal(answer?.kind, "replay", JSON.stringify(answer));
    assert.equal(Buffer.from(answer.answer.body, "base64").toString(), text);
});

Then("{string} refuses as {string} for {string}", function(
    this: IdempotencyWorld,
    name: string,
    outcome: string,
    reason: string,
) {
    const answer = this.answers.get(name);
    assert.equal(answer?.kind, "refuse", JSON.stringify(answer));
    assert.equal(answer.outcome, outcome);
    assert.equal(answer.reason, reason);
});

Then("request {string} ran {int} times", function(this: IdempotencyWorld, key: string, times: number) {
    assert.equal(this.runs.count(key), times);
});

/** One step of a random history. */
interface Step {
    readonly gateway: number;
    readonly key: number;
    readonly ending: Ending;
    readonly fault: "none" | "lose" | "down" | "up" | "restart";
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    gateway: fc.integer({ min: 0, max: 2 }),
    key: fc.integer({ min: 0, max: 3 }),
    ending: fc.constantFrom<Ending>("answer", "answer", "crash", "not-run"),
    fault: fc.constantFrom<Step["fault"]>("none", "none", "lose", "down", "up", "up", "restart"),
});

/** A guard that lets everything pass; shows that the check notices what it looks for. */
const absentGuard: Guard = {
    admit: async () => ({ kind: "proceed", permit: { maySend: () => true, finish: async () => undefined } }),
};

async function runHistory(steps: readonly Step[], create: (origin: string) => Guard): Promise<RunCounter> {
    const store = await startStore();
    const guards = [create(store.origin), create(store.origin), create(store.origin)];
    const runs = createRunCounter();
    const running: Promise<unknown>[] = [];
    for (const step of steps) {
        applyFault(step, store, guards, create);
        const guard = guards[step.gateway] ?? absentGuard;
        const request = createRequest(`key-${step.key}`, HISTORY_DEADLINE_MILLISECONDS);
        running.push(runThrough(guard, request, step.ending, runs));
        await pause(step.fault === "none" ? 0 : 5);
    }
    store.setFaults({ down: "no" });
    await Promise.all(running);
    await store.close();
    return runs;
}

function applyFault(step: Step, store: StoreStandIn, guards: Guard[], create: (origin: string) => Guard): void {
    switch (step.fault) {
        case "lose":
            store.setFaults({ loseAnswers: 2 });
            break;
        case "down":
            store.setFaults({ down: "reset" });
            break;
        case "up":
            store.setFaults({ down: "no" });
            break;
        case "restart":
            guards[step.gateway] = create(store.origin);
            break;
        case "none":
            break;
    }
}

Then("no request runs twice in {int} random histories with seed {int}", { timeout: 60_000 }, async function(
    this: IdempotencyWorld,
    count: number,
    seed: number,
) {
    const histories = fc.array(stepArbitrary, { minLength: 8, maxLength: 30 });
    await fc.assert(
        fc.asyncProperty(histories, async steps => {
            const runs = await runHistory(steps, createGuard);
            assert.deepEqual(runs.keysRunTwice(), []);
        }),
        { numRuns: count, seed, endOnFailure: true },
    );
});

Then("without the guard a request runs twice in such a history", async function() {
    const steps = [0, 1, 2].map((gateway): Step => ({ gateway, key: 0, ending: "answer", fault: "none" }));
    const runs = await runHistory(steps, () => absentGuard);
    assert.deepEqual(runs.keysRunTwice(), ["key-0"]);
});
