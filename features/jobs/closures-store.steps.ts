/**
 * Steps for closures in the operators' store, with the platform's adapter and a stand-in of the store.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { followClosures } from "../../platform/closures.js";
import type { ClosureFollower } from "../../platform/closures.js";
import { createStore } from "../../platform/store.js";
import type { Logger } from "../../src/core/log.js";
import { pause, systemClock } from "../../src/core/time.js";
import { createUsersStore } from "../../stand-ins/users-platform/store.js";
import type { UsersStore } from "../../stand-ins/users-platform/store.js";
import { silentLog } from "./successions.js";

interface ClosureStoreWorld {
    closureStore: UsersStore;
    follower: ClosureFollower;
    closureWatchEnd: AbortController;
    sentAt: number;
}

const LIMIT = { timeout: 20_000 };
/** Longest wait for a change to be known. */
const NEWS_LIMIT_MILLISECONDS = 10_000;
const LOOK_MILLISECONDS = 10;
/** Longest wait of the stand-in's watches. */
const WATCH_MILLISECONDS = 2_500;

/** Time between a look at the clock and the sending of a read; far less than the store's delay. */
const LATENESS_MILLISECONDS = 100;
const PREFIX = "op/evacuate/";
const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

After(LIMIT, async function(this: Partial<ClosureStoreWorld>) {
    this.closureWatchEnd?.abort();
    await this.closureStore?.close();
});

Given("the operators' store, and an instance that watches its closures", async function(this: ClosureStoreWorld) {
    this.closureStore = createUsersStore(systemClock);
    this.closureWatchEnd = new AbortController();
    const { address } = await this.closureStore.listen("instance");
    const store = createStore({ origin: `http://${address}`, busyPrefixes: [] });
    this.follower = followClosures(store, systemClock, silentLog, silentLogger);
    void this.follower.run(this.closureWatchEnd.signal);
});

When(
    "the operators close {string} and write what cannot be read for {string}",
    function(this: ClosureStoreWorld, first: string, second: string) {
        this.closureStore.write(PREFIX + first, {});
        this.closureStore.write(PREFIX + second, ["not", "an", "object"]);
    },
);

When("the operators reopen {string}", function(this: ClosureStoreWorld, dataCentre: string) {
    this.closureStore.remove(PREFIX + dataCentre);
});

When(
    "the store is away, and {string} is reopened while it forgets its history",
    LIMIT,
    async function(this: ClosureStoreWorld, dataCentre: string) {
        this.closureStore.fault = () => "refused";
        // The present watch ends without an event before the change.
        await pause(WATCH_MILLISECONDS);
        this.closureStore.remove(PREFIX + dataCentre);
        this.closureStore.compact();
    },
);

When("the operators' store is back", function(this: ClosureStoreWorld) {
    this.closureStore.fault = () => "none";
});

When(
    "a read of the closures is sent, and answered {int} ms later",
    async function(this: ClosureStoreWorld, milliseconds: number) {
        this.closureStore.delay = () => milliseconds;
        this.sentAt = systemClock();
        assert.ok((await this.follower.refresh()).isOk);
    },
);

When("the store is away, and a read is sent", LIMIT, async function(this: ClosureStoreWorld) {
    this.closureStore.fault = () => "refused";
    assert.ok((await this.follower.refresh()).isErr);
});

Then(
    "the instance knows {string} to be closed",
    LIMIT,
    async function(this: ClosureStoreWorld, names: string) {
        const wanted = names.split(", ").sort().join();
        const found = (): string => [...this.follower.closed()].sort().join();
        const limit = systemClock() + NEWS_LIMIT_MILLISECONDS;
        while (found() !== wanted && systemClock() < limit) {
            await pause(LOOK_MILLISECONDS);
        }
        assert.equal(found(), wanted);
    },
);

Then(/^the closures are confirmed up to (?:its sending|the sending of the first read)$/, function(
    this: ClosureStoreWorld,
) {
    const late = this.follower.confirmedAtMilliseconds() - this.sentAt;
    assert.ok(late >= 0 && late < LATENESS_MILLISECONDS, `${late} ms`);
});
