/**
 * Steps for requests that are sent at most once.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type {
    Admission,
    Guard,
    GuardedRequest,
    Permit,
    PermitOutcome,
    RecordedAnswer,
} from "../../src/gateway/guard.js";
import { startGateway } from "./support/gateway.js";
import type { Behaviour } from "./support/upstream.js";
import { call, firstGateway, firstScheduler, startService, waitUntil } from "./support/world.js";
import type { RequestWorld } from "./support/world.js";

const GONE_ORIGIN = "http://127.0.0.1:1";

interface SendsWorld extends RequestWorld {
    finished: { outcome: PermitOutcome; answer: RecordedAnswer | undefined; }[];
}

/** A guard whose word a scenario can change; requests on the way to a first answer pass. */
class TestGuard implements Guard {
    readonly finished: SendsWorld["finished"] = [];
    decide: ((request: GuardedRequest) => Admission) | undefined;

    async admit(request: GuardedRequest): Promise<Admission> {
        return this.decide?.(request) ?? this.permit(true);
    }

    permit(maySend: boolean): Admission {
        const permit: Permit = {
            maySend: () => maySend,
            finish: async (outcome, answer) => {
                this.finished.push({ outcome, answer });
            },
        };
        return { kind: "proceed", permit };
    }
}

async function startGuarded(
    world: SendsWorld,
    createDecision: (guard: TestGuard) => TestGuard["decide"],
): Promise<void> {
    const guard = new TestGuard();
    await startService(world, { replicas: 1, guards: [guard] });
    guard.finished.splice(0);
    guard.decide = createDecision(guard);
    world.finished = guard.finished;
}

const refuse = (reason: string): Behaviour => (request, socket) => {
    const lines = [
        "HTTP/1.1 503 Refused",
        "content-length: 0",
        "flamingowell-outcome: not-run",
        `flamingowell-reason: ${reason}`,
    ];
    socket.write(`${lines.join("\r\n")}\r\n\r\n`);
};

Given("a service with 2 replicas and a retry budget of {int}", async function(this: SendsWorld, retryReserve: number) {
    await startService(this, { replicas: 2, settings: { retryReserve, retryShare: 0 } });
});

Given("a service with 1 replica and a guard whose permits have lapsed", async function(this: SendsWorld) {
    await startGuarded(this, guard => () => guard.permit(false));
});

Given("a service with 1 replica and a guard that lets requests pass", async function(this: SendsWorld) {
    await startGuarded(this, guard => () => guard.permit(true));
});

Given(
    "a service with 1 replica and a guard that has kept the answer {string}",
    async function(this: SendsWorld, kept: string) {
        const answer: RecordedAnswer = { status: 200, headers: [], body: Buffer.from(kept).toString("base64") };
        await startGuarded(this, () => () => ({ kind: "replay", answer }));
    },
);

Given(
    "a service with 1 replica and a guard that sends requests to a second gateway",
    async function(this: SendsWorld) {
        let origin = "";
        await startGuarded(this, () => () => ({ kind: "forward", origin }));
        const second = await startGateway({ schedulers: [firstScheduler(this).origin], instance: "entry-2" });
        this.gateways.push(second);
        await waitUntil("routes known", async () => (await call(`${second.origin}/beacon-check/`)).status === 200);
        this.upstreams.forEach(({ requests }) => requests.splice(0));
        origin = second.peerOrigin;
    },
);

Given(
    "a service with 1 replica and a guard that sends requests to a gateway that is gone",
    async function(this: SendsWorld) {
        await startGuarded(this, () => () => ({ kind: "forward", origin: GONE_ORIGIN }));
    },
);

Given("replica {int} refuses connections", async function(this: SendsWorld, index: number) {
    const [upstream] = this.upstreams.splice(index, 1);
    await upstream?.close();
});

Given(
    "replica {int} refuses requests as not run because of {string}",
    function(this: SendsWorld, index: number, reason: string) {
        this.upstreams[index]?.behave(refuse(reason));
    },
);

Given("replica {int} breaks the connection when a request has arrived", function(this: SendsWorld, index: number) {
    this.upstreams[index]?.behave((request, socket) => socket.destroy());
});

