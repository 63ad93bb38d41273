/**
 * Steps for writes to the store that wait while others write the same record.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createLogger } from "../../src/core/log.js";
import { decodeRecord } from "../../src/platform/commit.js";
import type { KeyValue, Store } from "../../src/platform/store.js";
import type { Rule } from "../../src/rules/rule.js";
import { chooseOwner } from "../../src/scheduler/cells.js";
import { Assignment, keyOfAssignment } from "../../src/scheduler/jobs/assignment.js";
import { createAssignments } from "../../src/scheduler/jobs/assignments.js";
import { Claim, Head, keyOfClaim, keyOfHead } from "../../src/scheduler/ledger/head.js";
import { createGate } from "./model/gate.js";
import type { Gate } from "./model/gate.js";
import { playStage } from "./support/parties.js";
import type { Stage } from "./support/parties.js";
import { createBatch, createConfiguration } from "./support/rules.js";

const LIMIT = { timeout: 60_000 };
const CELL = "levi-0";
const MOMENT_MILLISECONDS = 300;
const LONG_MILLISECONDS = 4_000;

interface StaleWorld {
    entries: readonly KeyValue[];
}

/** Holds up what a predicate selects: reads before they begin, answers to transactions after they took effect. */
function holdUp(store: Store, gate: Gate, isHeld: (key: string) => boolean): Store {
    return {
        ...store,
        async read(request) {
            if (request.prefix !== true && isHeld(request.key)) {
                await gate.pass();
            }
            return store.read(request);
        },
        async transact(transaction) {
            const answer = await store.transact(transaction);
            if (transaction.writes.some(({ key }) => isHeld(key))) {
                await gate.pass();
            }
            return answer;
        },
    };
}

function find(world: StaleWorld, key: string): KeyValue {
    return world.entries.find(entry => entry.key === key) ?? assert.fail(`the store has no ${key}`);
}

When("a claim waits in the store while another scheduler claims the same cell", LIMIT, async function(
    this: StaleWorld,
) {
    await playStage(1, async stage => {
        const names = ["entry-1", "entry-2"];
        const preferred = chooseOwner(
            { cell: CELL, dataCentre: "levi" },
            names.map(instance => ({ instance, dataCentre: "levi" })),
        );
        const other = names.find(name => name !== preferred) ?? assert.fail("there is one scheduler only");
        const gate = createGate();
        gate.pause();
        const waiting = await stage.add(other, {
            wrapStore: store => holdUp(store, gate, key => key === keyOfHead(CELL)),
        });
        const owner = await stage.add(preferred ?? assert.fail("nobody is preferred"));
        assert.deepEqual([waiting, owner].map(({ scheduler }) => scheduler.ownedCells().length), [0, 1]);
        gate.resume();
        await stage.time.advance(LONG_MILLISECONDS);
        this.entries = stage.store.entries();
    });
});

Then("the cell keeps its first owner", function(this: StaleWorld) {
    const head = decodeRecord(find(this, keyOfHead(CELL)), Head);
    assert.ok(head.isOk);
    assert.equal(head.value.body.epoch, 1);
});

When("marks of two removed rules wait in the store while one of the rules is created again", LIMIT, async function(
    this: StaleWorld,
) {
    await playStage(1, async stage => {
        const gate = createGate();
        const both = [createBatch("harvest"), createBatch("season-prep")];
        const early = startAssignments(stage, store => holdUp(store, gate, key => key === keyOfAssignment("harvest")));
        const late = startAssignments(stage, store => store);
        await early.apply(both);
        gate.pause();
        void early.apply([]);
        await late.apply(both);
        await late.apply([]);
        await late.apply([createBatch("season-prep")]);
        gate.resume();
        await stage.time.advance(LONG_MILLISECONDS);
        early.stop();
        late.stop();
        this.entries = stage.store.entries();
    });
});

/** Starts the assignments of a process that owns all cells, with a configuration of its own. */
function startAssignments(stage: Stage, wrapStore: (store: Store) => Store) {
    const controller = new AbortController();
    const configuration = createConfiguration(stage.time.now);
    const assignments = createAssignments({
        store: wrapStore(stage.store.connect(createGate())),
        clock: stage.time.now,
        logger: createLogger("model", {}),
        configuration: () => configuration.current(),
        cells: () => [{ cell: CELL, dataCentre: "levi", workers: stage.workers.map(({ instance }) => instance) }],
        owns: () => true,
    });
    void assignments.run(controller.signal);
    return {
        async apply(rules: readonly Rule[]) {
            await stage.time.advance(MOMENT_MILLISECONDS);
            configuration.apply(rules);
            await assignments.revise(controller.signal);
            await stage.time.advance(MOMENT_MILLISECONDS);
        },
        stop: () => controller.abort(),
    };
}

Then("the assignment of the new rule stands", function(this: StaleWorld) {
    const assignment = decodeRecord(find(this, keyOfAssignment("season-prep")), Assignment);
    assert.ok(assignment.isOk);
    const { generation, removedRevision } = assignment.value.body;
    assert.deepEqual({ generation, removedRevision }, { generation: 3, removedRevision: undefined });
});

When("a scheduler hands its cell over while a commit waits for its answer", LIMIT, async function(this: StaleWorld) {
    await playStage(1, async stage => {
        const gate = createGate();
        const owner = await stage.add("entry-1", {
            wrapStore: store => holdUp(store, gate, key => key === keyOfHead(CELL)),
        });
        gate.pause();
        stage.configuration.apply([createBatch("season-prep")]);
        await stage.time.advance(MOMENT_MILLISECONDS);
        void owner.scheduler.handOver(0);
        gate.resume();
        await stage.time.advance(LONG_MILLISECONDS);
        assert.equal(owner.scheduler.ownedCells().length, 0);
        this.entries = stage.store.entries();
    });
});

Then("the store has the cell as released", function(this: StaleWorld) {
    assert.equal(Claim.parse(JSON.parse(find(this, keyOfClaim(CELL)).value)).released, true);
});
