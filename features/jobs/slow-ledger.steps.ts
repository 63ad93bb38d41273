/**
 * Steps for instances that claim a cell whose ledger takes long to load, with the stand-in of the users' store.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { createWorkerOrders } from "../../platform/orders.js";
import { createStore } from "../../platform/store.js";
import { createFailure } from "../../src/core/errors.js";
import type { EventLog } from "../../src/core/event-log.js";
import type { Logger } from "../../src/core/log.js";
import { createMetrics } from "../../src/core/metrics.js";
import { pause, systemClock } from "../../src/core/time.js";
import { createJobsMetrics } from "../../src/jobs/metrics.js";
import { JobsSettings } from "../../src/jobs/settings.js";
import { startJobs } from "../../src/jobs/wiring.js";
import type { JobsDaemon } from "../../src/jobs/wiring.js";
import type { Store } from "../../src/platform/store.js";
import { createUsersStore } from "../../stand-ins/users-platform/store.js";
import type { UsersStore } from "../../stand-ins/users-platform/store.js";
import { describeStep, QUEUE } from "./builders.js";
import { CELL } from "./successions.js";
import { waitUntil } from "./world.js";

interface Instance {
    readonly name: string;
    readonly daemon: JobsDaemon;
    isLoading: boolean;
    isStopped: boolean;
    /** Whether the store answers none of its calls. */
    isDead: boolean;
}

interface SlowLedgerWorld {
    ledgerStore: UsersStore;
    instances: Instance[];
    /** What the instances have logged on the ownership of the cell. */
    ownershipEvents: string[];
    keptOwner: Instance;
    keptEpoch: number | undefined;
    submittedJobs: number;
    stoppedInstance: Instance;
    /** Resolves when the instance that was stopped, or has died, has ended. */
    stopEnd: Promise<void> | undefined;
}

const LIMIT = { timeout: 60_000 };
const SECOND = 1_000;
const LOOK_MILLISECONDS = 50;
const ORDER_LIMIT_MILLISECONDS = 500;
const LEDGER_PREFIX = `/flamingowell/cells/${CELL}/`;
const OWNERSHIP_EVENTS: ReadonlySet<string> = new Set([
    "cell-claimed",
    "cell-owned",
    "cell-lost",
    "claim-failed",
    "claim-deferred",
]);

const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

/** Slows the reads of the ledger down, and answers no calls of a dead instance. */
function slowDown(store: Store, readMilliseconds: number, instance: () => Instance | undefined): Store {
    const failure = createFailure("unavailable", "store", "the process has ended");
    const isDead = (): boolean => instance()?.isDead === true;
    return {
        ...store,
        async read(request) {
            const reader = instance();
            if (request.prefix === true && request.key.startsWith(LEDGER_PREFIX) && reader !== undefined) {
                reader.isLoading = true;
                await pause(readMilliseconds);
                reader.isLoading = false;
            }
            return isDead() ? Result.err(failure) : store.read(request);
        },
        transact: async transaction => isDead() ? Result.err(failure) : store.transact(transaction),
        grantLease: async ttlSeconds => isDead() ? Result.err(failure) : store.grantLease(ttlSeconds),
        renewLease: async leaseId => isDead() ? Result.err(failure) : store.renewLease(leaseId),
        revokeLease: async leaseId => isDead() ? Result.err(failure) : store.revokeLease(leaseId),
    };
}

async function startInstance(world: SlowLedgerWorld, name: string, readMilliseconds: number): Promise<Instance> {
    const { address } = await world.ledgerStore.listen(name);
    const store = createStore({ origin: `http://${address}`, busyPrefixes: [] });
    const log: EventLog = {
        write(event, fields) {
            if (OWNERSHIP_EVENTS.has(event)) {
                world.ownershipEvents.push(`${name} ${event} ${JSON.stringify(fields)}`);
            }
        },
        flush: async () => undefined,
    };
    const started: { instance?: Instance; } = {};
    const daemon = await startJobs({
        settings: JobsSettings.parse({
            instance: name,
            dataCentre: "levi",
            processorShare: 1,
            links: { host: "127.0.0.1", port: 0 },
        }),
        incarnation: `life of ${name}`,
        store: slowDown(store, readMilliseconds, () => started.instance),
        workerList: { current: () => new Map(), isUpToDate: () => true, onChange: () => () => undefined },
        closures: undefined,
        orders: createWorkerOrders(ORDER_LIMIT_MILLISECONDS),
        catalog: {
            current: () => ({ version: 1, queues: new Map([[QUEUE.name, QUEUE]]), admissionCheckedPools: new Set() }),
        },
        clock: systemClock,
        log,
        logger: silentLogger,
        metrics: createJobsMetrics(createMetrics({}, "usage")),
    });
    started.instance = { name, daemon, isLoading: false, isStopped: false, isDead: false };
    return started.instance;
}

