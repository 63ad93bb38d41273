/**
 * Steps for attempts without progress: those that stand still, and those that were told to.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { recordRunningAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt } from "../../src/jobs/job-table/task.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { listStalledAttempts } from "../../src/jobs/policy/health.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { choosePaces } from "../../src/jobs/policy/pacing.js";
import { addTask, CORE, createEmptyJobTable, NOW, runTask } from "./builders.js";

interface StandstillWorld {
    jobTable: JobTable;
    watchedAttempt: Attempt;
}

/** Cores of the worker that the attempts run on. */
const WORKER_CORES = 8;

Given("a task that has shown no progress for {int} ms", function(this: StandstillWorld, milliseconds: number) {
    this.jobTable = createEmptyJobTable();
    const task = addTask(this.jobTable, "still", {}, NOW);
    this.watchedAttempt = runTask(this.jobTable, task, "worker-0", NOW - milliseconds);
});

Then("it counts as standing still", function(this: StandstillWorld) {
    assert.deepEqual(listStalled(this), [this.watchedAttempt]);
});

Then("it does not when it was told to stand still", function(this: StandstillWorld) {
    this.watchedAttempt.pacePercent = 0;
    assert.deepEqual(listStalled(this), []);
});

Given(
    "a filler of {int} cores that a former owner has started, and that uses {int} cores",
    function(this: StandstillWorld, cores: number, used: number) {
        this.jobTable = createEmptyJobTable();
        const task = addTask(this.jobTable, "filler", { image: "booking", isFiller: true, cores }, NOW - 5_000);
        const attempt = recordRunningAttempt(this.jobTable, "worker-0", {
            task: task.key,
            attempt: 1,
            checkpoint: "",
            percent: 40,
            measurement: used * CORE,
        }, NOW);
        assert.ok(attempt !== undefined);
        this.watchedAttempt = attempt;
    },
);

When("it has shown no progress for {int} ms", function(this: StandstillWorld, milliseconds: number) {
    this.watchedAttempt.progressedAtMilliseconds = NOW - milliseconds;
});

Then("it does not count as standing still", function(this: StandstillWorld) {
    assert.deepEqual(listStalled(this), []);
});

Then("it is told to go on where no task that serves is beside it", function(this: StandstillWorld) {
    const load = this.jobTable.occupancy.load("worker-0");
    const paces = choosePaces(load, 8 * CORE, createInterference(), NOW);
    assert.deepEqual(paces, [{ attempt: this.watchedAttempt, percent: 100 }]);
});

Given(
    "a task that usually takes {int} s, on a worker that runs {int} other fillers of all its cores",
    function(this: StandstillWorld, seconds: number, others: number) {
        this.jobTable = createEmptyJobTable();
        const options = {
            image: "train",
            isFiller: true,
            cores: WORKER_CORES,
            estimateMilliseconds: seconds * 1_000,
        };
        const tasks = Array.from(
            { length: others + 1 },
            (_, index) => addTask(this.jobTable, `filler-${index}`, options, NOW),
        );
        const attempts = tasks.map(task => runTask(this.jobTable, task, "worker-0", NOW));
        this.watchedAttempt = attempts[0] ?? assert.fail("no task was added");
    },
);

Then(
    "after {int} ms without progress it passes as working",
    function(this: StandstillWorld, milliseconds: number) {
        this.watchedAttempt.progressedAtMilliseconds = NOW - milliseconds;
        assert.deepEqual(listStalled(this), []);
    },
);

Then(
    "after {int} ms without progress it counts as standing still",
    function(this: StandstillWorld, milliseconds: number) {
        this.watchedAttempt.progressedAtMilliseconds = NOW - milliseconds;
        assert.deepEqual(listStalled(this), [this.watchedAttempt]);
    },
);

function listStalled({ jobTable }: StandstillWorld): Attempt[] {
    const conditions = { capacityMillicores: WORKER_CORES * CORE, durations: createDurations() };
    return listStalledAttempts(jobTable.occupancy.load("worker-0"), conditions, NOW);
}
