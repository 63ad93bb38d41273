/**
 * Steps for room that is kept beside a worker whose own room has shrunk.
 */
import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { findGap } from "../../src/jobs/policy/gap.js";
import { addTask, createEmptyJobTable, describeWorker, NOW, runTask } from "./builders.js";

interface ShrunkGapWorld {
    jobTable: JobTable;
    candidates: Candidate[];
    /** Workers that keep their room. */
    others: string[];
}

const SECOND = 1_000;
const SHRUNK = "worker-0";

function describeCandidate(jobTable: JobTable, id: string, cores: number): Candidate {
    return { worker: describeWorker(id, cores), load: jobTable.occupancy.load(id) };
}

Given("a worker that has shrunk to {int} cores under a task of {int} that serves", function(
    this: ShrunkGapWorld,
    coresLeft: number,
    cores: number,
) {
    this.jobTable = createEmptyJobTable();
    runTask(
        this.jobTable,
        addTask(this.jobTable, "serving", { cores, latencyObjectiveMilliseconds: 20 }, NOW),
        SHRUNK,
        NOW,
    );
    this.candidates = [describeCandidate(this.jobTable, SHRUNK, coresLeft)];
});

Given("{int} workers of {int} cores with a task of {int} cores each that is expected to end soon", function(
    this: ShrunkGapWorld,
    workers: number,
    cores: number,
    taskCores: number,
) {
    this.others = Array.from({ length: workers }, (_, index) => `worker-${index + 1}`);
    for (const id of this.others) {
        const fields = { cores: taskCores, estimateMilliseconds: SECOND };
        runTask(this.jobTable, addTask(this.jobTable, `short-${id}`, fields, NOW), id, NOW);
        this.candidates.push(describeCandidate(this.jobTable, id, cores));
    }
});

Then("room is kept on both of them for a gang of {int} tasks of {int} cores", function(
    this: ShrunkGapWorld,
    taskCount: number,
    cores: number,
) {
    const gang = addTask(this.jobTable, "gang", { cores, taskCount, isGang: true, limitPerWorker: 1 }, NOW);
    const holds = findGap(gang, this.candidates, new Map(), createDurations(), NOW);
    assert.deepEqual(holds.map(({ worker }) => worker).sort(), this.others);
});
