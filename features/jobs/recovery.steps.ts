/**
 * Steps for the recovery after a takeover.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRecovery } from "../../src/jobs/cell/recovery.js";
import type { Recovery } from "../../src/jobs/cell/recovery.js";
import { addTask, createEmptyJobTable, NOW } from "./builders.js";

interface RecoveryWorld {
    takeover: Recovery;
}

const HORIZON_MILLISECONDS = 12_000;
const LEASE_MILLISECONDS = 4_500;
const CONTACT_MILLISECONDS = 1_800;

Given(
    "a takeover with {int} workers in use and a predecessor that may live",
    function(this: RecoveryWorld, count: number) {
        this.takeover = createRecovery({
            workers: Array.from({ length: count }, (_, index) => `worker-${index}`),
            claimedAtMilliseconds: NOW,
            predecessorActiveMilliseconds: HORIZON_MILLISECONDS,
            longestLeaseOf: () => LEASE_MILLISECONDS,
            contactMilliseconds: CONTACT_MILLISECONDS,
        });
    },
);

When("{int} of the workers has answered", function(this: RecoveryWorld, count: number) {
    for (let index = 0; index < count; index++) {
        this.takeover.recordAnswer(`worker-${index}`, NOW);
    }
});

When("the predecessor is found to be gone after {int} ms", function(this: RecoveryWorld, after: number) {
    this.takeover.recordPredecessorEnd(NOW + after);
});

function mayStart(
    { takeover }: RecoveryWorld,
    isInherited: boolean,
    after: number,
    { isGang = false, wasSeenRunning = false } = {},
): boolean {
    const jobTable = createEmptyJobTable();
    const task = addTask(jobTable, "job", { isGang }, NOW);
    takeover.expire(NOW + after, () => 0);
    return takeover.mayStart({ ...task, wasSeenRunning, entry: { ...task.entry, isInherited } });
}

Then(
    "a task of an earlier job that was seen running may start after {int} ms",
    function(this: RecoveryWorld, after: number) {
        assert.equal(mayStart(this, true, after, { wasSeenRunning: true }), true);
    },
);

Then(
    "a member of a gang that was seen running may not start after {int} ms",
    function(this: RecoveryWorld, after: number) {
        assert.equal(mayStart(this, true, after, { isGang: true, wasSeenRunning: true }), false);
    },
);

Then("a task of an earlier job may not start after {int} ms", function(this: RecoveryWorld, after: number) {
    assert.equal(mayStart(this, true, after), false);
});

Then("a task of an earlier job may start after {int} ms", function(this: RecoveryWorld, after: number) {
    assert.equal(mayStart(this, true, after), true);
});

When("{int} ms have passed, while {string} still reports ends", function(
    this: RecoveryWorld,
    after: number,
    reporting: string,
) {
    this.takeover.expire(NOW + after, worker => worker === reporting ? NOW + after + 1 : 0);
});

Then("a task of an earlier job may not start while {string} still reports ends", function(
    this: RecoveryWorld,
    reporting: string,
) {
    const task = addTask(createEmptyJobTable(), "job", {}, NOW);
    assert.deepEqual(this.takeover.unanswered(), [reporting]);
    assert.equal(this.takeover.mayStart({ ...task, entry: { ...task.entry, isInherited: true } }), false);
});

Then("a task of a later job may start after {int} ms", function(this: RecoveryWorld, after: number) {
    assert.equal(mayStart(this, false, after), true);
});
