/**
 * Steps for workers whose capacity changes.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { applyListing, createCellWorker } from "../../src/jobs/cell/worker.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Task } from "../../src/jobs/job-table/task.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { chooseWorker } from "../../src/jobs/policy/placement.js";
import { reserveCapacity } from "../../src/jobs/policy/reservation.js";
import { addTask, createEmptyJobTable, describeWorker, NOW, runTask } from "./builders.js";
import { runsOf } from "./world.js";
import type { PathWorld } from "./world.js";

interface CapacityWorld extends PathWorld {
    jobTable: JobTable;
    candidates: Candidate[];
}

const CORE_MILLICORES = 1_000;
const SHRUNK = "worker-0";
const OTHER = "worker-1";

When(/^the capacity of every worker (?:shrinks|grows) to (\d+) cores$/, function(this: PathWorld, cores: string) {
    this.usersPlatform.workers.forEach(worker => worker.resize(Number(cores) * CORE_MILLICORES));
});

Then("no start brought a worker over its capacity", function(this: PathWorld) {
    assert.deepEqual(this.usersPlatform.workers.flatMap(({ startsOverCapacity }) => startsOverCapacity), []);
});

Then("all {int} tasks of job {string} ran at the same time", function(this: PathWorld, count: number, id: string) {
    const runs = runsOf(this, id);
    assert.equal(runs.length, count);
    const lastStart = Math.max(...runs.map(({ startedAt }) => startedAt));
    assert.ok(runs.every(({ endedAt = Infinity }) => endedAt > lastStart));
});

Given(
    "a worker of {int} cores that has shrunk to {int} with {int} in use, and another of {int} cores with {int} in use",
    function(this: CapacityWorld, cores: number, left: number, used: number, otherCores: number, otherUsed: number) {
        this.jobTable = createEmptyJobTable();
        const worker = createCellWorker(describeWorker(SHRUNK, cores), true, NOW);
        runTask(this.jobTable, addTask(this.jobTable, "shrunk", { cores: used }, NOW), SHRUNK, NOW);
        runTask(this.jobTable, addTask(this.jobTable, "other", { cores: otherUsed }, NOW), OTHER, NOW);
        applyListing(worker, describeWorker(SHRUNK, left), NOW);
        this.candidates = [worker.listed, describeWorker(OTHER, otherCores)].map(listed => ({
            worker: listed,
            load: this.jobTable.occupancy.load(listed.id),
        }));
    },
);

function addTaskOf({ jobTable }: CapacityWorld, cores: number): Task {
    return addTask(jobTable, `task-${jobTable.jobs.size}`, { cores }, NOW);
}

Then(/^a task of (\d+) cores is placed on (the other worker|neither)$/, function(
    this: CapacityWorld,
    cores: string,
    place: string,
) {
    const chosen = chooseWorker(addTaskOf(this, Number(cores)), this.candidates, createInterference(), NOW);
    assert.equal(chosen?.worker.id, place === "neither" ? undefined : OTHER);
});

Then(/^capacity for a task of (\d+) cores is reserved on (the other worker|the worker that has shrunk)$/, function(
    this: CapacityWorld,
    cores: string,
    place: string,
) {
    const chosen = reserveCapacity(addTaskOf(this, Number(cores)), this.candidates);
    assert.equal(chosen?.worker.id, place === "the other worker" ? OTHER : SHRUNK);
});
