/**
 * Steps for verifying exported ledgers.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createStore } from "../../src/platform/adapters/store.js";
import type { WriteOperation } from "../../src/platform/store.js";
import { keyOfSegment } from "../../src/scheduler/ledger/head.js";
import type { Task } from "../../src/scheduler/ledger/task.js";
import { exportState } from "../../src/scheduler/queries/export.js";
import type { ExportedCell, ExportedState } from "../../src/scheduler/queries/export.js";
import { verifyState } from "../../src/scheduler/queries/verify.js";
import type { Verification } from "../../src/scheduler/queries/verify.js";
import { createFleet, waitUntil } from "./support/fleet.js";
import type { Fleet } from "./support/fleet.js";
import { createBatch, createService } from "./support/rules.js";

const LIMIT = { timeout: 60_000 };
const WORKERS = 2;
const MORE_THAN_SLOTS = 9;

interface VerifyWorld {
    fleet?: Fleet;
    state: ExportedState;
}

type Change = (cell: ExportedCell, state: ExportedState) => void;

/** Ways to corrupt an export; each changes the first cell that runs a batch task. */
const changes: Record<string, Change> = {
    "a task's spec is gone": cell => {
        cell.specs.splice(0);
    },
    "a running task has no worker": cell => {
        delete batchTask(cell).worker;
    },
    "a running task has made no attempt": cell => {
        batchTask(cell).attempt = 0;
    },
    "a segment of the log is gone": cell => {
        cell.segments.splice(0, 1);
    },
    "a chunk of the snapshot is gone": cell => {
        Object.assign(cell.head, { snapshotSequence: cell.head.sequence, snapshotChunks: 2 });
        cell.chunks = 1;
    },
    "a task stands twice": cell => {
        cell.tasks.push({ ...batchTask(cell) });
    },
    "a task is in two cells": (cell, state) => {
        state.cells.push({ ...cell, head: { ...cell.head, cell: "other-0" }, tasks: [batchTask(cell)] });
    },
    "an evicted task has made no attempt": cell => {
        delete batchTask(cell).worker;
        Object.assign(batchTask(cell), { state: "evicted", attempt: 0 });
    },
    "a finished task has a checkpoint": cell => {
        const task = batchTask(cell);
        delete task.worker;
        Object.assign(task, { state: "finished", checkpoint: "prep@0.5", checkpointProgress: 0.5 });
    },
    "a task has progress and no checkpoint": cell => {
        batchTask(cell).checkpointProgress = 0.5;
    },
    "an admission is gone": cell => {
        cell.admissions.splice(0);
    },
    "a run is newer than the admission": cell => {
        const task = batchTask(cell);
        task.taskId = task.taskId.replace("@once", "@1764830000");
    },
    "a worker holds more tasks than it has slots": cell => {
        const task = batchTask(cell);
        for (let index = 0; index < MORE_THAN_SLOTS; index += 1) {
            cell.tasks.push({ ...task, taskId: `season-prep@once/${100 + index}` });
        }
    },
};

function batchTask(cell: ExportedCell): Task {
    const task = cell.tasks.find(({ taskId }) => taskId.startsWith("season-prep"));
    assert.ok(task !== undefined, "the cell has no batch task");
    return task;
}

function findCell(state: ExportedState): ExportedCell {
    const cell = state.cells.find(({ tasks }) => tasks.some(({ taskId }) => taskId.startsWith("season-prep")));
    assert.ok(cell !== undefined, "no cell has a batch task");
    return cell;
}

function fleetOf(world: VerifyWorld): Fleet {
    assert.ok(world.fleet !== undefined);
    return world.fleet;
}

function storeOf(world: VerifyWorld) {
    return createStore({ origins: [fleetOf(world).store.origin], timeoutMilliseconds: 2_000 });
}

async function exportLedgers(world: VerifyWorld): Promise<ExportedState> {
    const state = await exportState(storeOf(world), Date.now());
    assert.ok(state.isOk, JSON.stringify(state));
    return state.value;
}

function verify(world: VerifyWorld): Verification {
    const { configuration, workers } = fleetOf(world);
    const current = configuration.current();
    assert.ok(current !== undefined);
    return verifyState({
        state: world.state,
        workers: workers.map(({ instance }) => instance),
        configuration: current,
    });
}

async function writeSegment(world: VerifyWorld, toWrite: (key: string) => WriteOperation): Promise<void> {
    const { head } = findCell(world.state);
    const key = keyOfSegment(head.cell, head.snapshotSequence + 1);
    const written = await storeOf(world).transact({ comparisons: [], writes: [toWrite(key)] });
    assert.ok(written.isOk && written.value.succeeded);
}

Given("the exported ledgers of a fleet that ran {int} replicas and {int} batch tasks", LIMIT, async function(
    this: VerifyWorld,
    replicas: number,
    tasks: number,
) {
    this.fleet = await createFleet({ levi: WORKERS });
    const running = this.fleet.startScheduler("entry-1", "levi");
    this.fleet.configuration.apply([
        createService("beacon-check", { replicas }),
        createBatch("season-prep", { tasks }),
    ]);
    await waitUntil("the ledger has all as running", async () => {
        this.state = await exportLedgers(this);
        const all = this.state.cells.flatMap(cell => cell.tasks);
        return all.filter(({ state }) => state === "running").length === replicas + tasks;
    });
    running.abort();
    await running.finished;
    this.state = await exportLedgers(this);
});

When(/^the export is changed so that (.+)$/, function(this: VerifyWorld, fault: string) {
    if (fault === "a rule is gone") {
        fleetOf(this).configuration.apply([createBatch("season-prep")]);
        return;
    }
    const change = changes[fault];
    assert.ok(change !== undefined, `no change ${fault}`);
    change(findCell(this.state), this.state);
});

When("a segment of a ledger is removed from the store", async function(this: VerifyWorld) {
    await writeSegment(this, key => ({ kind: "delete", key }));
});

When("a segment of a ledger is overwritten in the store", async function(this: VerifyWorld) {
    await writeSegment(this, key => ({ kind: "put", key, value: '{"sequence":' }));
});

Then("verifying them finds nothing in {int} placed tasks", function(this: VerifyWorld, placed: number) {
    const verification = verify(this);
    assert.deepEqual(verification.violations, []);
    assert.equal(verification.placed, placed);
});

Then("verifying them finds only violations of {string}", function(this: VerifyWorld, invariant: string) {
    const found = new Set(verify(this).violations.map(violation => violation.invariant));
    assert.deepEqual([...found], [invariant]);
});

Then("verifying a new export finds a violation of {string}", async function(this: VerifyWorld, invariant: string) {
    this.state = await exportLedgers(this);
    assert.ok(verify(this).violations.some(violation => violation.invariant === invariant));
});

Then("a new export fails and names the segment", async function(this: VerifyWorld) {
    const { head } = findCell(this.state);
    const state = await exportState(storeOf(this), Date.now());
    assert.ok(state.isErr);
    assert.ok(JSON.stringify(state.error).includes(keyOfSegment(head.cell, head.snapshotSequence + 1)));
});
