/**
 * Steps for jobs of a backlog whose attempts no worker has confirmed.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { addAttempt, recordLostAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { chooseWorker } from "../../src/jobs/policy/placement.js";
import { assessStarvation, idleSince, isIdle } from "../../src/jobs/policy/starvation.js";
import { addTask, createEmptyJobTable, describeWorker, NOW, runTask, tasksOfStep } from "./builders.js";

interface UnconfirmedWorld {
    jobTable: JobTable;
    attempt: Attempt;
    waiting: Task;
}

const JOB = "late";
const FILLER = { image: "booking", isFiller: true, cores: 4 };

Given(
    /^a late job of a half empty pool whose only attempt was ordered (\d+) ms ago and (is not confirmed|is stopped before it was confirmed|runs|is stopped while it runs)$/,
    function(this: UnconfirmedWorld, milliseconds: string, state: string) {
        const orderedAt = NOW - Number(milliseconds);
        this.jobTable = createEmptyJobTable();
        const ordered = addTask(this.jobTable, JOB, { ...FILLER, taskCount: 3 }, orderedAt);
        const [, waiting] = tasksOfStep(this.jobTable, JOB);
        assert.ok(waiting !== undefined);
        this.waiting = waiting;
        this.attempt = state.endsWith("runs")
            ? runTask(this.jobTable, ordered, "worker-1", orderedAt)
            : addAttempt(this.jobTable, ordered, "worker-1", 1, orderedAt);
        if (state.startsWith("is stopped")) {
            this.jobTable.attemptsToStop.add(this.attempt);
            this.attempt.phase = "stopping";
        }
    },
);

When("another task of it runs", function(this: UnconfirmedWorld) {
    const [, , other] = tasksOfStep(this.jobTable, JOB);
    assert.ok(other !== undefined);
    runTask(this.jobTable, other, "worker-2", NOW);
});

When("the attempt is given up", function(this: UnconfirmedWorld) {
    recordLostAttempt(this.jobTable, this.attempt, NOW);
});

Then(
    /^the job (counts|does not count) as standing still, and a filler of it (starts|does not start) where 8 fillers use all cores$/,
    function(this: UnconfirmedWorld, outcome: string, start: string) {
        const { jobTable, waiting } = this;
        for (let index = 0; index < 8; index++) {
            runTask(jobTable, addTask(jobTable, `other-${index}`, FILLER, NOW), "worker-0", NOW);
        }
        const candidates = [{ worker: describeWorker("worker-0", 32), load: jobTable.occupancy.load("worker-0") }];
        const starvation = assessStarvation(waiting, { isPoolHalfEmpty: true, isLate: () => true }, NOW);
        const chosen = chooseWorker(waiting, candidates, createInterference(), NOW, { starvation });
        assert.equal(isIdle(waiting.occurrence, NOW), outcome === "counts");
        assert.equal(chosen !== undefined, start === "starts");
    },
);

Then("the job has stood still for {int} ms", function(this: UnconfirmedWorld, milliseconds: number) {
    assert.ok(isIdle(this.waiting.occurrence, NOW));
    assert.equal(NOW - idleSince(this.waiting), milliseconds);
});
