/**
 * Steps for the placement of tasks on cold workers, without a network.
 */
import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { chooseWorker } from "../../src/jobs/policy/placement.js";
import { addTask, createEmptyJobTable, describeWorker, NOW, runTask } from "./builders.js";

interface ColdWorld {
    table: JobTable;
    candidates: Candidate[];
}

const CORES = 32;

Given("a cold worker and a warm one, with room for one task each", function(this: ColdWorld) {
    this.table = createEmptyJobTable();
    this.candidates = [true, false].map(isCold => {
        const worker = { ...describeWorker(isCold ? "cold" : "warm", CORES), isCold };
        return { worker, load: this.table.occupancy.load(worker.id) };
    });
});

Then("the first task goes to the warm worker, and the second to the cold one", function(this: ColdWorld) {
    const used = ["first", "second"].map(id => {
        const task = addTask(this.table, id, { cores: CORES }, NOW);
        const worker = chooseWorker(task, this.candidates, createInterference(), NOW)?.worker.id;
        assert.ok(worker !== undefined);
        runTask(this.table, task, worker, NOW);
        return worker;
    });
    assert.deepEqual(used, ["warm", "cold"]);
});
