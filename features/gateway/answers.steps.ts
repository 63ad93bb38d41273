/**
 * Steps for whole answers.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { answerWhole } from "./support/upstream.js";
import type { ArrivedRequest, Behaviour } from "./support/upstream.js";
import { call, firstGateway, startService } from "./support/world.js";
import type { RequestWorld } from "./support/world.js";

const LONG_BYTES = 262_144;
const BUFFER_BYTES = 4_096;
const LIMIT_BYTES = 524_288;
const OVERSIZED_BYTES = 600_000;
const LENGTH_OF_ALL = "content-length: ";

const SHORT = "short";
const LONG = "a".repeat(LONG_BYTES);

const head = (...lines: string[]) => `HTTP/1.1 200 OK\r\n${lines.map(line => `${line}\r\n`).join("")}\r\n`;
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

const FAULTS: Record<string, Behaviour> = {
    "truncated": (request, socket) => socket.end(head(`${LENGTH_OF_ALL}100`) + SHORT),
    "chunked and cut": (request, socket) => socket.end(head("transfer-encoding: chunked") + chunk(SHORT)),
    "another's": (request, socket) =>
        socket.write(head(`${LENGTH_OF_ALL}${SHORT.length}`, "flamingowell-request-id: of-another") + SHORT),
    "oversized": (request, socket) => socket.write(head(`${LENGTH_OF_ALL}${OVERSIZED_BYTES}`)),
    "without an end": (request, socket) => socket.end(head("connection: close") + SHORT),
    "lost": (request, socket) => socket.destroy(),
    "long": (request, socket) => socket.write(head(`${LENGTH_OF_ALL}${LONG_BYTES}`) + LONG),
    "long and truncated": (request, socket) => socket.end(head(`${LENGTH_OF_ALL}${LONG_BYTES + 1}`) + LONG),
    "long, chunked and cut": (request, socket) => socket.end(head("transfer-encoding: chunked") + chunk(LONG)),
    "long and oversized": (request, socket) => {
        socket.write(head("transfer-encoding: chunked") + chunk(LONG) + chunk(LONG) + chunk(LONG) + chunk(""));
    },
};

Given(/^a service with (\d+) replicas?$/, async function(this: RequestWorld, count: string) {
    await startService(this, {
        replicas: Number(count),
        settings: { answerBufferBytes: BUFFER_BYTES, answerLimitBytes: LIMIT_BYTES },
    });
});

Given(/^every replica answers with a body that is (.*)$/, function(this: RequestWorld, fault: string) {
    const behaviour = FAULTS[fault];
    assert.ok(behaviour !== undefined, `no fault ${fault}`);
    this.upstreams.forEach(upstream => upstream.behave(behaviour));
});

Given(
    "the replica answers the path {string} only when the next request has arrived",
    function(this: RequestWorld, path: string) {
        let late: (() => void) | undefined;
        this.upstreams[0]?.behave((request: ArrivedRequest, socket) => {
            if (request.path === path) {
                late = () => answerWhole(request, socket);
                return;
            }
            late?.();
            answerWhole(request, socket);
        });
    },
);

When("a caller posts {string} to {string}", async function(this: RequestWorld, body: string, path: string) {
    this.answers.push(await call(firstGateway(this).origin + path, { body }));
});

When(
    "a caller posts {string} to {string} and waits at most {int} ms",
    async function(this: RequestWorld, body: string, path: string, deadline: number) {
        const headers = { "flamingowell-deadline": String(deadline) };
        this.answers.push(await call(firstGateway(this).origin + path, { body, headers }));
    },
);

Then("the caller gets status {int} and {string}", function(this: RequestWorld, status: number, body: string) {
    const answer = this.answers.at(-1);
    assert.deepEqual([answer?.status, answer?.body], [status, body]);
});

Then(
    "the caller gets status {int} with outcome {string} and reason {string}",
    function(this: RequestWorld, status: number, outcome: string, reason: string) {
        const { status: seenStatus, outcome: seenOutcome, reason: seenReason } = this.answers.at(-1) ?? {};
        assert.deepEqual([seenStatus, seenOutcome, seenReason], [status, outcome, reason]);
    },
);

Then("the caller gets a whole answer of {int} bytes", function(this: RequestWorld, size: number) {
    const answer = this.answers.at(-1);
    assert.deepEqual([answer?.status, answer?.body.length, answer?.error], [200, size, undefined]);
});

Then("the caller's connection breaks before the answer is whole", function(this: RequestWorld) {
    assert.notEqual(this.answers.at(-1)?.error, undefined);
});

Then("the request was sent once", function(this: RequestWorld) {
    assert.equal(this.upstreams.flatMap(({ requests }) => requests).length, 1);
});

Then("the refusal {string} was counted once", async function(this: RequestWorld, reason: string) {
    assert.equal(await firstGateway(this).count("flamingowell_refusals_total", { reason }), 1);
});

Then("the upstream received the attempt, the deadline and the gateway", function(this: RequestWorld) {
    const arrived = this.upstreams.flatMap(({ requests }) => requests);
    assert.equal(arrived.length, 1);
    const headers = arrived[0]?.headers;
    assert.match(headers?.get("flamingowell-attempt") ?? "", /^beacon-check-\d#1$/);
    assert.ok(Number(headers?.get("flamingowell-deadline")) > Date.now());
    assert.match(headers?.get("flamingowell-gateway") ?? "", /^entry-1\//);
});
