/**
 * Steps for cells and their owners, with schedulers and stand-ins in one process.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readRoutes } from "../../src/core/messages/routes.js";
import type { Route } from "../../src/core/messages/routes.js";
import { createStore } from "../../src/platform/adapters/store.js";
import type { Store } from "../../src/platform/store.js";
import { keyOfLive } from "../../src/scheduler/ledger/head.js";
import type { WorkerBehaviour } from "../../stand-ins/worker/index.js";
import { findOverlaps, listRunning } from "./support/check.js";
import { createFleet, waitUntil } from "./support/fleet.js";
import type { Fleet } from "./support/fleet.js";
import { createBatch, createService } from "./support/rules.js";

const FAST_WORK_SPEED = 600;
const STORE_TIMEOUT_MILLISECONDS = 5_000;
/** Time limit of steps that wait for a condition. */
const LIMIT = { timeout: 60_000 };

interface CellsWorld {
    dataCentres: Record<string, number>;
    behaviour: Partial<WorkerBehaviour>;
    fleet?: Fleet;
    startsBefore?: number;
}

Given(
    "data centres {string} with {int} workers and {string} with {int} workers",
    function(this: CellsWorld, first: string, firstCount: number, second: string, secondCount: number) {
        this.dataCentres = { [first]: firstCount, [second]: secondCount };
        this.behaviour = {};
    },
);

Given("workers do a minute's work in a moment", function(this: CellsWorld) {
    this.behaviour = { speed: FAST_WORK_SPEED };
});

Given(
    "a scheduler {string} in {string}",
    LIMIT,
    async function(this: CellsWorld, instance: string, dataCentre: string) {
        this.fleet ??= await createFleet(this.dataCentres, this.behaviour);
        this.fleet.startScheduler(instance, dataCentre);
    },
);

When(
    "the rules are {string} with {int} replicas and {string} with {int} tasks",
    function(this: CellsWorld, service: string, replicas: number, batch: string, tasks: number) {
        fleetOf(this).configuration.apply([createService(service, { replicas }), createBatch(batch, { tasks })]);
    },
);

When("there are no rules", function(this: CellsWorld) {
    fleetOf(this).configuration.apply([]);
});

When(
    "the scheduler {string} ends without a word and {string} in {string} starts",
    LIMIT,
    async function(this: CellsWorld, ending: string, starting: string, dataCentre: string) {
        const fleet = fleetOf(this);
        const scheduler = fleet.schedulers.find(candidate => candidate.instance === ending);
        scheduler?.abort();
        await scheduler?.finished;
        fleet.startScheduler(starting, dataCentre);
    },
);

Then(
    "{int} replicas of {string} and {int} tasks of {string} run",
    LIMIT,
    async function(this: CellsWorld, replicas: number, service: string, tasks: number, batch: string) {
        const { records } = fleetOf(this);
        await waitUntil("replicas and tasks run", () => {
            const running = listRunning(records);
            return running.filter(({ rule }) => rule === service).length === replicas
                && running.filter(({ rule }) => rule === batch).length === tasks;
        });
    },
);

Then("replicas of {string} run in both data centres", function(this: CellsWorld, service: string) {
    const { records, workers } = fleetOf(this);
    const places = new Set(
        listRunning(records).filter(({ rule }) => rule === service).map(({ worker }) =>
            workers.find(({ instance }) => instance.name === worker)?.instance.dataCentre
        ),
    );
    assert.equal(places.size, Object.keys(this.dataCentres).length);
});

Then("nothing runs", LIMIT, async function(this: CellsWorld) {
    await waitUntil("nothing runs", () => listRunning(fleetOf(this).records).length === 0);
});

Then("no task has run in two places at once", function(this: CellsWorld) {
    const { records } = fleetOf(this);
    assert.ok(records.some(({ event }) => event === "attempt-started"), "nothing was ever started");
    assert.deepEqual(findOverlaps(records), []);
});

Then("{int} tasks of {string} have finished", LIMIT, async function(this: CellsWorld, tasks: number, rule: string) {
    const { records } = fleetOf(this);
    await waitUntil(
        "tasks have finished",
        () =>
            records.filter(record =>
                record.event === "attempt-ended" && record.rule === rule && record.state === "finished"
            )
                .length === tasks,
    );
    await waitUntil(
        "their ends are committed",
        () => fleetOf(this).schedulers.every(({ scheduler }) => scheduler.ownedCells().every(cell => cell.tasks <= 2)),
    );
});

When("the liveness record of {string} is deleted", LIMIT, async function(this: CellsWorld, instance: string) {
    const answer = await connectStore(this).transact({
        comparisons: [{ key: keyOfLive(instance), target: "modRevision", relation: "greater", value: 0 }],
        writes: [{ kind: "delete", key: keyOfLive(instance) }],
    });
    assert.ok(answer.isOk && answer.value.succeeded, "there was no record to delete");
});

Then("the store has the liveness record of {string} again", LIMIT, async function(this: CellsWorld, instance: string) {
    await waitUntil("the record is back", async () => {
        const found = await connectStore(this).read({ key: keyOfLive(instance) });
        return found.isOk && found.value.entries.length === 1;
    });
});

