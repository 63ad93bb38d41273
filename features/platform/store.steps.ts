/**
 * Steps for the store stand-in, driven through the store adapter.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Result } from "true-myth/result";
import { request } from "undici";
import { fail } from "../../src/core/errors.js";
import type { Failure } from "../../src/core/errors.js";
import { pause } from "../../src/core/time.js";
import { createStore } from "../../src/platform/adapters/store.js";
import { commitRecord } from "../../src/platform/commit.js";
import type { Store, StoreLease, TransactionAnswer } from "../../src/platform/store.js";
import { createStoreStandIn, StoreFaultChange, StoreStandInSettings } from "../../stand-ins/store/index.js";
import type { StoreStandIn } from "../../stand-ins/store/index.js";

const STORE_TIMEOUT_MILLISECONDS = 3_000;
const POLL_MILLISECONDS = 10;
const PAGE_SIZE = 2;

/** A store stand-in, and what the latest calls have given. */
export interface StoreWorld {
    standIn: StoreStandIn;
    store: Store;
    lease: StoreLease;
    written: Result<TransactionAnswer, Failure>;
    writes: Result<TransactionAnswer, Failure>[];
    firstValue: string | undefined;
    committed: Result<number, Failure>;
    watchStop: AbortController;
    seen: string[];
    watchEnd: Promise<Result<void, Failure>>;
    posted: { status: number; text: string; };
}

Given("a store stand-in with the settings {string}", async function(this: StoreWorld, settings: string) {
    this.standIn = await createStoreStandIn(StoreStandInSettings.parse(JSON.parse(settings)));
    this.store = createStore({ origins: [this.standIn.origin], timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS });
    this.watchStop = new AbortController();
    this.seen = [];
});

After(async function(this: Partial<StoreWorld>) {
    this.watchStop?.abort();
    await this.standIn?.close();
});

When("{string} is written where it does not exist", async function(this: StoreWorld, key: string) {
    const value = `value ${this.standIn.counts().writes}`;
    this.firstValue ??= value;
    this.written = await this.store.transact({
        comparisons: [{ key, target: "modRevision", relation: "equal", value: 0 }],
        writes: [{ kind: "put", key, value }],
        readOnConflict: [key],
    });
});

Then("the write {string} at revision {int}", function(this: StoreWorld, outcome: string, revision: number) {
    const answer = unwrap(this.written);
    assert.equal(answer.succeeded, outcome === "succeeded");
    assert.equal(answer.revision, revision);
});

Then("the conflicting entry has the value of the first write", function(this: StoreWorld) {
    assert.equal(unwrap(this.written).conflicting[0]?.value, this.firstValue);
});

Given("the keys {string} are written", async function(this: StoreWorld, keys: string) {
    for (const key of keys.split(",")) {
        unwrap(await put(this.store, key, "x"));
    }
});

Given("{int} writes to {string}", async function(this: StoreWorld, count: number, key: string) {
    this.writes = await Promise.all(Array.from({ length: count }, () => put(this.store, key, "x")));
});

Then("the prefix {string} reads {string} and then {string}", async function(
    this: StoreWorld,
    prefix: string,
    first: string,
    second: string,
) {
    const page = unwrap(await this.store.read({ key: prefix, prefix: true, limit: PAGE_SIZE, keysOnly: true }));
    assert.equal(page.entries.map(entry => entry.key).join(","), first);
    assert.equal(page.more, second !== "");
    if (second !== "") {
        const after = page.entries.at(-1)?.key ?? "";
        const next = unwrap(
            await this.store.read({ key: prefix, after, prefix: true, limit: PAGE_SIZE }),
        );
        assert.equal(next.entries.map(entry => entry.key).join(","), second);
    }
});

Given("{string} is written under a lease of {int} second(s)", async function(
    this: StoreWorld,
    key: string,
    ttlSeconds: number,
) {
    this.lease = unwrap(await this.store.grantLease(ttlSeconds));
    unwrap(
        await this.store.transact({
            comparisons: [],
            writes: [{ kind: "put", key, value: "x", leaseId: this.lease.leaseId }],
        }),
    );
});

When("the lease is renewed and then revoked", async function(this: StoreWorld) {
    assert.equal(unwrap(await this.store.renewLease(this.lease.leaseId)).ttlSeconds, this.lease.ttlSeconds);
    assert.equal((await this.store.revokeLease(this.lease.leaseId)).isOk, true);
});

Then("renewing the lease fails as {string}", async function(this: StoreWorld, code: string) {
    assert.equal(codeOf(await this.store.renewLease(this.lease.leaseId)), code);
});

Given("a watch on {string} from revision {int}", function(this: StoreWorld, prefix: string, fromRevision: number) {
    this.watchEnd = this.store.watch({
        prefix,
        fromRevision,
        signal: this.watchStop.signal,
        onEvents: events => this.seen.push(...events.map(event => `${event.kind} ${event.entry.key}`)),
    });
});

