/**
 * Steps for applies of rules through gateways' operators' ports.
 */
import { Before, Given, Then, When } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import type { Result } from "true-myth/result";
import type { z } from "zod";
import type { Failure } from "../../src/core/errors.js";
import { applyRules, listHistory, revertRules, showRules } from "../../src/operator/messages.js";
import type { ApplyAnswer } from "../../src/operator/messages.js";
import { operatorsOf } from "../membership/fleet.js";
import type { FleetNode } from "../membership/fleet.js";
import type { FleetWorld } from "./fleet.steps.js";

const SEED = 20_261_204;
const TOKEN = "fleet-token";

type ApplyParams = z.input<typeof applyRules.params>;

interface ApplyWorld extends FleetWorld {
    applyAnswer: Result<ApplyAnswer, Failure>;
    previous: Result<ApplyAnswer, Failure>;
    both: Result<ApplyAnswer, Failure>[];
    applyCalls: Map<string, ApplyParams>;
    applyRevisions: Map<string, number>;
    last: ApplyParams;
}

Before(function(this: ApplyWorld) {
    this.applyCalls = new Map();
    this.applyRevisions = new Map();
});

Given("the store loses the answer of the next write", function(this: ApplyWorld) {
    this.nodeFleet.store.setFaults({ loseAnswers: 1 });
});

Given("a worker of {int} cores in {string}", function(this: ApplyWorld, cores: number, dataCentre: string) {
    this.nodeFleet.instanceList.put({
        kind: "worker",
        name: "worker-1",
        dataCentre,
        state: "live",
        rack: 0,
        shape: { slots: 8, cores, memoryBytes: 125_000_000_000, accelerators: 0, connections: 64 },
        controlOrigin: "http://127.0.0.1:1",
        serveOrigin: "http://127.0.0.1:1",
    });
});

When(
    /^"(.*)" applies to "(.*)" at (base 0|the base in force) through instance (\d) as "(.*)":$/,
    async function(
        this: ApplyWorld,
        by: string,
        team: string,
        base: string,
        instance: string,
        applyId: string,
        text: string,
    ) {
        const baseRevision = base === "base 0" ? 0 : await readRevision(this, team);
        await applyThrough(this, { team, text, baseRevision, applyId, by }, Number(instance));
    },
);

When("the same apply is made through instance {int}", async function(this: ApplyWorld, instance: number) {
    this.previous = this.applyAnswer;
    await applyThrough(this, this.last, instance);
});

When("the apply {string} is made again through instance {int}", async function(
    this: ApplyWorld,
    applyId: string,
    instance: number,
) {
    const call = this.applyCalls.get(applyId);
    assert.ok(call !== undefined);
    this.applyAnswer = await this.nodeFleet.rpc.call(operatorsOf(gatewayOf(this, instance)), applyRules, call);
});

When(
    "{string} and {string} apply different rules to {string} at the same time through two instances",
    async function(this: ApplyWorld, first: string, second: string, team: string) {
        const callBy = (by: string): ApplyParams => ({
            team,
            text: `service of-${by.toLowerCase()} --cores 2 --memory 4GiB --until 2031-05-31 # ${by}`,
            baseRevision: 0,
            applyId: by,
            by,
        });
        this.both = await Promise.all([
            this.nodeFleet.rpc.call(operatorsOf(gatewayOf(this, 1)), applyRules, callBy(first)),
            this.nodeFleet.rpc.call(operatorsOf(gatewayOf(this, 2)), applyRules, callBy(second)),
        ]);
    },
);

When("{string} reverts {string} to version {int} through instance {int}", async function(
    this: ApplyWorld,
    by: string,
    team: string,
    sequence: number,
    instance: number,
) {
    const baseRevision = await readRevision(this, team);
    this.applyAnswer = await this.nodeFleet.rpc.call(operatorsOf(gatewayOf(this, instance)), revertRules, {
        team,
        sequence,
        baseRevision,
        applyId: "revert",
        by,
    });
});

Then(/^the apply is rejected with errors on lines (.*)$/, function(this: ApplyWorld, lines: string) {
    const answer = answerOf(this.applyAnswer);
    assert.equal(answer.outcome, "rejected");
    assert.deepEqual(answer.failures.map(failure => failure.path?.[1]), lines.split(", ").map(Number));
});

Then("the apply is accepted as a change", function(this: ApplyWorld) {
    const answer = answerOf(this.applyAnswer);
    assert.equal(answer.outcome, "accepted");
    assert.equal(answer.changed, true);
});

Then("the apply is accepted at the same revision without a change", function(this: ApplyWorld) {
    const previous = answerOf(this.previous);
    const answer = answerOf(this.applyAnswer);
    assert.ok(previous.outcome === "accepted" && answer.outcome === "accepted");
    assert.equal(answer.revision, previous.revision);
    assert.equal(answer.changed, false);
});

