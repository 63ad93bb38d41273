/**
 * Steps for names of rules and the teams that own them.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { z } from "zod";
import { createCatalog } from "../../src/configuration/catalog.js";
import { rulesKey } from "../../src/configuration/record.js";
import type { RevisedRecord } from "../../src/configuration/record.js";
import { applyRules } from "../../src/operator/messages.js";
import type { ApplyAnswer } from "../../src/operator/messages.js";
import { createStore } from "../../src/platform/adapters/store.js";
import type { Store } from "../../src/platform/store.js";
import { createStoreStandIn, StoreStandInSettings } from "../../stand-ins/store/index.js";
import type { StoreStandIn } from "../../stand-ins/store/index.js";
import { operatorsOf } from "../membership/fleet.js";
import { STEP_LIMIT_MILLISECONDS } from "./fleet.steps.js";
import type { FleetWorld } from "./fleet.steps.js";
import { createSurface } from "./surface.js";
import type { SurfaceCall } from "./surface.js";

const STORE_TIMEOUT_MILLISECONDS = 5_000;

interface NamesWorld extends FleetWorld {
    nameStandIn?: StoreStandIn;
    nameStore: Store;
    nameCall: SurfaceCall;
    /** Runs once, just before the next write. */
    beforeWrite: (() => Promise<unknown>) | undefined;
    nameAnswer: ApplyAnswer;
    nameAnswers: ApplyAnswer[];
    nameRecords: RevisedRecord[];
}

After(async function(this: Partial<NamesWorld>) {
    await this.nameStandIn?.close();
});

Given("the store takes {int} ms for each call", function(this: NamesWorld, slowMilliseconds: number) {
    this.nodeFleet.store.setFaults({ slowMilliseconds });
});

When(
    "{string} and {string} apply a rule {string} at the same time through two instances",
    { timeout: STEP_LIMIT_MILLISECONDS },
    async function(this: NamesWorld, first: string, second: string, name: string) {
        const gateways = this.nodeFleet.nodes.filter(node => node.name.endsWith("gateway"));
        const answers = await Promise.all(
            [first, second].map((team, index) =>
                this.nodeFleet.rpc.call(operatorsOf(gateways[index]), applyRules, writeApply(team, [name], 0))
            ),
        );
        this.nameAnswers = answers.map(answer => {
            assert.ok(answer.isOk, answer.isErr ? JSON.stringify(answer.error) : "");
            return answer.value;
        });
    },
);

Then("one team has the name and the other is told that it has not", function(this: NamesWorld) {
    assert.deepEqual(this.nameAnswers.map(answer => answer.outcome).sort(), ["accepted", "rejected"]);
    const rejected = this.nameAnswers.find(answer => answer.outcome === "rejected");
    assert.match(rejected?.failures[0]?.message ?? "", /is a rule of team/);
});

Given("a store of its own", async function(this: NamesWorld) {
    this.nameStandIn = await createStoreStandIn(StoreStandInSettings.parse({}));
    this.nameStore = createStore({
        origins: [this.nameStandIn.origin],
        timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    });
    const store: Store = {
        ...this.nameStore,
        transact: async transaction => {
            const { beforeWrite } = this;
            this.beforeWrite = undefined;
            await beforeWrite?.();
            return this.nameStore.transact(transaction);
        },
    };
    this.nameCall = createSurface({ store, clock: () => 0 });
});

Given("{string} applies {string} just before the next write", function(this: NamesWorld, team: string, names: string) {
    this.beforeWrite = () => applyNames(this, team, names.split(", "));
});

When("{string} applies {string} to the store", async function(this: NamesWorld, team: string, names: string) {
    this.nameAnswer = await applyNames(this, team, names.split(", "));
});

When("{string} applies {int} rules to the store", async function(this: NamesWorld, team: string, count: number) {
    this.nameAnswer = await applyNames(this, team, Array.from({ length: count }, (_, index) => `rule-${index}`));
});

Then("the apply to the store is accepted", function(this: NamesWorld) {
    assert.equal(this.nameAnswer.outcome, "accepted", JSON.stringify(this.nameAnswer));
});

Then("the apply to the store is refused because of {string}", function(this: NamesWorld, reason: string) {
    assert.ok(this.nameAnswer.outcome === "rejected", JSON.stringify(this.nameAnswer));
    assert.match(this.nameAnswer.failures[0]?.message ?? "", new RegExp(reason));
});

Then("the store has no rules of {string}", async function(this: NamesWorld, team: string) {
    assert.equal(await readRevision(this, team), 0);
});

Given(
    "revision {int} of {string} with {string} and revision {int} without",
    function(this: NamesWorld, first: number, team: string, name: string, second: number) {
        this.nameRecords = [writeRecord(team, first, [name]), writeRecord(team, second, ["season-prep"])];
    },
);

Given("revision {int} of {string} with {string}", function(
    this: NamesWorld,
    revision: number,
    team: string,
    name: string,
) {
    this.nameRecords.push(writeRecord(team, revision, [name]));
});

Then(
    "a process that receives these in any order never has {string} twice and in the end from {string}",
    function(this: NamesWorld, name: string, team: string) {
        const [first, second, third] = this.nameRecords;
        assert.ok(first !== undefined && second !== undefined && third !== undefined);
        for (const order of [[first, second, third], [first, third, second], [third, first, second]]) {
            const catalog = createCatalog();
            let owners: string[] = [];
            for (const record of order) {
                catalog.merge([record], 0);
                owners = catalog.configuration().documents
                    .filter(document => document.rules.some(rule => rule.name === name))
                    .map(document => document.team);
                assert.ok(owners.length <= 1, `${owners.join(", ")} have ${name}`);
            }
            assert.deepEqual(owners, [team]);
        }
    },
);

function writeApply(team: string, names: readonly string[], baseRevision: number): z.input<typeof applyRules.params> {
    return { team, text: writeText(names), baseRevision, applyId: `${team} ${names.join(" ")}`, by: "Aino" };
}

function writeText(names: readonly string[]): string {
    return names.map(name => `service ${name} --cores 2 --memory 4GiB --until 2999-05-31 # Aino`).join("\n");
}

function writeRecord(team: string, revision: number, names: readonly string[]): RevisedRecord {
    const record = {
        team,
        text: writeText(names),
        appliedBy: "Aino",
        appliedAtMilliseconds: 0,
        sequence: 1,
        applyId: "1",
    };
    return { revision, record };
}

async function applyNames(world: NamesWorld, team: string, names: readonly string[]): Promise<ApplyAnswer> {
    const baseRevision = await readRevision(world, team);
    return await world.nameCall(applyRules.name, writeApply(team, names, baseRevision)) as ApplyAnswer;
}

async function readRevision(world: NamesWorld, team: string): Promise<number> {
    const found = await world.nameStore.read({ key: rulesKey(team) });
    assert.ok(found.isOk);
    return found.value.entries[0]?.modRevision ?? 0;
}