When("a caller posts {int} requests one after the other", async function(this: SendsWorld, count: number) {
    this.answers = [];
    for (let index = 0; index < count; index += 1) {
        this.answers.push(await call(`${firstGateway(this).origin}/beacon-check/kits/${index}`, { body: "x" }));
    }
});

When(
    "a caller posts {string} with idempotency key {string}",
    async function(this: SendsWorld, body: string, key: string) {
        const headers = { "idempotency-key": key };
        this.answers.push(await call(`${firstGateway(this).origin}/beacon-check/kits/17`, { body, headers }));
    },
);

When("a caller posts {string} with authorization {string}", async function(
    this: SendsWorld,
    body: string,
    authorization: string,
) {
    const headers = { authorization };
    this.answers.push(await call(`${firstGateway(this).origin}/beacon-check/kits/17`, { body, headers }));
});

When("a request is passed on without the peer token", async function(this: SendsWorld) {
    this.answers.push(await call(`${firstGateway(this).peerOrigin}/forward/beacon-check/kits/17`, { body: "x" }));
});

When("a caller posts requests until one has met replica {int}", async function(this: SendsWorld, index: number) {
    const gateway = firstGateway(this);
    this.answers = [];
    await waitUntil(`a request met replica ${index}`, async () => {
        this.answers.push(await call(`${gateway.origin}/beacon-check/kits/${this.answers.length}`, { body: "x" }));
        const retries = await gateway.metrics.registry.getSingleMetric("flamingowell_retries_total")?.get();
        return this.answers.at(-1)?.status !== 200 || (retries?.values.length ?? 0) > 0;
    });
});

Then("the caller gets status {int}", function(this: SendsWorld, status: number) {
    assert.equal(this.answers.at(-1)?.status, status);
});

Then("every request got status {int}", function(this: SendsWorld, status: number) {
    assert.ok(this.answers.length > 0);
    assert.deepEqual(new Set(this.answers.map(answer => answer.status)), new Set([status]));
});

Then("no request arrived", function(this: SendsWorld) {
    assert.deepEqual(this.upstreams.flatMap(({ requests }) => requests.map(({ path }) => path)), []);
});

Then("no request arrived twice", function(this: SendsWorld) {
    const paths = this.upstreams.flatMap(({ requests }) => requests.map(({ path }) => path));
    assert.ok(paths.length > 0);
    assert.deepEqual(paths.toSorted(), [...new Set(paths)].toSorted());
});

Then("no request arrived at replica {int} twice", function(this: SendsWorld, index: number) {
    const paths = this.upstreams[index]?.requests.map(({ path }) => path) ?? [];
    assert.equal(paths.length, this.answers.length);
    assert.equal(new Set(paths).size, paths.length);
});

Then("{int} requests arrived in all", function(this: SendsWorld, count: number) {
    assert.equal(this.upstreams.flatMap(({ requests }) => requests).length, count);
});

Then("every request without an answer got outcome {string}", function(this: SendsWorld, outcome: string) {
    const outcomes = this.answers.filter(({ status }) => status !== 200).map(answer => answer.outcome);
    assert.deepEqual(outcomes, outcomes.map(() => outcome));
});

Then("at least one request got no answer", function(this: SendsWorld) {
    assert.ok(this.answers.some(({ status }) => status !== 200));
});

Then("the retry {string} was counted at least once", async function(this: SendsWorld, reason: string) {
    assert.ok(await firstGateway(this).count("flamingowell_retries_total", { reason }) >= 1);
});

Then("the guard was told {string}", function(this: SendsWorld, outcome: string) {
    assert.deepEqual(this.finished.map(one => one.outcome), [outcome]);
});

Then("the guard was given the answer {string}", function(this: SendsWorld, body: string) {
    const [finished] = this.finished;
    assert.equal(Buffer.from(finished?.answer?.body ?? "", "base64").toString(), body);
});

Then("the upstream was told the authorization {string}", function(this: SendsWorld, authorization: string) {
    assert.equal(this.upstreams[0]?.requests[0]?.headers.get("authorization"), authorization);
});

Then("the upstream was told the gateway {string}", function(this: SendsWorld, instance: string) {
    const gateway = this.upstreams[0]?.requests[0]?.headers.get("flamingowell-gateway") ?? "";
    assert.ok(gateway.startsWith(`${instance}/`), gateway);
});