Then("the watch sees {string}", async function(this: StoreWorld, event: string) {
    while (!this.seen.includes(event)) {
        await pause(POLL_MILLISECONDS);
    }
    const earlier = this.seen.splice(0, this.seen.indexOf(event) + 1);
    assert.equal(earlier.at(-1), event);
});

Then("the watch ends as {string}", async function(this: StoreWorld, code: string) {
    assert.equal(codeOf(await this.watchEnd), code);
});

When("the store has the faults {string}", async function(this: StoreWorld, faults: string) {
    // Watches that are to be broken have to be open first.
    while (this.standIn.counts().calls.watch > this.standIn.counts().openWatches) {
        await pause(POLL_MILLISECONDS);
    }
    if (faults.includes("breakWatches")) {
        while (this.standIn.counts().openWatches === 0) {
            await pause(POLL_MILLISECONDS);
        }
    }
    this.standIn.setFaults(StoreFaultChange.parse(JSON.parse(faults)));
});

When("a record is committed under {string}", async function(this: StoreWorld, key: string) {
    this.committed = await commitRecord(this.store, { key, body: { count: 1 }, expectedRevision: 0 });
});

When(
    "a commit of {string} on condition that {string} does not exist is lost while {string} is written",
    async function(this: StoreWorld, key: string, absent: string, written: string) {
        let isLost = false;
        const losing: Store = {
            ...this.store,
            transact: async transaction => {
                if (isLost) {
                    return this.store.transact(transaction);
                }
                isLost = true;
                unwrap(await put(this.store, written, "x"));
                return fail("ambiguous", "transact", "the message was lost");
            },
        };
        this.committed = await commitRecord(losing, {
            key,
            body: { count: 1 },
            expectedRevision: 0,
            comparisons: [{ key: absent, target: "modRevision", relation: "equal", value: 0 }],
        });
    },
);

When("a commit of {string} takes effect, but its answer never comes", async function(this: StoreWorld, key: string) {
    const unanswering: Store = {
        ...this.store,
        transact: async transaction => {
            await this.store.transact(transaction);
            return new Promise(() => undefined);
        },
    };
    this.committed = await commitRecord(unanswering, { key, body: { count: 1 }, expectedRevision: 0 });
});

Then("the commit fails as {string}", function(this: StoreWorld, code: string) {
    assert.equal(codeOf(this.committed), code);
});

Then("the commit gives a revision", function(this: StoreWorld) {
    assert.ok(unwrap(this.committed) > 1);
});

Then("the store's counts show {int} {string}", function(this: StoreWorld, count: number, name: "lostAnswers") {
    assert.equal(this.standIn.counts()[name], count);
});

Then("a write of {string} fails as {string}", async function(this: StoreWorld, key: string, code: string) {
    assert.equal(codeOf(await put(this.store, key, "x")), code);
});

Then("a read of {string} fails as {string}", async function(this: StoreWorld, key: string, code: string) {
    assert.equal(codeOf(await this.store.read({ key })), code);
});

Then("some writes have failed as {string} and the others count {int} or more", function(
    this: StoreWorld,
    code: string,
    least: number,
) {
    const failed = this.writes.filter(write => write.isErr);
    assert.ok(failed.length > 0, "no write was refused");
    assert.deepEqual([...new Set(failed.map(codeOf))], [code]);
    assert.ok(this.writes.length - failed.length >= least);
    assert.equal(this.standIn.counts().revision - 1, this.writes.length - failed.length);
});

When("{int} bytes are written to {string}", async function(this: StoreWorld, size: number, key: string) {
    this.written = await put(this.store, key, "x".repeat(size));
});

Then("the write has failed as {string}", function(this: StoreWorld, code: string) {
    assert.equal(codeOf(this.written), code);
});

When("{string} is posted to {string}", async function(this: StoreWorld, body: string, path: string) {
    const answer = await request(this.standIn.origin + path, { method: "POST", body });
    this.posted = { status: answer.statusCode, text: await answer.body.text() };
});

Then("the store answers status {int} naming {string}", function(this: StoreWorld, status: number, text: string) {
    assert.equal(this.posted.status, status);
    assert.ok(this.posted.text.includes(text), this.posted.text);
});

Then("the store's counts show {int} {string} calls and {int} {string} calls", function(
    this: StoreWorld,
    watches: number,
    watch: "watch",
    transactions: number,
    transaction: "txn",
) {
    assert.equal(this.standIn.counts().calls[watch], watches);
    assert.equal(this.standIn.counts().calls[transaction], transactions);
});

function put(store: Store, key: string, value: string): Promise<Result<TransactionAnswer, Failure>> {
    return store.transact({ comparisons: [], writes: [{ kind: "put", key, value }] });
}

/** Returns the value of a result that has to be ok. */
export function unwrap<Value>(result: Result<Value, Failure>): Value {
    assert.ok(result.isOk, JSON.stringify(result));
    return result.value;
}

function codeOf<Value>(result: Result<Value, Failure>): string {
    return result.isErr ? result.error.code : "ok";
}
