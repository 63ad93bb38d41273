/**
 * Steps for the ledger of a cell, with a store in memory.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import { systemClock } from "../../src/core/time.js";
import { claimCell, readHead } from "../../src/jobs/ledger/ledger.js";
import type { FormerOwner, Ledger } from "../../src/jobs/ledger/ledger.js";
import { createChanges, splitChanges } from "../../src/jobs/ledger/segment.js";
import type { Changes } from "../../src/jobs/ledger/segment.js";
import type { KeyValue, Store, WriteOperation } from "../../src/platform/store.js";
import { describeStep } from "./builders.js";

const CELL = "main";
const LOG_PREFIX = "/flamingowell/cells/main/log/";
const SNAPSHOT_PREFIX = "/flamingowell/cells/main/snapshot/";
const LIMIT = { timeout: 60_000 };

interface MemoryStore {
    readonly store: Store;
    readonly entries: Map<string, KeyValue>;
    /** Sequences for which a part of a snapshot has been written. */
    readonly snapshots: Set<string>;
    mostSegments: number;
    /** Applies the next part of a snapshot only after the one that follows it. */
    delaysNextPart: boolean;
}

interface LedgerWorld {
    changes: Changes;
    parts: Changes[];
    limitBytes: number;
    memory: MemoryStore;
    journal: Ledger;
    state: Changes;
}

Given("changes of {int} jobs and {int} tasks that are done", function(this: LedgerWorld, jobs: number, tasks: number) {
    this.changes = { ...describeJobs(jobs), done: Array.from({ length: tasks }, (_, index) => `job.0.0.${index}`) };
});

When("they are split into parts of at most {int} bytes", function(this: LedgerWorld, limitBytes: number) {
    this.limitBytes = limitBytes;
    this.parts = splitChanges(this.changes, limitBytes);
});

Then("each part fits, and played one after the other they are the whole", function(this: LedgerWorld) {
    const lengths = this.parts.map(part => JSON.stringify(part).length);
    assert.ok(lengths.every(length => length <= this.limitBytes), lengths.join(", "));
    const whole = createChanges();
    for (const part of this.parts) {
        assert.ok(whole.done.length === 0 || part.accepted.length === 0, "a job comes after what happened to jobs");
        whole.accepted.push(...part.accepted);
        whole.done.push(...part.done);
    }
    assert.deepEqual(whole, this.changes);
});

Given("a ledger whose books hold {int} jobs", async function(this: LedgerWorld, jobs: number) {
    this.memory = createMemoryStore();
    this.state = describeJobs(jobs);
    this.journal = await claim(this.memory.store);
    const committed = await this.journal.commit({ changes: createChanges(), createSnapshot: () => this.state });
    assert.ok(committed.isOk);
});

Given("the store carries out the first part of the next snapshot late", function(this: LedgerWorld) {
    this.memory.delaysNextPart = true;
});

When("{int} commits of one task each are made", LIMIT, async function(this: LedgerWorld, count: number) {
    for (let index = 0; index < count; index++) {
        const changes = createChanges();
        changes.done.push(`job-0.0.0.${index}`);
        this.state.done.push(`job-0.0.0.${index}`);
        const commit = () => this.journal.commit({ changes, createSnapshot: () => structuredClone(this.state) });
        for (let committed = await commit(); committed.isErr; committed = await commit()) {
            assert.equal(committed.error.code, "unavailable");
        }
    }
});

Then(
    "at most {int} snapshots have been written, and {int} segments are never exceeded",
    function(this: LedgerWorld, snapshots: number, segments: number) {
        assert.ok(this.memory.snapshots.size <= snapshots, [...this.memory.snapshots].join(", "));
        assert.ok(this.memory.snapshots.size > 0);
        // Each commit after a snapshot removes some of the segments that the snapshot has replaced.
        assert.ok(this.memory.mostSegments <= 2 * segments, String(this.memory.mostSegments));
    },
);

Then("a successor reads back all {int} tasks", async function(this: LedgerWorld, tasks: number) {
    const segments = (await (await claim(this.memory.store)).load()).unwrapOr([]);
    const done = new Set(segments.flatMap(segment => segment.done));
    assert.equal(done.size, tasks);
    assert.equal(new Set(segments.flatMap(segment => segment.accepted.map(({ id }) => id))).size, 2_000);
});

Given("a ledger that {string} owns", async function(this: LedgerWorld, instance: string) {
    this.memory = createMemoryStore();
    this.journal = await claim(this.memory.store, instance);
});

