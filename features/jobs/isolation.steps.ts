/**
 * Steps for owners that other instances cannot reach.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { pause } from "../../src/core/time.js";
import { createIsolation } from "../../src/jobs/ownership/isolation.js";
import type { Isolation } from "../../src/jobs/ownership/isolation.js";
import { createReachReports } from "../../src/jobs/ownership/reach-reports.js";
import type { ReachReports } from "../../src/jobs/ownership/reach-reports.js";
import { describeOwner, keyOfReachReport } from "../../src/jobs/ownership/records.js";
import type { Member } from "../../src/jobs/ownership/records.js";
import { OwnershipSettings } from "../../src/jobs/settings.js";
import type { ReadAnswer, Store, Transaction } from "../../src/platform/store.js";
import { NOW } from "./builders.js";
import { silentLog } from "./successions.js";

interface IsolationWorld {
    isolation: Isolation;
    connections: number;
    reports: number;
    now: number;
    reachReports: ReachReports;
    /** Keys in the store, by lease. */
    written: Map<string, string>;
    reportsEnd: AbortController | undefined;
}

const CELL = "main";
const CHECK_MILLISECONDS = 200;
const SECOND = 1_000;

function describeMember(index: number): Member {
    const instance = `edge-${index}`;
    return {
        instance,
        incarnation: `life of ${instance}`,
        dataCentre: "levi",
        host: "127.0.0.1",
        port: 7_300,
        processorShare: 1,
    };
}

/** Checks as the owner does for a time; returns whether it leaves its cell. */
async function leavesWithin(world: IsolationWorld, milliseconds: number): Promise<boolean> {
    for (const end = world.now + milliseconds; world.now < end; world.now += CHECK_MILLISECONDS) {
        const left: string[] = [];
        world.isolation.check([{ name: CELL }], world.now, ({ name }) => left.push(name));
        await pause(0);
        if (left.length > 0) {
            return true;
        }
    }
    return false;
}

/** A store with the reports of as many instances on the owner, and one on the owner before it. */
function createReportStore(world: IsolationWorld): Partial<Store> {
    const describe = (index: number, owner: string): object => {
        const { incarnation, instance } = describeMember(index);
        const value = JSON.stringify({ cell: CELL, instance, incarnation, owner });
        return { key: keyOfReachReport(CELL, instance), value, modRevision: 1 };
    };
    const { incarnation } = describeMember(0);
    return {
        read: async () => {
            const reports = Array.from({ length: world.reports }, (_, index) => describe(index + 2, incarnation));
            const entries = [describe(1, "life before"), ...reports];
            return Result.ok({ entries, more: false, revision: 1 } as unknown as ReadAnswer);
        },
    };
}

Given(
    "an owner among {int} members, of which {int} others are left and connected to it",
    function(this: IsolationWorld, members: number, connected: number) {
        this.connections = connected;
        this.reports = 0;
        this.now = NOW;
        const all = Array.from({ length: members }, (_, index) => describeMember(index));
        this.isolation = createIsolation({
            self: describeMember(0),
            directory: { members: () => all },
            store: createReportStore(this) as Store,
            log: silentLog,
            settings: OwnershipSettings.parse({}),
            connections: () => this.connections,
        });
    },
);

Given("it has claimed the cell from an owner that left it with {int} connections", function(
    this: IsolationWorld,
    connections: number,
) {
    const former = describeOwner(describeMember(1), CELL, 1);
    this.isolation.recordClaim(CELL, { ...former, isReleased: true, connections });
});

When("{int} instances report that they cannot reach the owner", function(this: IsolationWorld, count: number) {
    this.reports = count;
});

When("{int} s later {int} instances are connected to it", async function(
    this: IsolationWorld,
    seconds: number,
    connected: number,
) {
    assert.ok(!await leavesWithin(this, seconds * SECOND));
    this.connections = connected;
});

Then("it keeps its cell for {int} s", async function(this: IsolationWorld, seconds: number) {
    assert.ok(!await leavesWithin(this, seconds * SECOND));
});

Then("it leaves its cell within {int} s", async function(this: IsolationWorld, seconds: number) {
    assert.ok(await leavesWithin(this, seconds * SECOND));
});

Then(/^it (keeps|leaves) its cell$/, async function(this: IsolationWorld, outcome: string) {
    assert.equal(await leavesWithin(this, 10 * SECOND), outcome === "leaves");
});

function updateReport({ reachReports, reportsEnd }: IsolationWorld, isReached: boolean, now: number): void {
    const owner = describeOwner(describeMember(1), CELL, 1);
    assert.ok(reportsEnd !== undefined);
    reachReports.update(CELL, owner, isReached, now, reportsEnd.signal);
}

Given(/^an instance that (has lost its|has not had a) connection to the owner$/, function(
    this: IsolationWorld,
    state: string,
) {
    this.written = new Map();
    this.reportsEnd = new AbortController();
    const store: Partial<Store> = {
        grantLease: async () => Result.ok({ leaseId: "1", ttlSeconds: 3 }),
        renewLease: async () => Result.ok({ ttlSeconds: 3 }),
        revokeLease: async (leaseId: string) => {
            this.written.delete(leaseId);
            return Result.ok(undefined);
        },
        transact: async ({ writes: [write] }: Transaction) => {
            if (write?.kind === "put") {
                this.written.set(write.leaseId ?? "", write.key);
            }
            return Result.ok({ succeeded: true, revision: 1, reads: [] });
        },
    } as unknown as Partial<Store>;
    this.reachReports = createReachReports({
        self: describeMember(2),
        store: store as Store,
        clock: () => NOW,
        log: silentLog,
    });
    if (state === "has lost its") {
        updateReport(this, true, NOW - SECOND);
    }
    updateReport(this, false, NOW);
});

After(function(this: Partial<IsolationWorld>) {
    this.reportsEnd?.abort();
});

Then("it has reported nothing after {int} ms", async function(this: IsolationWorld, milliseconds: number) {
    updateReport(this, false, NOW + milliseconds);
    await pause(1);
    assert.equal(this.written.size, 0);
});

Then("it has reported the owner after {int} ms", async function(this: IsolationWorld, milliseconds: number) {
    updateReport(this, false, NOW + milliseconds);
    await pause(1);
    assert.deepEqual([...this.written.values()], [keyOfReachReport(CELL, "edge-2")]);
});

When("it has a connection to the owner again", function(this: IsolationWorld) {
    updateReport(this, true, NOW + 2 * SECOND);
});

Then("its report is removed", async function(this: IsolationWorld) {
    await pause(10);
    assert.equal(this.written.size, 0);
});
