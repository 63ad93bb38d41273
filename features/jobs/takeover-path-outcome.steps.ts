/**
 * Steps for what workers and callers have seen of takeovers with real processes.
 */
import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { QUEUE_PREFIX } from "../../stand-ins/users-platform/deployment.js";
import type { RunRecord } from "../../stand-ins/users-platform/worker.js";
import { idleTasks, isCompleted, LASTING_JOB, waitForSuccessor } from "./takeover-path-world.js";
import type { TakeoverPathWorld } from "./takeover-path-world.js";
import { byTask, describeJob, runningProcesses, runsOf, submit, waitUntil } from "./world.js";

const LIMIT = { timeout: 60_000 };
const LATER_JOB = "00000000000000f2";
/** Longer than all repetitions of a start. */
const LATER_TASK_MILLISECONDS = 1_000;

Then("the former owner stops owning the cell", LIMIT, async function(this: TakeoverPathWorld) {
    await waitUntil(
        () => this.formerOwner.events.filter(({ event }) => event.startsWith("cell-")).at(-1)?.event === "cell-lost",
        "the former owner has lost the cell",
    );
    await waitUntil(
        async () => {
            const { state } = await this.usersPlatform.call(this.formerOwner, "GET", QUEUE_PREFIX + LASTING_JOB);
            return state === "in_progress";
        },
        "a caller at the former owner is told of the job's state",
    );
});

Then("jobs were accepted at each other process while the owner was cut off", function(this: TakeoverPathWorld) {
    for (const process of runningProcesses(this).filter(other => other !== this.formerOwner)) {
        const isAccepted = this.acceptances.some(acceptance =>
            acceptance.process === process && acceptance.submittedAt > this.cutOffAt
            && acceptance.acceptedAt < this.restoredAt
        );
        assert.ok(isAccepted, `${process.name} accepted no job`);
    }
});

Then("every lasting task runs again", LIMIT, async function(this: TakeoverPathWorld) {
    try {
        await waitUntil(() => idleTasks(this).length === 0, "every lasting task runs");
    }
    catch (thrown) {
        throw new Error(`not running: ${idleTasks(this).join(", ")}`, { cause: thrown });
    }
});

Then(
    /^the (owner|successor) keeps the cell until it has seen the records of the killed ones lapse$/,
    LIMIT,
    async function(this: TakeoverPathWorld, role: string) {
        const keeper = role === "owner" ? this.formerOwner : await waitForSuccessor(this);
        const { processes } = this.usersPlatform;
        const killed = processes.filter(process => !runningProcesses(this).includes(process));
        const ownerships = () =>
            processes.flatMap(({ events }) => events.filter(({ event }) => event === "cell-owned"));
        const { length } = ownerships();
        await waitUntil(
            () => keeper.events.filter(({ event }) => event === "member-gone").length >= killed.length,
            "the records of the killed processes have lapsed",
        );
        assert.equal(ownerships().length, length, "the cell has changed hands again");
    },
);

Then("the recovery has ended because every worker has answered", LIMIT, async function(this: TakeoverPathWorld) {
    const successor = await waitForSuccessor(this);
    const find = () => successor.events.find(({ event }) => event === "recovery-ended");
    await waitUntil(() => find() !== undefined, "the recovery has ended");
    assert.deepEqual(find()?.["unansweredWorkers"], []);
});

Then("the start has been repeated, and a later job is completed", LIMIT, async function(this: TakeoverPathWorld) {
    assert.ok(this.startsAtLostWorker > 1, "no start has reached the worker again");
    await submit(this, LATER_JOB, describeJob(2, 1, LATER_TASK_MILLISECONDS));
    await waitUntil(() => isCompleted(this, LATER_JOB), "a later job is completed");
});

Then("no task of a worker that stayed up was started again", function(this: TakeoverPathWorld) {
    for (const [task, runs] of byTask(runsOf(this, LASTING_JOB))) {
        if (runs[0]?.worker !== this.lostWorker?.id) {
            assert.equal(runs.length, 1, `${task}: ${describeRuns(runs)}`);
        }
    }
});

Then("no task ran twice at the same time or after its end was acknowledged", function(this: TakeoverPathWorld) {
    for (const [task, runs] of byTask(this.usersPlatform.runs())) {
        runs.forEach((run, index) => {
            const former = runs.slice(0, index);
            const isAlone = former.every(({ endedAt = Infinity, how, isAcknowledged }) =>
                endedAt <= run.startedAt && !(how === "done" && isAcknowledged)
            );
            assert.ok(isAlone, `${task}: ${describeRuns(runs)}`);
        });
    }
});

function describeRuns(runs: readonly RunRecord[]): string {
    return JSON.stringify(runs.map(({ attempt, endedAt, how, startedAt, worker }) => ({
        attempt,
        worker,
        startedAt,
        endedAt,
        how,
    })));
}