Then("the apply is accepted at the revision of {string}", function(this: ApplyWorld, applyId: string) {
    const answer = answerOf(this.applyAnswer);
    assert.equal(answer.outcome, "accepted");
    assert.equal(answer.revision, this.applyRevisions.get(applyId));
});

Then("one apply is accepted and the other is a conflict that shows the accepted line", function(this: ApplyWorld) {
    const answers = this.both.map(answerOf);
    const accepted = answers.find(answer => answer.outcome === "accepted");
    const conflict = answers.find(answer => answer.outcome === "conflict");
    assert.ok(accepted !== undefined && conflict !== undefined, JSON.stringify(answers));
    assert.equal(conflict.current.revision, accepted.revision);
    assert.deepEqual(conflict.changesSinceBase, accepted.changes);
    assert.equal(conflict.changesSinceBase.length, 1);
});

Then("the store has lost {int} answers", function(this: ApplyWorld, count: number) {
    assert.equal(this.nodeFleet.store.counts().lostAnswers, count);
});

Then("{string} has {int} versions", async function(this: ApplyWorld, team: string, count: number) {
    assert.equal((await readVersions(this, team)).length, count);
});

Then("the newest version of {string} is by {string} and changed {int} rules", async function(
    this: ApplyWorld,
    team: string,
    by: string,
    count: number,
) {
    const [newest] = await readVersions(this, team);
    assert.equal(newest?.version.appliedBy, by);
    assert.equal(newest.changes.length, count);
});

Then("the rules in force of {string} are those of {string}", async function(
    this: ApplyWorld,
    team: string,
    applyId: string,
) {
    const shown = await this.nodeFleet.rpc.call(operatorsOf(gatewayOf(this, 1)), showRules, { team });
    assert.ok(shown.isOk);
    assert.equal(shown.value.versions[0]?.text, this.applyCalls.get(applyId)?.text);
});

Then("{int} arbitrary bodies to the operators' port and the peers' port of instance {int} are answered", async function(
    this: ApplyWorld,
    runs: number,
    instance: number,
) {
    const { announcement } = gatewayOf(this, instance).process;
    const methods = ["rules.apply", "rules.show", "rules.spread", "configuration.read", "membership.probe", "nothing"];
    const body = fastCheck.oneof(
        fastCheck.string({ unit: "binary" }),
        fastCheck.json(),
        fastCheck.record({
            jsonrpc: fastCheck.constantFrom("2.0", "1.0"),
            id: fastCheck.oneof(fastCheck.integer(), fastCheck.string()),
            method: fastCheck.constantFrom(...methods),
            params: fastCheck.oneof(fastCheck.jsonValue(), fastCheck.object()),
        }).map(value => JSON.stringify(value)),
    );
    await fastCheck.assert(
        fastCheck.asyncProperty(body, fastCheck.constantFrom("peers", "operators"), async (text, port) => {
            const answer = await fetch(`${announcement[port] ?? ""}/rpc`, {
                method: "POST",
                headers: { authorization: `Bearer ${TOKEN}` },
                body: text,
            });
            const content = await answer.text();
            assert.ok([200, 204, 400].includes(answer.status), `${answer.status} to ${text}`);
            assert.ok(!content.includes('"result":{"outcome":"accepted"'), `accepted: ${text}`);
        }),
        { seed: SEED, numRuns: runs },
    );
});

Then("instance {int} still knows the rules", async function(this: ApplyWorld, instance: number) {
    const report = await this.nodeFleet.read(gatewayOf(this, instance));
    assert.ok(report.revision >= 0);
});

async function applyThrough(world: ApplyWorld, call: ApplyParams, instance: number): Promise<void> {
    world.applyAnswer = await world.nodeFleet.rpc.call(operatorsOf(gatewayOf(world, instance)), applyRules, call);
    world.last = call;
    world.applyCalls.set(call.applyId, call);
    if (world.applyAnswer.isOk && world.applyAnswer.value.outcome === "accepted") {
        world.applyRevisions.set(call.applyId, world.applyAnswer.value.revision);
    }
}

function gatewayOf(world: FleetWorld, instance: number): FleetNode {
    const node = world.nodeFleet.nodes.find(candidate => candidate.name === `entry-${instance}/gateway`);
    assert.ok(node !== undefined);
    return node;
}

function answerOf(answer: Result<ApplyAnswer, Failure>): ApplyAnswer {
    assert.ok(answer.isOk, answer.isErr ? JSON.stringify(answer.error) : "");
    return answer.value;
}

async function readRevision(world: FleetWorld, team: string): Promise<number> {
    const shown = await world.nodeFleet.rpc.call(operatorsOf(gatewayOf(world, 1)), showRules, { team });
    assert.ok(shown.isOk);
    return shown.value.versions[0]?.revision ?? 0;
}

async function readVersions(
    world: FleetWorld,
    team: string,
): Promise<z.output<typeof listHistory.answer>["entries"]> {
    const history = await world.nodeFleet.rpc.call(operatorsOf(gatewayOf(world, 1)), listHistory, { team });
    assert.ok(history.isOk);
    return history.value.entries;
}
