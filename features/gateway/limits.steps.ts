/**
 * Steps for limits.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect as connectTcp } from "node:net";
import type { Socket } from "node:net";
import { request } from "undici";
import { pause } from "../../src/core/time.js";
import { createConcurrencyLimit } from "../../src/gateway/admission/concurrency-limit.js";
import type { ConcurrencyLimit } from "../../src/gateway/admission/concurrency-limit.js";
import { headers as headerNames } from "../../src/platform/worker.js";
import { answerWhole } from "./support/upstream.js";
import { call, firstGateway, startService, waitUntil } from "./support/world.js";
import type { ReceivedAnswer, RequestWorld } from "./support/world.js";

const BODY_LIMIT_BYTES = 1_000;
const HEADER_LIMIT_BYTES = 2_048;
const CALLER_TIMEOUT_MILLISECONDS = 300;
const WARM_UP_CALLS = 40;
const LARGEST_LIMIT = 4_096;
const IDLE_MILLISECONDS = 50;
const CLOSE_MILLISECONDS = 100;
const STEP_LIMIT_MILLISECONDS = 60_000;

interface LimitsWorld extends RequestWorld {
    sockets: Socket[];
    raw: string;
    /** Makes the replica answer the held request. */
    answerHeld: () => void;
    waiting: Promise<ReceivedAnswer>;
    limit: ConcurrencyLimit;
    /** The limit after each step. */
    limits: number[];
}

const target = "POST /beacon-check/kits/17 HTTP/1.1\r\nhost: gateway\r\n";
const MESSAGES: Record<string, string> = {
    "a body that is too large": `${target}content-length: 2000\r\n\r\n`,
    "a long chunked body": `${target}transfer-encoding: chunked\r\n\r\n7d0\r\n${"a".repeat(2_000)}\r\n`,
    "a head that is too large": `${target}padding: ${"a".repeat(HEADER_LIMIT_BYTES)}\r\n\r\n`,
    "a head that never ends": target,
    "a body that never ends": `${target}content-length: 10\r\n\r\nhalf`,
    "something else than HTTP": "what is this\r\n\r\n",
    "a wrong priority": `${target}content-length: 0\r\nflamingowell-priority: 10\r\n\r\n`,
};

function sendRaw(world: LimitsWorld, what: string): Socket {
    const { hostname, port } = new URL(firstGateway(world).origin);
    const socket = connectTcp(Number(port), hostname);
    world.sockets.push(socket);
    socket.on("error", () => socket.destroy());
    const message = MESSAGES[what];
    assert.ok(message !== undefined, `no message ${what}`);
    socket.write(message);
    return socket;
}

async function startSequentialService(world: LimitsWorld): Promise<void> {
    world.sockets = [];
    await startService(world, { replicas: 1, settings: { firstLimit: 1, largestLimit: 1 } });
}

/** Makes the replica hold its first request until `answerHeld`; returns the caller's promise. */
async function holdFirstRequest(world: LimitsWorld): Promise<Promise<ReceivedAnswer>[]> {
    const [upstream] = world.upstreams;
    assert.ok(upstream !== undefined);
    const held = new Promise<() => void>(resolve => {
        upstream.behave((arrived, socket) => resolve(() => answerWhole(arrived, socket)));
    });
    const first = call(`${firstGateway(world).origin}/beacon-check/first`, { body: "x" });
    world.answerHeld = await held;
    upstream.behave(answerWhole);
    return [first];
}

After(function(this: Partial<LimitsWorld>) {
    this.sockets?.forEach(socket => socket.destroy());
});

Given("a service with tight limits", async function(this: LimitsWorld) {
    this.sockets = [];
    await startService(this, {
        replicas: 1,
        settings: {
            bodyLimitBytes: BODY_LIMIT_BYTES,
            headerLimitBytes: HEADER_LIMIT_BYTES,
            bodyTimeoutMilliseconds: CALLER_TIMEOUT_MILLISECONDS,
            headerTimeoutMilliseconds: CALLER_TIMEOUT_MILLISECONDS,
        },
    });
});

Given("a service whose only replica takes one request at a time", async function(this: LimitsWorld) {
    await startSequentialService(this);
});

