/**
 * Steps for takeovers, with real processes.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createInstanceList } from "../../src/platform/adapters/instances.js";
import { exportState } from "../../src/scheduler/queries/export.js";
import { verifyState } from "../../src/scheduler/queries/verify.js";
import { findOverlaps } from "./support/check.js";
import {
    apply,
    CALL_LIMIT_MILLISECONDS,
    deploymentOf,
    LIMIT,
    readCell,
    readRecords,
    readRunning,
    startLoaded,
    storeOf,
    waitForEpoch,
} from "./support/deployed.js";
import type { TakeoverWorld } from "./support/deployed.js";
import { waitUntil } from "./support/fleet.js";

const REPLICAS = 6;
const TASKS = 10;
const ANSWERS_LOST = 5;

Given(
    "a deployment of {int} entry instances and {int} workers runs {int} replicas and {int} batch tasks",
    LIMIT,
    async function(this: TakeoverWorld, instances: number, workers: number, replicas: number, tasks: number) {
        await startLoaded(this, { instances, workers, replicas, tasks });
    },
);

When(
    /^the owner of the cell is (.+) while answers of the store get lost$/,
    LIMIT,
    async function(this: TakeoverWorld, ending: string) {
        const deployment = deploymentOf(this);
        const { head } = await readCell(deployment);
        const owner = deployment.instances.find(({ name }) => name === head.holder.instance);
        assert.ok(owner !== undefined, "the cell has no owner");
        this.owner = owner;
        this.epoch = head.epoch;
        await deployment.setFaults(deployment.storeOrigin, { loseAnswers: ANSWERS_LOST });
        if (ending.startsWith("paused")) {
            owner.scheduler.pause();
        }
        else {
            await owner.scheduler.kill();
        }
        if (ending === "killed and started again") {
            await deployment.restart(owner, "scheduler");
        }
        if (ending.startsWith("paused")) {
            await waitForEpoch(this);
            owner.scheduler.resume();
        }
    },
);

Then("another process owns the cell with a higher epoch", LIMIT, async function(this: TakeoverWorld) {
    await waitForEpoch(this);
});

Then("a new urgent replica starts", LIMIT, async function(this: TakeoverWorld) {
    await apply(deploymentOf(this), "urgent", [
        "service rescue --replicas 1 --cores 1 --memory 1GiB --priority 0 --until 2030-01-01 # Aino, desk",
    ]);
    await waitUntil(
        "the urgent replica runs",
        async () =>
            (await readRecords(this)).some(record => record.event === "attempt-started" && record.rule === "rescue"),
    );
});

Then("what ran before still runs, and nothing ran in two places at once", async function(this: TakeoverWorld) {
    const running = new Set(await readRunning(this));
    assert.equal(this.before.length, REPLICAS + TASKS);
    assert.deepEqual(this.before.filter(task => !running.has(task)), []);
    assert.deepEqual(findOverlaps(await readRecords(this)), []);
});

Then("verifying the exported ledgers finds no violation", LIMIT, async function(this: TakeoverWorld) {
    const deployment = deploymentOf(this);
    const state = await exportState(storeOf(deployment), Date.now());
    const listed = await createInstanceList({
        origin: deployment.instancesOrigin,
        timeoutMilliseconds: CALL_LIMIT_MILLISECONDS,
    }).list();
    assert.ok(state.isOk && listed.isOk);
    const workers = listed.value.flatMap(instance => instance.kind === "worker" ? [instance] : []);
    const verification = verifyState({ state: state.value, workers });
    assert.ok(verification.placed >= REPLICAS + TASKS, `only ${verification.placed} placed tasks were checked`);
    assert.deepEqual(verification.violations, []);
});

After(LIMIT, async function(this: TakeoverWorld) {
    await this.deployment?.kill();
});
