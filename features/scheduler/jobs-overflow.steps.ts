/**
 * Steps for tasks that move from a full cell to others.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import createDebug from "debug";
import assert from "node:assert/strict";
import { createStore } from "../../src/platform/adapters/store.js";
import type { BatchRule } from "../../src/rules/rule.js";
import { Transfer } from "../../src/scheduler/jobs/transfer.js";
import { checkOverflow } from "./model/overflow.js";
import type { OverflowOutcome } from "./model/overflow.js";
import { listRunning } from "./support/check.js";
import { createFleet, waitUntil } from "./support/fleet.js";
import type { Fleet } from "./support/fleet.js";
import { createBatch } from "./support/rules.js";

const LIMIT = { timeout: 60_000 };
const OVERFLOW = { overflowAfterMilliseconds: 500, workerLeaseMilliseconds: 3_000 };
const TRANSFERS = "scheduler/transfers/";
/** Eight of these tasks fill a worker. */
const TASK = { cores: 4, memoryBytes: 1_073_741_824, accelerators: 0 };

interface OverflowWorld {
    dataCentres: Record<string, number>;
    fleet?: Fleet;
    startsBefore?: number;
    outcome?: OverflowOutcome;
}

function fleetOf(world: OverflowWorld): Fleet {
    assert.ok(world.fleet !== undefined, "no fleet has been started");
    return world.fleet;
}

function createLargeBatch(name: string, tasks: number): BatchRule {
    return createBatch(name, { tasks, resources: TASK, expectedSeconds: 3_600 });
}

async function listTransfers(fleet: Fleet): Promise<Transfer[]> {
    const store = createStore({ origins: [fleet.store.origin], timeoutMilliseconds: 1_000 });
    const found = await store.read({ key: TRANSFERS, prefix: true });
    assert.ok(found.isOk, "the store did not answer");
    return found.value.entries.map(({ value }) => Transfer.parse(JSON.parse(value)));
}

function countRunning(fleet: Fleet, rule: string): number {
    return listRunning(fleet.records).filter(running => running.rule === rule).length;
}

function countStarts(fleet: Fleet, rule: string): number {
    return fleet.records.filter(record => record.event === "attempt-started" && record.rule === rule).length;
}

async function startBoth(world: OverflowWorld, names: readonly [string, string]): Promise<void> {
    world.fleet ??= await createFleet(world.dataCentres);
    world.fleet.startScheduler(names[0], "levi", OVERFLOW);
    world.fleet.startScheduler(names[1], "rovaniemi", OVERFLOW);
}

Given(
    "schedulers in both data centres that give tasks up after half a second",
    LIMIT,
    async function(this: OverflowWorld) {
        await startBoth(this, ["entry-1", "entry-2"]);
    },
);

Given(
    "a scheduler in {string} only that gives tasks up after half a second",
    LIMIT,
    async function(this: OverflowWorld, dataCentre: string) {
        this.fleet = await createFleet(this.dataCentres);
        this.fleet.startScheduler("entry-1", dataCentre, OVERFLOW);
    },
);

When(
    "{string} with {int} tasks that fill the workers is applied",
    function(this: OverflowWorld, name: string, tasks: number) {
        fleetOf(this).configuration.apply([createLargeBatch(name, tasks)]);
    },
);

When("the rule {string} is removed", function(this: OverflowWorld, name: string) {
    const { configuration } = fleetOf(this);
    const rules = configuration.current()?.documents.flatMap(document => document.rules) ?? [];
    configuration.apply(rules.filter(rule => rule.name !== name));
});

When(
    "workers in {string} fall silent while the rule {string} is removed and applied again",
    LIMIT,
    async function(this: OverflowWorld, dataCentre: string, name: string) {
        const fleet = fleetOf(this);
        const rules = fleet.configuration.current()?.documents.flatMap(document => document.rules) ?? [];
        const silent = fleet.workers.filter(({ instance }) => instance.dataCentre === dataCentre);
        this.startsBefore = countStarts(fleet, name);
        silent.forEach(worker => worker.setFaults({ silent: true }));
        fleet.configuration.apply([]);
        await waitUntil("the removal is noted", async () => {
            const store = createStore({ origins: [fleet.store.origin], timeoutMilliseconds: 1_000 });
            const found = await store.read({ key: `scheduler/assignments/${name}` });
            return found.isOk && found.value.entries.some(({ value }) => value.includes("removedRevision"));
        });
        fleet.configuration.apply(rules);
        await waitUntil(
            "leases in the data centre have lapsed",
            () => listRunning(fleet.records).every(({ worker }) => !worker.startsWith(`${dataCentre}-`)),
        );
        silent.forEach(worker => worker.setFaults({ silent: false }));
    },
);

When(
    "both cells are given up without a word while tasks are on offer",
    LIMIT,
    async function(this: OverflowWorld) {
        const fleet = fleetOf(this);
        await waitUntil("tasks are on offer", async () => (await listTransfers(fleet)).length > 0);
        const [scheduler] = fleet.schedulers;
        scheduler?.abort();
        await scheduler?.finished;
    },
);

When("schedulers in both data centres start", LIMIT, async function(this: OverflowWorld) {
    await startBoth(this, ["entry-2", "entry-3"]);
});

Then("{int} tasks of {string} run", LIMIT, async function(this: OverflowWorld, count: number, rule: string) {
    await waitUntil(`${count} tasks run`, () => countRunning(fleetOf(this), rule) === count);
});

Then("{int} tasks of {string} run again", LIMIT, async function(this: OverflowWorld, count: number, rule: string) {
    const fleet = fleetOf(this);
    await waitUntil(`${count} tasks run again`, () =>
        countRunning(fleet, rule) === count
        && countStarts(fleet, rule) >= (this.startsBefore ?? 0) + count);
});

Then("each task of {string} was started once", function(this: OverflowWorld, rule: string) {
    const started = fleetOf(this).records.flatMap(record =>
        record.event === "attempt-started" && record.rule === rule ? [record.taskId] : []
    );
    assert.equal(started.length, new Set(started).size);
});

Then("the store has seen tasks on offer that were taken back", LIMIT, async function(this: OverflowWorld) {
    await waitUntil(
        "offers are taken back",
        async () => (await listTransfers(fleetOf(this))).some(({ from, to }) => to !== undefined && from === to),
    );
});

Then("no transfer is left in the store", LIMIT, async function(this: OverflowWorld) {
    await waitUntil("transfers are gone", async () => (await listTransfers(fleetOf(this))).length === 0);
});

When(
    "{int} histories of full cells are played from seed {int}",
    { timeout: 300_000 },
    async function(this: OverflowWorld, runs: number, seed: number) {
        const namespaces = createDebug.disable();
        try {
            this.outcome = await checkOverflow(seed, runs);
        }
        finally {
            createDebug.enable(namespaces);
        }
    },
);

Then("every task has finished and some were taken by another cell", function(this: OverflowWorld) {
    assert.ok(this.outcome !== undefined && this.outcome.finished > 0, "nothing was played");
    assert.ok(this.outcome.moved > 0, "no task moved");
});
