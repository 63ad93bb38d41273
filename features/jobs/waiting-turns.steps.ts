/**
 * Steps for tasks that a pass has left out because it reached its limit of starts.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { planPass } from "../../src/jobs/policy/pass.js";
import type { PassPlan } from "../../src/jobs/policy/pass.js";
import { addTask, NOW, QUEUE } from "./builders.js";
import type { WaitingCell, WaitingLine } from "./waiting-world.js";

interface WaitingTurnsWorld {
    jobTable: JobTable;
    waiting: WaitingCell;
    plan: PassPlan;
}

When("{int} tasks are ready one after the other, and passes start none because of their limit", function(
    this: WaitingTurnsWorld,
    tasks: number,
) {
    this.waiting.conditions.startLimit = 0;
    for (let index = 0; index < tasks; index++) {
        addTask(this.jobTable, `job-${index}`, {}, NOW - tasks + index);
    }
});

When("{int} ms pass with a look each second, while all jobs become of other kinds", function(
    this: WaitingTurnsWorld,
    milliseconds: number,
) {
    for (let passed = 0; passed < milliseconds; passed += 1_000) {
        for (const { step } of this.jobTable.readyTasks) {
            Object.assign(step, { image: `${step.image}-later` });
        }
        this.waiting.passTime(1_000);
    }
});

Then("{int} tasks are counted as waiting for {string}, and {int} for {string}", function(
    this: WaitingTurnsWorld,
    first: number,
    firstReason: string,
    second: number,
    secondReason: string,
) {
    assert.deepEqual(this.waiting.counts(), { [firstReason]: first, [secondReason]: second });
});

Then("the lines tell for each task how many come before it", function(this: WaitingTurnsWorld) {
    const { lines } = this.waiting;
    const jobs = [...this.jobTable.jobs.keys()];
    const found = new Map(lines.map((line): [unknown, WaitingLine] => [line["job"], line]));
    assert.deepEqual(jobs.map(job => found.get(job)?.["tasksBefore"]), jobs.map((_, index) => index));
});

Then("all of them tell of {int} starts without an answer, the oldest for {int} ms", function(
    this: WaitingTurnsWorld,
    starts: number,
    milliseconds: number,
) {
    for (const line of this.waiting.lines) {
        assert.equal(line["startsInFlight"], starts);
        assert.equal(line["oldestStartMilliseconds"], milliseconds);
    }
});

When("a pass may start {int} of {int} jobs of {int} tasks, and a task that fits nowhere comes first", function(
    this: WaitingTurnsWorld,
    startLimit: number,
    jobs: number,
    taskCount: number,
) {
    addTask(this.jobTable, "too-large", { cores: 9, taskCount }, NOW - jobs - 1);
    for (let index = 0; index < jobs; index++) {
        addTask(this.jobTable, `job-${index}`, { taskCount }, NOW - jobs + index);
    }
    const { epoch, durations, interference } = this.waiting.cell;
    this.plan = planPass({
        epoch,
        startableTasks: [...this.jobTable.readyTasks],
        pools: this.waiting.pools(),
        queues: this.waiting.cell.catalog().queues,
        reviewedWorkers: [],
        attemptsToStop: new Set(),
        interference,
        durations,
        startLimit,
        stopLimitMilliseconds: 0,
        mayGiveWay: false,
        mayStartCopies: false,
        isUnderReview: () => false,
    }, NOW);
});

Then("it has left out the tasks of the last {int} jobs, oldest first, and no others", function(
    this: WaitingTurnsWorld,
    jobs: number,
) {
    const started = new Set(this.plan.starts.map(({ task }) => task));
    const ready = [...this.jobTable.readyTasks].filter(task => !started.has(task) && task.entry.id !== "too-large");
    assert.deepEqual(this.plan.unreachedTasks.map(({ key }) => key), ready.map(({ key }) => key));
    assert.equal(new Set(ready.map(({ entry }) => entry.id)).size, jobs);
    assert.equal(ready[0]?.entry.queue, QUEUE.name);
});
