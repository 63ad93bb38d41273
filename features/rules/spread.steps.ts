/**
 * Steps for the distribution of rules between processes.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { createCatalog } from "../../src/configuration/catalog.js";
import type { Catalog } from "../../src/configuration/catalog.js";
import { HEAD_KEY, rulesKey } from "../../src/configuration/record.js";
import type { RevisedRecord } from "../../src/configuration/record.js";
import { applyRules } from "../../src/operator/messages.js";
import { createStore } from "../../src/platform/adapters/store.js";
import { commitRecord } from "../../src/platform/commit.js";
import { operatorsOf, waitFor } from "../membership/fleet.js";
import type { FleetNode } from "../membership/fleet.js";
import { STEP_LIMIT_MILLISECONDS } from "./fleet.steps.js";
import type { FleetWorld } from "./fleet.steps.js";

const SEED = 20_261_204;
const TEAM = "rental-desk";
const TEXT = "service beacon-check --cores 2 --memory 4GiB --until 2031-05-31 # Aino";
const limit = { timeout: STEP_LIMIT_MILLISECONDS };

interface SpreadWorld extends FleetWorld {
    revision: number;
    catalog: Catalog;
}

When("rules are accepted and the store goes down at once", limit, async function(this: SpreadWorld) {
    await accept(this);
    this.nodeFleet.store.setFaults({ down: "reset" });
});

When(/^rules are accepted(?: through a process)?$/, limit, async function(this: SpreadWorld) {
    await accept(this);
});

When("the links of instance {int} are cut, also to the store", async function(this: SpreadWorld, instance: number) {
    await setLinks(this, instance, true);
});

When("the links of instance {int} heal", async function(this: SpreadWorld, instance: number) {
    await setLinks(this, instance, false);
});

When("reads of the store become stale", function(this: SpreadWorld) {
    this.nodeFleet.store.setFaults({ staleReads: true });
});

When("watches of the store fall silent", function(this: SpreadWorld) {
    this.nodeFleet.store.setFaults({ silentWatches: true });
});

When("watches of the store break", function(this: SpreadWorld) {
    this.nodeFleet.store.setFaults({ breakWatches: true });
});

When("the store is back", function(this: SpreadWorld) {
    this.nodeFleet.store.setFaults({ down: "no" });
});

When("rules are written to the store by none of the processes", async function(this: SpreadWorld) {
    const store = createStore({ origins: [this.nodeFleet.store.origin], timeoutMilliseconds: 1_000 });
    const written = await commitRecord(store, {
        key: rulesKey(TEAM),
        body: createRecord(TEAM, 0).record,
        expectedRevision: 0,
        alongside: [{ kind: "put", key: HEAD_KEY, value: TEAM }],
    });
    assert.ok(written.isOk);
    this.revision = written.value;
});

When("the gateway of instance {int} is killed and restarts", limit, async function(
    this: SpreadWorld,
    instance: number,
) {
    const gateway = this.nodeFleet.nodes.find(node => node.name === `entry-${instance}/gateway`);
    assert.ok(gateway !== undefined);
    await this.nodeFleet.kill(gateway);
    await this.nodeFleet.restart(gateway);
});

Then("every process has them in force", limit, async function(this: SpreadWorld) {
    await waitForRevision(this, this.nodeFleet.nodes);
});

Then("every process but those of instance {int} has them in force", limit, async function(
    this: SpreadWorld,
    instance: number,
) {
    await waitForRevision(this, this.nodeFleet.nodes.filter(node => node.instance !== `entry-${instance}`));
});

Then("the processes of instance {int} have them not", async function(this: SpreadWorld, instance: number) {
    for (const node of this.nodeFleet.nodes.filter(candidate => candidate.instance === `entry-${instance}`)) {
        const report = await this.nodeFleet.read(node);
        assert.ok(report.revision < this.revision, `${node.name} is at ${report.revision}`);
    }
});

Then("every process has asked its peers and knows no rules", limit, async function(this: SpreadWorld) {
    for (const node of this.nodeFleet.nodes) {
        await waitFor(`${node.name} has asked its peers`, async () => (await this.nodeFleet.read(node)).messages >= 20);
        assert.equal((await this.nodeFleet.read(node)).revision, -1);
    }
});

Then("every process knows the rules", limit, async function(this: SpreadWorld) {
    for (const node of this.nodeFleet.nodes) {
        await waitFor(`${node.name} knows the rules`, async () => (await this.nodeFleet.read(node)).revision >= 0);
    }
});

Then("no process has seen a revision fall", async function(this: SpreadWorld) {
    for (const node of this.nodeFleet.nodes) {
        const { revisions } = await this.nodeFleet.read(node);
        assert.ok(revisions.length > 0, `${node.name} has seen no revision`);
        const numbers = revisions.map(seen => seen.revision);
        assert.deepEqual(numbers, numbers.toSorted((left, right) => left - right), node.name);
        assert.equal(numbers[0], this.revision, `${node.name} started below what was in force`);
    }
});

Given(
    "a catalog that knows revisions {int} of {string} and {int} of {string}, complete up to {int}",
    function(
        this: SpreadWorld,
        first: number,
        firstTeam: string,
        second: number,
        secondTeam: string,
        complete: number,
    ) {
        this.catalog = createCatalog();
        this.catalog.merge([createRecord(firstTeam, first), createRecord(secondTeam, second)], complete);
    },
);

When("records {int} of {string} and {int} of {string} arrive late", function(
    this: SpreadWorld,
    first: number,
    firstTeam: string,
    second: number,
    secondTeam: string,
) {
    const { changed } = this.catalog.merge([createRecord(firstTeam, first), createRecord(secondTeam, second)], 4);
    assert.equal(changed, false);
});

Then("the catalog has revisions {int} of {string} and {int} of {string}", function(
    this: SpreadWorld,
    first: number,
    firstTeam: string,
    second: number,
    secondTeam: string,
) {
    assert.equal(this.catalog.revisionOf(firstTeam), first);
    assert.equal(this.catalog.revisionOf(secondTeam), second);
    assert.equal(this.catalog.configuration().revision, Math.max(first, second));
});

Then(
    "whatever order and number of times records arrive in, no team's revision falls and the newest is kept",
    () => {
        const teams = ["desk", "bookings", "mill"];
        const arrival = fastCheck.record({
            team: fastCheck.constantFrom(...teams),
            revision: fastCheck.integer({ min: 1, max: 30 }),
            complete: fastCheck.nat({ max: 30 }),
        });
        fastCheck.assert(
            fastCheck.property(fastCheck.array(arrival, { maxLength: 30 }), arrivals => {
                const catalog = createCatalog();
                const newest = new Map<string, number>();
                for (const { team, revision, complete } of arrivals) {
                    newest.set(team, Math.max(revision, newest.get(team) ?? 0));
                    const before = catalog.configuration().revision;
                    catalog.merge([createRecord(team, revision)], complete);
                    assert.ok(catalog.configuration().revision >= before);
                    teams.forEach(name => assert.equal(catalog.revisionOf(name), newest.get(name) ?? 0));
                }
            }),
            { seed: SEED, numRuns: 300 },
        );
    },
);

async function accept(world: SpreadWorld): Promise<void> {
    const answer = await world.nodeFleet.rpc.call(operatorsOf(world.nodeFleet.nodes[0]), applyRules, {
        team: TEAM,
        text: TEXT,
        baseRevision: 0,
        applyId: "first",
        by: "Aino",
    });
    assert.ok(answer.isOk && answer.value.outcome === "accepted", JSON.stringify(answer));
    world.revision = answer.value.revision;
}

async function setLinks(world: SpreadWorld, instance: number, cut: boolean): Promise<void> {
    const nodes = world.nodeFleet.nodes.filter(node => node.instance === `entry-${instance}`);
    await Promise.all(nodes.map(node => world.nodeFleet.setLinks(node, { cut })));
}

async function waitForRevision(world: SpreadWorld, nodes: readonly FleetNode[]): Promise<void> {
    for (const node of nodes) {
        await waitFor(
            `${node.name} has revision ${world.revision} in force`,
            async () => (await world.nodeFleet.read(node)).revision === world.revision,
        );
    }
}

function createRecord(team: string, revision: number): RevisedRecord {
    const record = { team, text: TEXT, appliedBy: "Aino", appliedAtMilliseconds: 0, sequence: 1, applyId: "first" };
    return { revision, record };
}
