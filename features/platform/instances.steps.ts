/**
 * Steps for the instance list, read through its adapter.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { request } from "undici";
import { createInstanceList } from "../../src/platform/adapters/instances.js";
import type { InstanceList, PlatformInstance } from "../../src/platform/instances.js";
import { createInstancesStandIn, InstancesStandInSettings } from "../../stand-ins/instances/index.js";
import type { InstancesStandIn } from "../../stand-ins/instances/index.js";

interface InstancesWorld {
    listStandIn: InstancesStandIn;
    instanceList: InstanceList;
    listed: readonly PlatformInstance[];
}

function createWorker(index: number): PlatformInstance {
    return {
        kind: "worker",
        name: `levi-${index}`,
        dataCentre: "levi",
        state: "live",
        rack: 0,
        shape: { slots: 8, cores: 32, memoryBytes: 1, accelerators: 0, connections: 64 },
        controlOrigin: "http://127.0.0.1:1",
        serveOrigin: "http://127.0.0.1:1",
    };
}

Given("an instance list with {int} workers", async function(this: InstancesWorld, count: number) {
    const workers = [...Array(count).keys()].map(createWorker);
    this.listStandIn = await createInstancesStandIn(InstancesStandInSettings.parse({}), workers);
    this.instanceList = createInstanceList({ origin: this.listStandIn.origin, timeoutMilliseconds: 2_000 });
});

After(async function(this: Partial<InstancesWorld>) {
    await this.listStandIn?.close();
});

When("the list is read {int} time(s)", async function(this: InstancesWorld, times: number) {
    for (let read = 0; read < times; read += 1) {
        const answer = await this.instanceList.list();
        assert.ok(answer.isOk, JSON.stringify(answer));
        this.listed = answer.value;
    }
});

When("a worker is taken off the list", function(this: InstancesWorld) {
    this.listStandIn.remove("levi-0");
});

Then("the last list has {int} worker(s)", function(this: InstancesWorld, count: number) {
    assert.equal(this.listed.length, count);
});

Then("{int} of the reads were answered without content", async function(this: InstancesWorld, count: number) {
    const answer = await request(`${this.listStandIn.origin}/stand-in/counts`);
    assert.equal((await answer.body.json() as { unchanged: number; }).unchanged, count);
});
