/**
 * Steps for the request to a former owner to stop, over a connection on the loopback interface.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { implement } from "../../src/core/method.js";
import type { MethodHandler } from "../../src/core/method.js";
import type { Cell } from "../../src/jobs/cell/cell.js";
import { attemptsLapsedAt, createCellWorker, grantLease } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import type { FormerOwner } from "../../src/jobs/ledger/ledger.js";
import { serveLinks } from "../../src/jobs/link/link.js";
import type { LinkServer } from "../../src/jobs/link/link.js";
import { retireMethod } from "../../src/jobs/model/requests.js";
import type { Directory } from "../../src/jobs/ownership/directory.js";
import { createFormerOwners } from "../../src/jobs/ownership/former-owners.js";
import type { FormerOwners } from "../../src/jobs/ownership/former-owners.js";
import { createOwnerEnds } from "../../src/jobs/ownership/owner-ends.js";
import { createRetirements } from "../../src/jobs/ownership/retirements.js";
import { requestRetirement } from "../../src/jobs/routing/retirement-request.js";
import { describeWorker, NOW } from "./builders.js";
import { CELL, silentLog } from "./successions.js";

interface RequestWorld {
    formerServer: LinkServer;
    isAbandoned: boolean;
    formerOwners: FormerOwners;
    heardWorker: CellWorker;
}

const FORMER = { instance: "entry-0", incarnation: "first" };
const SUCCESSOR_EPOCH = 3;
const WORKER_CLOCK_MILLISECONDS = 1_000;
const LEASE_MILLISECONDS = 4_500;

After(async function(this: Partial<RequestWorld>) {
    await this.formerServer?.close();
});

Given("a process of an older build", async function(this: RequestWorld) {
    this.formerServer = await serve([]);
});

Given(
    "a process that has stopped in epoch {int}, and whose lease on {string} runs for {int} ms",
    async function(this: RequestWorld, epoch: number, worker: string, milliseconds: number) {
        const retirements = createRetirements(FORMER);
        retirements.record({
            ...describeCell(this, epoch),
            leaseEnds: () => new Map([[worker, NOW + milliseconds], ["worker-1", NOW - 1]]),
        });
        this.formerServer = await serve([
            implement(retireMethod, async request => retirements.retire(request, undefined, NOW)),
        ]);
    },
);

Given("a process that owns the cell in epoch {int}", async function(this: RequestWorld, epoch: number) {
    const retirements = createRetirements(FORMER);
    const cell = describeCell(this, epoch);
    this.formerServer = await serve([implement(retireMethod, async request => retirements.retire(request, cell, NOW))]);
});

Given("an address at which nothing listens", async function(this: RequestWorld) {
    this.formerServer = await serve([]);
    await this.formerServer.close();
});

When(
    "a successor asks it to stop, because it was the owner in epoch {int}",
    async function(this: RequestWorld, epoch: number) {
        await ask(this, { ...FORMER, epoch });
    },
);

When(
    "a successor asks it to stop, because another process of its instance was the owner in epoch {int}",
    async function(this: RequestWorld, epoch: number) {
        await ask(this, { ...FORMER, incarnation: "earlier", epoch });
    },
);

Then(/^it counts as (stopped|active)$/, function(this: RequestWorld, state: string) {
    assert.equal(this.formerOwners.haveStopped(), state === "stopped");
    if (state === "active") {
        assert.equal(this.formerOwners.leaseEnds(), undefined);
    }
});

Then(
    "{string} is waited for, and {string} is not",
    function(this: RequestWorld, awaited: string, other: string) {
        const leaseEnds = this.formerOwners.leaseEnds();
        assert.ok(leaseEnds !== undefined);
        assert.ok((leaseEnds.get(awaited) ?? 0) > NOW);
        assert.equal(leaseEnds.get(other), undefined);
    },
);

Then("it is not known for how long leases run", function(this: RequestWorld) {
    assert.equal(this.formerOwners.leaseEnds(), undefined);
});

Then("it still owns the cell", function(this: RequestWorld) {
    assert.equal(this.isAbandoned, false);
});

Given("a worker whose first answer has just arrived", function(this: RequestWorld) {
    this.heardWorker = createCellWorker(describeWorker("worker-0", 8), true, NOW);
    this.heardWorker.clock = { workerMilliseconds: WORKER_CLOCK_MILLISECONDS, atMilliseconds: NOW };
});

Then("it is told to a successor as running for {int} ms at least", function(this: RequestWorld, milliseconds: number) {
    assert.ok(attemptsLapsedAt(this.heardWorker, milliseconds) >= NOW + milliseconds);
});

Then("not once the present owner's lease has lapsed", function(this: RequestWorld) {
    grantLease(this.heardWorker, NOW, LEASE_MILLISECONDS);
    const later = { workerMilliseconds: WORKER_CLOCK_MILLISECONDS + LEASE_MILLISECONDS, atMilliseconds: NOW + 1 };
    this.heardWorker.clock = later;
    assert.equal(attemptsLapsedAt(this.heardWorker, LEASE_MILLISECONDS), later.atMilliseconds);
});

function serve(handlers: readonly MethodHandler[]): Promise<LinkServer> {
    return serveLinks({ host: "127.0.0.1", port: 0 }, handlers, () => 0);
}

/** Describes the parts of a cell that a retirement uses. */
function describeCell(world: RequestWorld, epoch: number): Cell {
    world.isAbandoned = false;
    const cell: Pick<Cell, "name" | "epoch" | "leaseEnds" | "abandon"> = {
        name: CELL,
        epoch,
        leaseEnds: () => new Map(),
        abandon() {
            world.isAbandoned = true;
        },
    };
    return cell as Cell;
}

/** Asks once. */
async function ask(world: RequestWorld, owner: FormerOwner): Promise<void> {
    const directory: Pick<Directory, "members" | "stop"> = { members: () => [], stop: () => undefined };
    world.formerOwners = createFormerOwners({
        cell: CELL,
        journal: {
            epoch: SUCCESSOR_EPOCH,
            formerOwners: [owner],
            predecessor: {
                epoch: owner.epoch,
                owner,
                isReleased: false,
                sequence: 0,
                snapshotSequence: 0,
                snapshotChunks: 0,
                formerOwners: [],
            },
        },
        instance: "entry-1",
        ends: createOwnerEnds({ instance: "entry-1", directory: directory as Directory, log: silentLog }),
        findAddress: () => world.formerServer.address,
        requestRetirement,
        clock: () => NOW,
        log: silentLog,
    });
    let isAsked = false;
    await world.formerOwners.ask(() => !isAsked && (isAsked = true), new AbortController().signal);
}
