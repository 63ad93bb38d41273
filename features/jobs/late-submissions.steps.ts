/**
 * Steps for submissions that arrive after their cancelling, in simulated time.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Result } from "true-myth/result";
import type { Failure } from "../../src/core/errors.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { recordCancelling, removeEndedJobs } from "../../src/jobs/job-table/lifecycle.js";
import { createSnapshot, replaySegment } from "../../src/jobs/job-table/restore.js";
import type { SubmitAnswer, SubmitRequest } from "../../src/jobs/model/requests.js";
import { createEmptyJobTable, describeStep, NOW, QUEUE } from "./builders.js";
import { createTakeoverSimulation } from "./takeover-world.js";
import type { Reach, SimulatedOwner, TakeoverSimulation } from "./takeover-world.js";

interface LateWorld {
    lateSimulation: TakeoverSimulation | undefined;
    owner: SimulatedOwner;
    reach: Reach;
    lateAnswer: Result<SubmitAnswer, Failure>;
    jobTable: JobTable;
    answerKinds: (SubmitAnswer["kind"] | undefined)[];
}

const LIMIT = { timeout: 20_000 };
const WAIT_MILLISECONDS = 10_000;
const WORKERS = 2;
const REQUEST: SubmitRequest = {
    queue: QUEUE.name,
    id: "00000000000000e1",
    submission: { payload: "", steps: [describeStep({})] },
};
/** A job that starts after the late one would have. */
const LATER_REQUEST: SubmitRequest = { ...REQUEST, id: "00000000000000e2" };

After(LIMIT, async function(this: Partial<LateWorld>) {
    await this.lateSimulation?.close();
});

function simulationOf({ lateSimulation }: LateWorld): TakeoverSimulation {
    assert.ok(lateSimulation !== undefined);
    return lateSimulation;
}

/** Lets time pass until the promise has a value. */
async function passTimeUntil<Value>(world: LateWorld, promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    void promise.then(() => {
        isSettled = true;
    });
    assert.ok(await simulationOf(world).passTime(WAIT_MILLISECONDS, () => isSettled), "no answer");
    return promise;
}

Given("an owner of simulated workers", LIMIT, async function(this: LateWorld) {
    this.lateSimulation = createTakeoverSimulation(WORKERS, 1);
    const { workerNames } = this.lateSimulation;
    this.reach = { workers: new Set(workerNames), store: true, successors: true };
    this.owner = this.lateSimulation.startOwner(this.reach);
    assert.ok(await this.lateSimulation.passTime(WAIT_MILLISECONDS, () => simulationOf(this).runs.length > 0));
});

When("a job that it has never been given is cancelled there", LIMIT, async function(this: LateWorld) {
    const answer = await passTimeUntil(this, this.owner.cell.cancel(REQUEST));
    assert.deepEqual(answer.unwrapOr(undefined), {});
});

When("the cancelling is repeated", LIMIT, async function(this: LateWorld) {
    const answer = await passTimeUntil(this, this.owner.cell.cancel(REQUEST));
    assert.deepEqual(answer.unwrapOr(undefined), {});
});

When("nothing else happens", () => undefined);

When("its successor has taken over", LIMIT, async function(this: LateWorld) {
    await this.owner.announceStop();
    this.owner = simulationOf(this).startOwner(this.reach);
});

When("the job is submitted", LIMIT, async function(this: LateWorld) {
    this.lateAnswer = await passTimeUntil(this, this.owner.cell.submit(REQUEST));
});

When(
    "the job is submitted and cancelled while the owner cannot reach the store",
    LIMIT,
    async function(this: LateWorld) {
        this.reach.store = false;
        const submitted = this.owner.cell.submit(REQUEST);
        const cancelled = this.owner.cell.cancel(REQUEST);
        assert.equal((await passTimeUntil(this, submitted)).unwrapOr(undefined)?.kind, "refused");
        this.reach.store = true;
        const answer = await passTimeUntil(this, cancelled);
        assert.deepEqual(answer.unwrapOr(undefined), {});
    },
);

When("the job is submitted twice while the owner cannot reach the store", LIMIT, async function(this: LateWorld) {
    this.reach.store = false;
    const submissions = [this.owner.cell.submit(REQUEST), this.owner.cell.submit(REQUEST)];
    await passTimeUntil(this, Promise.race(submissions));
    this.reach.store = true;
    const answers = await passTimeUntil(this, Promise.all(submissions));
    this.answerKinds = answers.map(answer => answer.unwrapOr(undefined)?.kind);
});

Then("both submissions are refused", function(this: LateWorld) {
    assert.deepEqual(this.answerKinds, ["refused", "refused"]);
});

Then("the submission was accepted", function(this: LateWorld) {
    assert.equal(this.lateAnswer.unwrapOr(undefined)?.kind, "accepted");
});

Then("there is no such job", LIMIT, async function(this: LateWorld) {
    const answer = await passTimeUntil(this, this.owner.cell.state(REQUEST));
    assert.deepEqual(answer.unwrapOr(undefined), {});
});

Then("the job is shown as cancelled, and none of its tasks starts", LIMIT, async function(this: LateWorld) {
    const simulation = simulationOf(this);
    await passTimeUntil(this, this.owner.cell.submit(LATER_REQUEST));
    const hasStarted = (id: string): boolean => simulation.runs.some(({ task }) => task.startsWith(`${id}.`));
    assert.ok(
        await simulation.passTime(WAIT_MILLISECONDS, () => hasStarted(LATER_REQUEST.id)),
        "the later job has not started",
    );
    assert.ok(!hasStarted(REQUEST.id), "the cancelled job has started");
    const answer = await passTimeUntil(this, this.owner.cell.state(REQUEST));
    assert.deepEqual(answer.unwrapOr(undefined), { state: "cancelled" });
});

Given("a job table restored from a snapshot that holds the cancelling of an unknown job", function(this: LateWorld) {
    const former = createEmptyJobTable();
    recordCancelling(former, REQUEST, NOW);
    this.jobTable = createEmptyJobTable();
    replaySegment(this.jobTable, { ...createSnapshot(former, new Set()) }, new Set(), NOW);
    assert.equal(this.jobTable.jobs.get(REQUEST.id)?.isUnsubmitted, true);
});

Then(/^it (still holds|has forgotten) it when jobs that ended (before|by) then are removed$/, function(
    this: LateWorld,
    outcome: string,
    limit: string,
) {
    removeEndedJobs(this.jobTable, limit === "before" ? NOW : NOW + 1);
    const isForgotten = outcome === "has forgotten";
    assert.equal(this.jobTable.jobs.has(REQUEST.id), !isForgotten);
    assert.deepEqual(this.jobTable.changes.forgotten, isForgotten ? [REQUEST.id] : []);
});