Given(
    "a service whose only replica takes one request at a time and needs {int} ms for each",
    async function(this: LimitsWorld, milliseconds: number) {
        await startSequentialService(this);
        this.upstreams[0]?.behave((request, socket) => {
            void pause(milliseconds).then(() => answerWhole(request, socket));
        });
        // These calls set the service's mean latency.
        for (let index = 0; index < WARM_UP_CALLS; index += 1) {
            await call(`${firstGateway(this).origin}/beacon-check/learn`, { body: "x" });
        }
        this.upstreams[0]?.requests.splice(0);
    },
);

Given("a limit of at first {int} requests, all in use", function(this: LimitsWorld, firstLimit: number) {
    this.limit = createConcurrencyLimit({ firstLimit, largestLimit: LARGEST_LIMIT });
    this.limits = [this.limit.current()];
});

When("{int} answers take {int} ms each", function(this: LimitsWorld, count: number, milliseconds: number) {
    for (let index = 0; index < count; index += 1) {
        this.limit.observe(milliseconds, this.limit.current());
    }
    this.limits.push(this.limit.current());
});

Then(/^the limit has (risen|fallen)$/, function(this: LimitsWorld, direction: string) {
    const [before = 0, after = 0] = this.limits.slice(-2);
    assert.equal(after > before ? "risen" : after < before ? "fallen" : "stayed", direction);
});

Given("a service whose only replica needs {int} ms for each request", async function(
    this: LimitsWorld,
    milliseconds: number,
) {
    this.sockets = [];
    await startService(this, { replicas: 1, settings: { idleMilliseconds: IDLE_MILLISECONDS } });
    this.upstreams[0]?.behave((request, socket) => {
        void pause(milliseconds).then(() => answerWhole(request, socket));
    });
});

Given(
    "{int} callers have called at once before, and all connections have been closed since",
    async function(this: LimitsWorld, count: number) {
        const { origin } = firstGateway(this);
        const calls = Array.from({ length: count }, () => call(`${origin}/beacon-check/before`, { body: "x" }));
        assert.ok((await Promise.all(calls)).every(({ status }) => status === 200));
        await waitUntil("no connection is open", () => this.upstreams[0]?.connections() === 0);
    },
);

Then("all of them are answered", function(this: LimitsWorld) {
    const others = this.answers.filter(({ status }) => status !== 200);
    assert.deepEqual(others.map(({ reason }) => reason), []);
});

When(/^a caller sends ((?:a|something) .*)$/, async function(this: LimitsWorld, what: string) {
    const socket = sendRaw(this, what);
    const chunks: Buffer[] = [];
    socket.on("data", chunk => chunks.push(chunk));
    await waitUntil("an answer", () => Buffer.concat(chunks).includes("\r\n\r\n"));
    this.raw = Buffer.concat(chunks).toString();
});

Then(
    "the raw answer has status {int}, outcome {string} and reason {string}",
    function(this: LimitsWorld, status: number, outcome: string, reason: string) {
        assert.ok(this.raw.startsWith(`HTTP/1.1 ${status} `), this.raw);
        assert.match(this.raw, new RegExp(`flamingowell-outcome: ${outcome}\r\n`, "i"));
        assert.match(this.raw, new RegExp(`flamingowell-reason: ${reason}\r\n`, "i"));
    },
);

When("{int} callers send a head that never ends", async function(this: LimitsWorld, count: number) {
    const sockets = Array.from({ length: count }, () => sendRaw(this, "a head that never ends"));
    await Promise.all(sockets.map(socket => once(socket, "connect")));
});

Then("another caller is answered meanwhile", async function(this: LimitsWorld) {
    const answer = await call(`${firstGateway(this).origin}/beacon-check/kits/17`, { body: "x" });
    assert.equal(answer.status, 200);
    assert.ok(this.sockets.some(socket => !socket.destroyed), "the slow callers had gone before");
});

When("callers of priorities 9, 5, 0 and 9 wait behind a request", async function(this: LimitsWorld) {
    const { origin, gateway } = firstGateway(this);
    const calls = await holdFirstRequest(this);
    for (const [index, priority] of [9, 5, 0, 9].entries()) {
        const headers = { "flamingowell-priority": String(priority) };
        calls.push(call(`${origin}/beacon-check/priority-${priority}`, { body: "x", headers }));
        await waitUntil("the caller waits", () => gateway.waiting() === index + 1);
    }
    this.answerHeld();
    this.answers = await Promise.all(calls);
});