When(
    "{string} claims it, while {string} has stopped",
    async function(this: LedgerWorld, next: string, stopped: string) {
        this.journal = await claim(this.memory.store, next, ({ instance }) => instance === stopped);
    },
);

When("{string} claims it, while nobody has stopped", async function(this: LedgerWorld, next: string) {
    this.journal = await claim(this.memory.store, next, () => false);
});

When("its owner has heard all workers, and commits", async function(this: LedgerWorld) {
    this.journal.settleFormerOwners();
    await commitNothing(this.journal);
});

When("its owner commits before it has heard all workers", async function(this: LedgerWorld) {
    await commitNothing(this.journal);
});

When("its owner releases it before it has heard all workers", async function(this: LedgerWorld) {
    const released = await this.journal.commit({
        changes: createChanges(),
        createSnapshot: createChanges,
        isRelease: true,
    });
    assert.ok(released.isOk);
});

Then("its owner has to wait for {string}", function(this: LedgerWorld, instances: string) {
    assert.deepEqual(this.journal.formerOwners.map(({ instance }) => instance), instances.split(", "));
});

async function commitNothing(journal: Ledger): Promise<void> {
    const committed = await journal.commit({ changes: createChanges(), createSnapshot: createChanges });
    assert.ok(committed.isOk);
}

function describeJobs(jobs: number): Changes {
    const state = createChanges();
    for (let index = 0; index < jobs; index++) {
        state.accepted.push({
            id: `job-${index}`,
            queue: "checks",
            submission: { payload: "as the caller wrote it", steps: [describeStep({})] },
            acceptedAtMilliseconds: index,
        });
    }
    return state;
}

async function claim(
    store: Store,
    instance = "entry-1",
    hasStopped = (owner: FormerOwner): boolean => owner.instance === instance,
): Promise<Ledger> {
    const found = await readHead(store, CELL);
    const claimed = await claimCell({
        store,
        clock: systemClock,
        cell: CELL,
        owner: { instance, incarnation: "first" },
        hasStopped,
        alongside: () => [],
        signal: new AbortController().signal,
    }, found.unwrapOr(undefined));
    assert.ok(claimed.isOk, JSON.stringify(claimed));
    return claimed.value;
}

/** Creates a store with the features that a ledger uses: revisions, comparisons of revisions, and prefixes. */
function createMemoryStore(): MemoryStore {
    const entries = new Map<string, KeyValue>();
    const snapshots = new Set<string>();
    let revision = 0;
    let delayedWrite: (() => void) | undefined;
    const apply = (write: WriteOperation): void => {
        if (write.kind === "delete") {
            entries.delete(write.key);
            return;
        }
        const { key, leaseId = "", value } = write;
        const found = entries.get(key);
        const { createRevision = revision, version = 0 } = found ?? {};
        entries.set(key, { key, value, createRevision, modRevision: revision, version: version + 1, leaseId });
    };
    const unused = async () => Result.err(createFailure("unavailable", "store", "not part of the scenario"));
    const memory: MemoryStore = {
        entries,
        snapshots,
        mostSegments: 0,
        delaysNextPart: false,
        store: {
            async read({ key, limit = Infinity, after = "", prefix = false }) {
                const found = [...entries.values()]
                    .filter(entry => prefix ? entry.key.startsWith(key) && entry.key > after : entry.key === key)
                    .sort((left, right) => left.key < right.key ? -1 : 1);
                return Result.ok({ revision, entries: found.slice(0, limit), more: found.length > limit });
            },
            async transact({ comparisons, writes }) {
                const succeeded = comparisons.every(({ key, value }) => (entries.get(key)?.modRevision ?? 0) === value);
                const part = writes.find(({ key }) => key.startsWith(SNAPSHOT_PREFIX) && key.endsWith("/0000"));
                if (part?.kind === "put" && memory.delaysNextPart) {
                    memory.delaysNextPart = false;
                    delayedWrite = () => apply(part);
                    return Result.err(createFailure("ambiguous", "store", "the answer was lost"));
                }
                if (succeeded) {
                    revision += 1;
                    writes.forEach(apply);
                    if (part?.kind === "put") {
                        snapshots.add(part.key);
                        delayedWrite?.();
                        delayedWrite = undefined;
                    }
                    const segments = [...entries.keys()].filter(key => key.startsWith(LOG_PREFIX)).length;
                    memory.mostSegments = Math.max(memory.mostSegments, segments);
                }
                return Result.ok({ succeeded, revision, conflicting: [] });
            },
            grantLease: unused,
            renewLease: unused,
            revokeLease: unused,
            watch: unused,
        },
    };
    return memory;
}
