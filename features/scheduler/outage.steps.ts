/**
 * Steps for store outages and for two failures at once, with real processes.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { request } from "undici";
import { createInstanceList } from "../../src/platform/adapters/instances.js";
import { findOverlaps, listRunning } from "./support/check.js";
import {
    CALL_LIMIT_MILLISECONDS,
    deploymentOf,
    LIMIT,
    readCell,
    readRecords,
    readRunning,
    startLoaded,
} from "./support/deployed.js";
import type { TakeoverWorld } from "./support/deployed.js";
import { waitUntil } from "./support/fleet.js";

const INSTANCES = 3;
const WORKERS = 4;
const BATCH = "prep";
const SERVICE = "desk";

interface OutageWorld extends TakeoverWorld {
    silent: string;
}

Given(
    /^owners that may go on without the store for (\d+) ms under leases of (\d+) ms run (\d+) replicas and (\d+) batch tasks$/,
    LIMIT,
    async function(this: OutageWorld, horizon: string, lease: string, replicas: string, tasks: string) {
        await startLoaded(this, {
            instances: INSTANCES,
            workers: WORKERS,
            replicas: Number(replicas),
            tasks: Number(tasks),
            cells: { horizonMilliseconds: Number(horizon), workerLeaseMilliseconds: Number(lease) },
        });
    },
);

Given("a worker leaves, so that its batch tasks resume elsewhere from a checkpoint", LIMIT, async function(
    this: OutageWorld,
) {
    const worker = await findBatchWorker(this);
    const moved = (await readBatchRuns(this)).filter(run => run.worker === worker).length;
    const count = this.before.length;
    const { instancesOrigin } = deploymentOf(this);
    const listed = await createInstanceList({
        origin: instancesOrigin,
        timeoutMilliseconds: CALL_LIMIT_MILLISECONDS,
    }).list();
    assert.ok(listed.isOk && moved > 0);
    const instance = listed.value.find(({ name }) => name === worker);
    const answer = await request(`${instancesOrigin}/stand-in/instances/${worker}`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ ...instance, state: "leaving" }),
    });
    await answer.body.dump();
    await waitUntil("all runs elsewhere", async () => {
        const running = listRunning(await readRecords(this));
        return running.length === count && running.every(run => run.worker !== worker);
    });
    await waitUntil(
        "the ledger has it as running",
        async () =>
            (await readCell(deploymentOf(this))).tasks.filter(({ state }) => state === "running").length === count,
    );
    this.before = await readRunning(this);
});

When("the store is out of service until all batch tasks have lapsed", LIMIT, async function(this: OutageWorld) {
    await setStore(this, "unavailable");
    await waitUntil("all batch tasks have lapsed", async () => (await readBatchRuns(this)).length === 0);
    const ends = (await readRecords(this)).filter(record =>
        record.event === "attempt-ended" && record.rule === BATCH && record.state === "lapsed"
    );
    assert.ok(ends.length > 0);
});

When("the store is out of service and the owner of the cell is killed", LIMIT, async function(this: OutageWorld) {
    await recordOwner(this);
    await setStore(this, "unavailable");
    await this.owner.scheduler.kill();
});

When("the store is back in service", LIMIT, async function(this: OutageWorld) {
    await setStore(this, "no");
});

When("a worker with batch tasks falls silent and the owner of the cell is killed", LIMIT, async function(
    this: OutageWorld,
) {
    await recordOwner(this);
    this.silent = await findBatchWorker(this);
    await setSilent(this, true);
    await this.owner.scheduler.kill();
});

When("the silent worker has let its tasks lapse and answers again", LIMIT, async function(this: OutageWorld) {
    await waitUntil(
        "its tasks have lapsed",
        async () => !listRunning(await readRecords(this)).some(({ worker }) => worker === this.silent),
    );
    await setSilent(this, false);
});

Then("the replicas of before still run", LIMIT, async function(this: OutageWorld) {
    const running = new Set(await readRunning(this));
    const replicas = this.before.filter(run => run.startsWith(`${SERVICE}/`));
    assert.ok(replicas.length > 0);
    assert.deepEqual(replicas.filter(run => !running.has(run)), []);
});

Then("all that ran before the outage still runs", async function(this: OutageWorld) {
    const running = new Set(await readRunning(this));
    assert.deepEqual(this.before.filter(run => !running.has(run)), []);
});

Then("{int} batch tasks run", LIMIT, async function(this: OutageWorld, count: number) {
    await waitUntil("the batch tasks run", async () => (await readBatchRuns(this)).length === count);
});

Then("each batch task runs again from the checkpoint that it had", LIMIT, async function(this: OutageWorld) {
    const tasks = this.before.filter(run => run.startsWith(BATCH)).length;
    await waitUntil("the batch tasks run", async () => (await readBatchRuns(this)).length === tasks);
    const starts = (await readRecords(this)).flatMap(record =>
        record.event === "attempt-started" && record.rule === BATCH ? [record] : []
    );
    const running = await readBatchRuns(this);
    const resumed = running.map(({ taskId }) =>
        starts.filter(start => start.taskId === taskId).slice(-2).map(({ resumedProgress }) => resumedProgress)
    );
    assert.deepEqual(resumed.filter(([before, after]) => before !== after), []);
    assert.ok(resumed.some(([before]) => before !== undefined && before > 0), "no task had a checkpoint");
});

Then("nothing ran in two places at once", async function(this: OutageWorld) {
    assert.deepEqual(findOverlaps(await readRecords(this)), []);
});

async function recordOwner(world: OutageWorld): Promise<void> {
    const { head } = await readCell(deploymentOf(world));
    const owner = deploymentOf(world).instances.find(({ name }) => name === head.holder.instance);
    assert.ok(owner !== undefined, "the cell has no owner");
    world.owner = owner;
    world.epoch = head.epoch;
}

async function setStore(world: OutageWorld, down: "no" | "unavailable"): Promise<void> {
    const deployment = deploymentOf(world);
    await deployment.setFaults(deployment.storeOrigin, { down });
}

async function setSilent(world: OutageWorld, silent: boolean): Promise<void> {
    const deployment = deploymentOf(world);
    const worker = deployment.workers.find(({ name }) => name === world.silent);
    assert.ok(worker !== undefined);
    await deployment.setFaults(worker.control, { silent });
}

async function readBatchRuns(world: OutageWorld) {
    return listRunning(await readRecords(world)).filter(({ rule }) => rule === BATCH);
}

async function findBatchWorker(world: OutageWorld): Promise<string> {
    const [first] = await readBatchRuns(world);
    assert.ok(first !== undefined);
    return first.worker;
}