When("the store hangs and the worker {string} is leaving", LIMIT, async function(this: CellsWorld, name: string) {
    const fleet = fleetOf(this);
    // A replica in the routes is committed as running.
    await waitUntil(
        "replicas are in the routes",
        async () => (await listRoutes(fleet)).some(({ worker, state }) => worker === name && state === "serving"),
    );
    const worker = fleet.workers.find(({ instance }) => instance.name === name);
    assert.ok(worker !== undefined, `no worker ${name}`);
    fleet.store.setFaults({ down: "hang" });
    fleet.instances.put({ ...worker.instance, state: "leaving" });
    this.startsBefore = countStarts(fleet, name);
});

Then("no route leads to {string} but as leaving", LIMIT, async function(this: CellsWorld, name: string) {
    await waitUntil("routes say that the worker leaves", async () => {
        const routes = await listRoutes(fleetOf(this));
        const there = routes.filter(({ worker }) => worker === name);
        return there.length > 0 && there.every(({ state }) => state === "leaving");
    });
});

When(
    "the store is back with {int} replicas of {string} asked for meanwhile",
    function(this: CellsWorld, replicas: number, service: string) {
        const fleet = fleetOf(this);
        fleet.configuration.apply([createService(service, { replicas })]);
        fleet.store.setFaults({ down: "no" });
    },
);

Then(
    "{int} replicas of {string} run, none of them on {string}",
    LIMIT,
    async function(this: CellsWorld, replicas: number, service: string, name: string) {
        await waitUntil("replicas run elsewhere", () => {
            const running = listRunning(fleetOf(this).records).filter(({ rule }) => rule === service);
            return running.length === replicas && running.every(({ worker }) => worker !== name);
        });
    },
);

Then("nothing was started on {string} after it began to leave", function(this: CellsWorld, name: string) {
    assert.equal(countStarts(fleetOf(this), name), this.startsBefore);
});

When("the rule {string} with {int} tasks is applied", function(this: CellsWorld, batch: string, tasks: number) {
    fleetOf(this).configuration.apply([createBatch(batch, { tasks })]);
});

Then("all {int} tasks are in the ledgers", LIMIT, async function(this: CellsWorld, tasks: number) {
    await waitUntil("all tasks are admitted", async () => countTasks(fleetOf(this)) === tasks);
});

When(
    "the rule is replaced by an urgent service {string} with {int} replicas",
    function(this: CellsWorld, service: string, replicas: number) {
        fleetOf(this).configuration.apply([createService(service, { replicas, priority: 0 })]);
    },
);

Then("{int} replicas of {string} run", LIMIT, async function(this: CellsWorld, replicas: number, service: string) {
    await waitUntil(
        "replicas run",
        () => listRunning(fleetOf(this).records).filter(({ rule }) => rule === service).length === replicas,
    );
});

Then("nothing of {string} runs or waits", LIMIT, async function(this: CellsWorld, batch: string) {
    const fleet = fleetOf(this);
    await waitUntil(
        "all tasks have ended",
        () => listRunning(fleet.records).every(({ rule }) => rule !== batch) && countTasks(fleet) <= 2,
    );
});

Then("the store has refused no write for its size", function(this: CellsWorld) {
    const counts = fleetOf(this).store.counts();
    assert.ok(counts.writes > 0);
    assert.equal(counts.refusedBySize, 0);
});

Then("{string} owns all cells", LIMIT, async function(this: CellsWorld, instance: string) {
    const fleet = fleetOf(this);
    const scheduler = fleet.schedulers.find(candidate => candidate.instance === instance);
    await waitUntil(
        "all cells are owned",
        () => scheduler?.scheduler.ownedCells().length === Object.keys(this.dataCentres).length,
    );
});

Then(
    "{int} attempts of {string} were started in all",
    LIMIT,
    async function(this: CellsWorld, count: number, rule: string) {
        const fleet = fleetOf(this);
        // Once the replicas of a new service run, the next owner has planned all rules.
        fleet.configuration.apply([
            ...fleet.configuration.current()?.documents.flatMap(({ rules }) => rules) ?? [],
            createService("proof-of-plan", { replicas: 2, line: 3 }),
        ]);
        await waitUntil(
            "the successor has planned",
            () => listRunning(fleet.records).filter(running => running.rule === "proof-of-plan").length === 2,
        );
        const started = fleet.records.filter(record => record.event === "attempt-started" && record.rule === rule);
        assert.equal(started.length, count);
    },
);

After(LIMIT, async function(this: CellsWorld) {
    await this.fleet?.close();
});

function connectStore(world: CellsWorld): Store {
    const { origin } = fleetOf(world).store;
    return createStore({ origins: [origin], timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS });
}

function fleetOf(world: CellsWorld): Fleet {
    if (world.fleet === undefined) {
        throw new Error("no fleet has been started");
    }
    return world.fleet;
}

function countTasks(fleet: Fleet): number {
    const cells = fleet.schedulers.flatMap(({ scheduler }) => scheduler.ownedCells());
    return cells.reduce((sum, { tasks }) => sum + tasks, 0);
}

function countStarts(fleet: Fleet, worker: string): number {
    return fleet.records.filter(record => record.event === "attempt-started" && record.worker === worker).length;
}

async function listRoutes(fleet: Fleet): Promise<Route[]> {
    const handler = fleet.schedulers[0]?.scheduler.handlers.find(({ name }) => name === readRoutes.name);
    const answer = readRoutes.answer.parse(await handler?.handle({ known: [], waitMilliseconds: 0 }));
    return answer.cells.flatMap(({ routes }) => routes);
}