function ownedEpoch({ daemon, isStopped }: Instance): number | undefined {
    return isStopped ? undefined : daemon.ownedCells()[0]?.epoch;
}

/** Whether the owner's commits succeed: a job that it accepts is in the ledger. */
async function acceptsJob(world: SlowLedgerWorld, { daemon }: Instance): Promise<boolean> {
    const answer = await daemon.ownedCells()[0]?.submit({
        queue: QUEUE.name,
        id: `job-${++world.submittedJobs}`,
        submission: { payload: "", steps: [describeStep({})] },
    });
    return answer?.isOk === true && answer.value.kind === "accepted";
}

Given(
    "three instances, and a store that takes {int} s to answer reads of the ledger",
    LIMIT,
    async function(this: SlowLedgerWorld, seconds: number) {
        this.ledgerStore = createUsersStore(systemClock);
        this.instances = [];
        this.ownershipEvents = [];
        this.submittedJobs = 0;
        for (const name of ["entry-0", "entry-1", "entry-2"]) {
            this.instances.push(await startInstance(this, name, seconds * SECOND));
        }
    },
);

After(LIMIT, async function(this: Partial<SlowLedgerWorld>) {
    const living = this.instances?.filter(({ isStopped }) => !isStopped) ?? [];
    await Promise.all([this.stopEnd, ...living.map(({ daemon }) => daemon.stop())]);
    await this.ledgerStore?.close();
});

When(/^the instance that loads the ledger (dies|is stopped)$/, LIMIT, async function(
    this: SlowLedgerWorld,
    event: string,
) {
    await waitUntil(() => this.instances.some(({ isLoading }) => isLoading), "an instance loads the ledger");
    const loading = this.instances.find(({ isLoading }) => isLoading);
    assert.ok(loading !== undefined);
    loading.isStopped = true;
    loading.isDead = event === "dies";
    this.stoppedInstance = loading;
    this.stopEnd = loading.daemon.stop();
});

Then("it ends without having owned the cell", LIMIT, async function(this: SlowLedgerWorld) {
    await this.stopEnd;
    const { name } = this.stoppedInstance;
    assert.deepEqual(this.ownershipEvents.filter(event => event.startsWith(`${name} cell-owned`)), []);
});

Then("an instance owns the cell and accepts a job within {int} s", LIMIT, async function(
    this: SlowLedgerWorld,
    seconds: number,
) {
    const limit = performance.now() + seconds * SECOND;
    while (performance.now() < limit) {
        const owner = this.instances.find(instance => ownedEpoch(instance) !== undefined);
        if (owner !== undefined && await acceptsJob(this, owner)) {
            this.keptOwner = owner;
            this.keptEpoch = ownedEpoch(owner);
            return;
        }
        await pause(LOOK_MILLISECONDS);
    }
    assert.fail(`no owner accepts a job within ${seconds} s:\n${this.ownershipEvents.join("\n")}`);
});

Then("the same instance still owns the cell and accepts a job {int} s later", LIMIT, async function(
    this: SlowLedgerWorld,
    seconds: number,
) {
    await pause(seconds * SECOND);
    const isAccepted = await acceptsJob(this, this.keptOwner);
    assert.deepEqual(
        { epoch: ownedEpoch(this.keptOwner), isAccepted },
        { epoch: this.keptEpoch, isAccepted: true },
        this.ownershipEvents.join("\n"),
    );
});
