/**
 * Steps for orders that wait or are repeated.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { cancelTask, drainWorker } from "../../src/core/messages/operator.js";
import { playStage } from "./support/parties.js";
import type { Stage } from "./support/parties.js";
import { createBatch, createService } from "./support/rules.js";

const LIMIT = { timeout: 60_000 };
const SILENCE_MILLISECONDS = 600;
const LONG_MILLISECONDS = 5_000;
const TASK = "season-prep@once/0";

interface AskedWorld {
    stage: Stage;
    /** When the start ceased to be wanted. */
    unwantedAt: number;
}

function silence(stage: Stage): void {
    stage.workers.forEach(worker => {
        worker.state = "silent";
    });
}

/** Makes the workers silent just before a task is placed, so that its start is sent and gets no answer. */
async function leaveStartUnanswered(stage: Stage): Promise<string> {
    silence(stage);
    stage.configuration.apply([createBatch("season-prep", { tasks: 1 })]);
    await stage.time.advance(SILENCE_MILLISECONDS);
    const start = stage.orders.find(({ kind }) => kind === "start");
    assert.ok(start !== undefined, "no start was sent");
    return start.worker;
}

When(
    "a worker leaves a start unanswered, and the rule ends before it answers again, while the store hangs",
    LIMIT,
    async function(this: AskedWorld) {
        this.stage = await playStage(1, async stage => {
            const owner = await stage.add("entry-1");
            await leaveStartUnanswered(stage);
            owner.storeLink.pause();
            stage.configuration.apply([]);
            this.unwantedAt = stage.time.now();
            stage.workers.forEach(worker => worker.wake());
            await stage.time.advance(LONG_MILLISECONDS);
            owner.storeLink.resume();
            await stage.time.advance(LONG_MILLISECONDS);
        });
    },
);

Then("no start was sent after the rule had ended", function(this: AskedWorld) {
    const late = this.stage.orders.filter(({ kind, at }) => kind === "start" && at > this.unwantedAt);
    assert.deepEqual(late, []);
    assert.deepEqual(this.stage.listStarts(), []);
});

When("a worker leaves a start unanswered, and is drained before it answers again", LIMIT, async function(
    this: AskedWorld,
) {
    this.stage = await playStage(2, async stage => {
        const owner = await stage.add("entry-1");
        const worker = await leaveStartUnanswered(stage);
        await owner.call(drainWorker.name, { worker, drain: true, by: "Aino" });
        stage.workers.forEach(model => model.wake());
        await stage.time.advance(LONG_MILLISECONDS);
    });
});

Then("the worker started nothing, and the task was started on the other one", function(this: AskedWorld) {
    const { worker } = this.stage.orders.find(({ kind }) => kind === "start") ?? assert.fail("no start was sent");
    assert.deepEqual(this.stage.listStarts(worker), []);
    assert.equal(this.stage.listStarts().length, 1);
});

When("an owner without the store keeps a start that its successor has cancelled", LIMIT, async function(
    this: AskedWorld,
) {
    this.stage = await playStage(1, async stage => {
        const owner = await stage.add("entry-1");
        const worker = await leaveStartUnanswered(stage);
        owner.storeLink.pause();
        const successor = await stage.add("entry-2");
        successor.unreachable.add(worker);
        await stage.time.advance(LONG_MILLISECONDS);
        assert.equal(successor.scheduler.ownedCells().length, 1, "the successor does not own the cell");
        const answer = await successor.call(cancelTask.name, { taskId: TASK, by: "Aino" });
        assert.deepEqual(answer, { known: true, state: "stopping" });
        this.unwantedAt = stage.time.now();
        stage.workers.forEach(model => model.wake());
        await stage.time.advance(LONG_MILLISECONDS);
    });
});

Then("nothing was started after the cancelling had been acknowledged", function(this: AskedWorld) {
    assert.deepEqual(this.stage.listStarts(), []);
    const late = this.stage.orders.filter(({ kind, at }) => kind === "start" && at > this.unwantedAt);
    assert.deepEqual(late, []);
});

When("a cell is released while its owner waits for the answer to a stop, with a start behind it", LIMIT, async function(
    this: AskedWorld,
) {
    this.stage = await playStage(1, async stage => {
        const owner = await stage.add("entry-1");
        stage.configuration.apply([createService("beacon-check")]);
        await stage.time.advance(LONG_MILLISECONDS);
        owner.stopAnswers.pause();
        stage.configuration.apply([]);
        await stage.time.advance(SILENCE_MILLISECONDS);
        assert.equal(stage.orders.filter(({ kind }) => kind === "stop").length, 1);
        stage.configuration.apply([createBatch("season-prep", { tasks: 1 })]);
        await stage.time.advance(SILENCE_MILLISECONDS);
        assert.equal(stage.orders.filter(({ kind }) => kind === "start").length, 1);
        void owner.scheduler.handOver(0);
        await stage.time.advance(SILENCE_MILLISECONDS);
        this.unwantedAt = stage.time.now();
        owner.stopAnswers.resume();
        await stage.time.advance(LONG_MILLISECONDS);
    });
});

Then("its owner sent no start after the release", function(this: AskedWorld) {
    const late = this.stage.orders.filter(({ kind, at }) => kind === "start" && at >= this.unwantedAt);
    assert.deepEqual(late, []);
});
