/**
 * Steps for the reach of the store.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createStore } from "../../src/platform/adapters/store.js";
import { observeStore } from "../../src/platform/reach.js";
import type { ObservedStore } from "../../src/platform/reach.js";
import { createStoreStandIn, StoreStandInSettings } from "../../stand-ins/store/index.js";
import type { StoreStandIn } from "../../stand-ins/store/index.js";

const STORE_TIMEOUT_MILLISECONDS = 3_000;

interface ReachWorld {
    reachStandIn: StoreStandIn | undefined;
    observed: ObservedStore;
}

After(async function(this: ReachWorld) {
    await this.reachStandIn?.close();
});

Given("an observed store that nobody has called", async function(this: ReachWorld) {
    this.reachStandIn = await createStoreStandIn(StoreStandInSettings.parse({}));
    const origins = [this.reachStandIn.origin];
    this.observed = observeStore(createStore({ origins, timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS }));
});

When("the observed store is read", async function(this: ReachWorld) {
    await this.observed.read({ key: "/any" });
});

When("the observed store goes down and is read", async function(this: ReachWorld) {
    this.reachStandIn?.setFaults({ down: "reset" });
    await this.observed.read({ key: "/any" });
});

Then(/^the observed store counts as (reached|not reached)$/, function(this: ReachWorld, reach: string) {
    assert.equal(this.observed.isReachable(), reach === "reached");
});