Then("they are served in the order of priorities 0, 5, 9 and 9", function(this: LimitsWorld) {
    const paths = this.upstreams[0]?.requests.map(({ path }) => path);
    assert.deepEqual(paths, ["/first", "/priority-0", "/priority-5", "/priority-9", "/priority-9"]);
    assert.deepEqual(this.answers.map(({ status }) => status), [200, 200, 200, 200, 200]);
});

When("a caller waits at most {int} ms behind a request", async function(this: LimitsWorld, deadline: number) {
    const calls = await holdFirstRequest(this);
    const headers = { "flamingowell-deadline": String(deadline) };
    this.answers.push(await call(`${firstGateway(this).origin}/beacon-check/second`, { body: "x", headers }));
    this.answerHeld();
    await Promise.all(calls);
});

When("a caller goes away while it waits behind a request", async function(this: LimitsWorld) {
    const calls = await holdFirstRequest(this);
    const { origin, gateway } = firstGateway(this);
    const leaving = new AbortController();
    const left = request(`${origin}/beacon-check/second`, { method: "POST", body: "x", signal: leaving.signal })
        .catch(() => undefined);
    await waitUntil("the caller waits", () => gateway.waiting() === 1);
    leaving.abort();
    await left;
    // The gateway hears of the closed connection a moment later.
    await pause(CLOSE_MILLISECONDS);
    this.answerHeld();
    await Promise.all(calls);
    await waitUntil("nobody waits", () => gateway.waiting() === 0);
    await pause(CLOSE_MILLISECONDS);
});

When("a caller sends its body {int} ms after a head that gives it {int} ms", async function(
    this: LimitsWorld,
    wait: number,
    deadline: number,
) {
    const { hostname, port } = new URL(firstGateway(this).origin);
    const socket = connectTcp(Number(port), hostname);
    this.sockets.push(socket);
    socket.write(`${target}content-length: 1\r\nconnection: close\r\n${headerNames.deadline}: ${deadline}\r\n\r\n`);
    await pause(wait);
    socket.write("x");
    const chunks: Buffer[] = [];
    socket.on("data", (chunk: Buffer) => chunks.push(chunk));
    await once(socket, "close");
    this.raw = Buffer.concat(chunks).toString();
});

Then(
    "the waiting caller gets status {int} with outcome {string} and reason {string}",
    function(this: LimitsWorld, status: number, outcome: string, reason: string) {
        const answer = this.answers.at(-1);
        assert.deepEqual([answer?.status, answer?.outcome, answer?.reason], [status, outcome, reason]);
    },
);

Then("only the first request arrived", function(this: LimitsWorld) {
    assert.deepEqual(this.upstreams[0]?.requests.map(({ path }) => path), ["/first"]);
});

When(
    "{int} callers call at once and wait at most {int} ms",
    { timeout: STEP_LIMIT_MILLISECONDS },
    async function(this: LimitsWorld, count: number, deadline: number) {
        const headers = { "flamingowell-deadline": String(deadline) };
        const { origin } = firstGateway(this);
        this.answers = await Promise.all(
            Array.from(
                { length: count },
                (unused, index) => call(`${origin}/beacon-check/kits/${index}`, { body: "x", headers }),
            ),
        );
    },
);

Then("some of them are answered, and some are refused as {string}", function(this: LimitsWorld, reason: string) {
    assert.ok(this.answers.some(({ status }) => status === 200));
    assert.ok(this.answers.some(answer => answer.reason === reason));
});

Then("nothing that was refused as not run had arrived", function(this: LimitsWorld) {
    const arrived = new Set(this.upstreams[0]?.requests.map(({ path }) => path));
    const refused = this.answers.flatMap(({ outcome }, index) => outcome === "not-run" ? [`/kits/${index}`] : []);
    assert.ok(refused.length > 0);
    assert.deepEqual(refused.filter(path => arrived.has(path)), []);
});
