/**
 * Steps for entries that other writers leave in the platform's store.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { decodeWorker } from "../../platform/workers.js";
import { Member, OwnerRecord } from "../../src/jobs/ownership/records.js";
import { runningProcesses } from "./world.js";
import type { PathWorld } from "./world.js";

interface EntryWorld extends PathWorld {
    /** JSON text of each field. */
    fields: Map<string, string>;
}

const ID = "worker-0";

function describeEntry(): Map<string, string> {
    return new Map(
        Object.entries({
            service: "desk",
            address: "127.0.0.1:8140",
            zone: "levi",
            state: "ready",
            born: 1_000,
            capacity: { cpu: 8_000, memMb: 64_000, gpu: 0 },
            labels: ["a"],
        }).map(([name, value]) => [name, JSON.stringify(value)]),
    );
}

function formatEntry(fields: ReadonlyMap<string, string>): string {
    return `{${[...fields].map(([name, json]) => `${JSON.stringify(name)}:${json}`).join(",")}}`;
}

function nestLists(depth: number): string {
    return "[".repeat(depth) + "]".repeat(depth);
}

Given("the entry of a worker", function(this: EntryWorld) {
    this.fields = describeEntry();
    assert.ok(decodeWorker(ID, formatEntry(this.fields)).isOk);
});

When(/^another writer sets its (\w+) to (.*)$/, function(this: EntryWorld, field: string, json: string) {
    this.fields.set(field, json);
});

Then(/^it is not taken for a worker, and the failure names (.*)$/, function(this: EntryWorld, place: string) {
    const decoded = decodeWorker(ID, formatEntry(this.fields));
    assert.ok(decoded.isErr, "the entry was taken");
    assert.equal(decoded.error.path?.join("."), place);
    assert.equal(decoded.error.step, `servers/${ID}`);
});

Then("an entry of {int} nested lists is not taken for a worker", function(depth: number) {
    assert.ok(decodeWorker(ID, nestLists(depth)).isErr);
});

Then("neither is an entry whose labels are {int} nested lists", function(depth: number) {
    assert.ok(decodeWorker(ID, formatEntry(describeEntry().set("labels", nestLists(depth)))).isErr);
});

Then("one with {int} nested lists in a field that nobody reads is", function(depth: number) {
    assert.ok(decodeWorker(ID, formatEntry(describeEntry().set("extra", nestLists(depth)))).isOk);
});

Then("an entry under the id {string} is not taken for a worker", function(id: string) {
    assert.ok(decodeWorker(id, formatEntry(describeEntry())).isErr);
});

Then(/^the record of (a member|an owner) at port (-?\d+) is not taken$/, function(kind: string, port: string) {
    const place = { instance: "entry-0", incarnation: "first", host: "127.0.0.1", port: Number(port) };
    const parsed = kind === "a member"
        ? Member.safeParse({ ...place, dataCentre: "levi", processorShare: 1 })
        : OwnerRecord.safeParse({ ...place, cell: "main", epoch: 1, isReleased: false });
    assert.deepEqual(parsed.error?.issues.map(({ path }) => path.join(".")), ["port"]);
});

When("another writer leaves odd entries among those of the workers", function(this: EntryWorld) {
    const { store } = this.usersPlatform;
    const entry = JSON.parse(formatEntry(describeEntry())) as object;
    store.write("servers/odd-port", { ...entry, address: "127.0.0.1:99999" });
    store.write("servers/odd-host", { ...entry, address: "nowhere in particular" });
    store.write("servers/wörker", entry);
    store.write("servers/", entry);
    store.write("servers/odd-number", { ...entry, born: 1e300 });
    store.write("servers/odd-labels", { ...entry, labels: [[[["a"]]]] });
    store.write("servers/odd-list", []);
});

Then("every process that was started still runs", function(this: EntryWorld) {
    assert.equal(runningProcesses(this).length, this.usersPlatform.processes.length);
});
