/**
 * Steps for the bounds of waits for a worker's entry and for its health, without a network.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { followWorkers } from "../../platform/workers.js";
import type { WorkerListFollower } from "../../platform/workers.js";
import { createFailure } from "../../src/core/errors.js";
import type { Logger } from "../../src/core/log.js";
import { pause, systemClock } from "../../src/core/time.js";
import { applyReport } from "../../src/jobs/cell/report.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import { createWorkerHealth, quarantine } from "../../src/jobs/policy/health.js";
import type { KeyValue, Store, WatchEvent, WatchRequest } from "../../src/platform/store.js";
import { createEmptyJobTable, describeWorker, NOW } from "./builders.js";
import { silentLog } from "./successions.js";

interface ListWorld {
    follower: WorkerListFollower;
    followerEnd: AbortController | undefined;
    entries: Map<string, KeyValue>;
    history: WatchEvent[];
    revision: number;
    hasHistory: boolean;
    /** Breaks the watch that is under way. */
    breakWatch: ((code: "unavailable" | "not-found") => void) | undefined;
    worker: CellWorker;
}

const KEY = "servers/worker-0";
const LIMIT = { timeout: 5_000 };
const FOREIGN_RUN_WAIT_MILLISECONDS = 1_500;
const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

function describeEntry(): string {
    return JSON.stringify({
        service: "desk",
        address: "127.0.0.1:7400",
        zone: "levi",
        state: "ready",
        born: 1,
        capacity: { cpu: 8_000, memMb: 64_000 },
        labels: [],
    });
}

function change(world: ListWorld, kind: WatchEvent["kind"]): void {
    world.revision += 1;
    const entry = {
        key: KEY,
        value: describeEntry(),
        createRevision: 1,
        modRevision: world.revision,
        version: 1,
        leaseId: "",
    };
    if (kind === "put") {
        world.entries.set(KEY, entry);
    }
    else {
        world.entries.delete(KEY);
    }
    world.history.push({ kind, entry });
}

function watch(world: ListWorld, request: WatchRequest): ReturnType<Store["watch"]> {
    if (!world.hasHistory) {
        world.hasHistory = true;
        return Promise.resolve(Result.err(createFailure("not-found", "watch", "this history is gone")));
    }
    const { fromRevision, signal } = request;
    request.onEvents(world.history.filter(({ entry }) => entry.modRevision >= fromRevision), world.revision);
    return new Promise(resolve => {
        signal.addEventListener("abort", () => resolve(Result.ok(undefined)), { once: true });
        world.breakWatch = code => resolve(Result.err(createFailure(code, "watch", "the watch is broken")));
    });
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await pause(5);
    }
}

After(function(this: Partial<ListWorld>) {
    this.followerEnd?.abort();
});

Given("an owner's list of one worker", LIMIT, async function(this: ListWorld) {
    this.entries = new Map();
    this.history = [];
    this.revision = 1;
    this.hasHistory = true;
    change(this, "put");
    const store: Partial<Store> = {
        read: async () => Result.ok({ revision: this.revision, entries: [...this.entries.values()], more: false }),
        watch: request => watch(this, request),
    };
    this.followerEnd = new AbortController();
    this.follower = followWorkers(store as Store, systemClock, silentLog, silentLogger);
    void this.follower.run(this.followerEnd.signal);
    await until(() => this.follower.current().size === 1 && this.breakWatch !== undefined);
});

When(
    /^its entry is removed, and written again while the watch (is broken|has lost its history)$/,
    LIMIT,
    async function(
        this: ListWorld,
        gap: string,
    ) {
        const { breakWatch } = this;
        change(this, "delete");
        breakWatch?.("unavailable");
        await until(() => this.follower.current().size === 0);
        this.hasHistory = gap === "is broken";
        const { breakWatch: breakNextWatch } = this;
        breakNextWatch?.("unavailable");
        change(this, "put");
        if (!this.hasHistory) {
            this.history = [];
        }
    },
);

Then("the worker is listed again", LIMIT, async function(this: ListWorld) {
    await until(() => this.follower.current().size === 1);
    assert.ok(this.follower.isUpToDate(systemClock()));
});

Then(
    "a worker that fails again after each quarantine is never kept from starts for more than {int} ms at a time",
    function(limit: number) {
        const health = createWorkerHealth();
        const lengths: number[] = [];
        for (let now = NOW; lengths.length < 10; now = health.quarantinedUntilMilliseconds) {
            assert.ok(quarantine(health, now));
            assert.ok(!quarantine(health, health.quarantinedUntilMilliseconds - 1));
            lengths.push(health.quarantinedUntilMilliseconds - now);
        }
        assert.equal(Math.max(...lengths), limit);
    },
);

Given("a worker in quarantine for {int} ms, which has listed a foreign run", function(
    this: ListWorld,
    milliseconds: number,
) {
    this.worker = createCellWorker(describeWorker("worker-0", 8), true, NOW);
    const report = { incarnation: 1, clockMilliseconds: 60_000, running: [], ended: [], isComplete: true };
    applyReport(createEmptyJobTable(), this.worker, report, NOW, NOW);
    this.worker.health.quarantinedUntilMilliseconds = NOW + milliseconds;
    this.worker.startsFromMilliseconds = NOW + FOREIGN_RUN_WAIT_MILLISECONDS;
});

When("a new life of it reports", function(this: ListWorld) {
    const report = { incarnation: 2, clockMilliseconds: 1_000, running: [], ended: [], isComplete: true };
    applyReport(createEmptyJobTable(), this.worker, report, NOW, NOW);
});

Then("it is in no quarantine, and gets starts after {int} ms at the latest", function(
    this: ListWorld,
    milliseconds: number,
) {
    assert.ok(this.worker.health.quarantinedUntilMilliseconds <= NOW);
    assert.ok(this.worker.startsFromMilliseconds <= NOW + milliseconds);
});
