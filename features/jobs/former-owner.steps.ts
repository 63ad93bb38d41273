/**
 * Steps for owners that lose the store but not the other processes, on the stand-in of the users' platform.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { JobsProcess } from "../../stand-ins/users-platform/deployment.js";
import { ownerOf, runningProcesses, runsOf, submit, waitUntil } from "./world.js";
import type { PathWorld } from "./world.js";

const LIMIT = { timeout: 60_000 };
const TASK_MILLISECONDS = 600_000;
const TASK_MILLICORES = 1_500;

When("a caller submits job {string} of one lasting task", LIMIT, async function(this: PathWorld, id: string) {
    await submit(this, id, {
        spec: JSON.stringify({ milliseconds: TASK_MILLISECONDS, millicores: TASK_MILLICORES }),
        steps: [{ count: 1, cpu: TASK_MILLICORES, memMb: 100, longRunning: true }],
    });
    await waitUntil(() => runsOf(this, id).length > 0, "the task has started");
});

When(
    "the worker that runs it is gone for good, and the store answers the owner nothing any more",
    LIMIT,
    async function(this: PathWorld) {
        const { store, workers } = this.usersPlatform;
        const owner = await ownerOf(this);
        const lost = workers.find(({ id }) => id === runsOf(this, this.submittedId)[0]?.worker);
        assert.ok(lost !== undefined);
        await lost.close();
        store.remove(`servers/${lost.id}`);
        this.cutOffProcess = owner;
        store.fault = (_, client) => client === owner.name ? "silent" : "none";
    },
);

Then(
    "another process takes the cell over and starts the task again before the former owner's horizon is over",
    LIMIT,
    async function(this: PathWorld) {
        await waitUntil(() => runsOf(this, this.submittedId).length > 1, "the task has been started again");
        const successor = await ownerOf(this);
        assert.notEqual(successor.name, this.cutOffProcess.name);
        await waitUntil(() => successor.events.some(({ event }) => event === "start-ordered"), "the start is logged");
        const settings = findEvent(successor, "starting")["settings"] as { cell: { horizonMilliseconds: number; }; };
        const takeover = findEvent(successor, "cell-owned");
        const start = findEvent(successor, "start-ordered");
        const waited = timeOf(start) - timeOf(takeover);
        assert.ok(waited < settings.cell.horizonMilliseconds, `started ${waited} ms after the takeover`);
    },
);

Then("the former owner still runs, and is still cut off", function(this: PathWorld) {
    const { cutOffProcess, usersPlatform: { store } } = this;
    assert.ok(runningProcesses(this).includes(cutOffProcess));
    assert.equal(store.fault("/kv-txn", cutOffProcess.name), "silent");
});

function findEvent({ events, name }: JobsProcess, event: string): JobsProcess["events"][number] {
    const found = events.findLast(logged => logged.event === event);
    assert.ok(found !== undefined, `${name} has not logged ${event}`);
    return found;
}

function timeOf(logged: JobsProcess["events"][number]): number {
    return Date.parse(String(logged["time"]));
}
