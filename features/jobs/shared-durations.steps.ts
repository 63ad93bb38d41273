/**
 * Steps for the durations that are learned from runs beside others, with a simulated worker.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { pause } from "../../src/core/time.js";
import type { CellContext } from "../../src/jobs/cell/context.js";
import { runSession } from "../../src/jobs/cell/session.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt } from "../../src/jobs/job-table/task.js";
import type { WorkerReport } from "../../src/jobs/model/worker.js";
import { addTask, createEmptyJobTable, describeStep, describeWorker, NOW, runTask } from "./builders.js";
import { createSimulatedCell } from "./simulated-cell.js";

interface DurationsWorld {
    jobTable: JobTable;
    cores: number;
    others: Attempt[];
    attempt: Attempt;
    cell: CellContext;
}

const WORKER = "worker-0";
const IMAGE = "booking";
const PERCENT = 10;
const LIMIT = { timeout: 10_000 };

Given(
    "a worker of {int} cores that runs {int} fillers of {int} cores, each estimated at {int} ms",
    function(this: DurationsWorld, cores: number, count: number, size: number, estimateMilliseconds: number) {
        this.jobTable = createEmptyJobTable();
        this.cores = cores;
        const fields = { image: "survey", isFiller: true, cores: size, estimateMilliseconds };
        this.others = Array.from(
            { length: count },
            (_, index) => runTask(this.jobTable, addTask(this.jobTable, `other-${index}`, fields, NOW), WORKER, NOW),
        );
    },
);

Given(
    /^(a filler|a task that is none) of the same image that has run there for (\d+) ms$/,
    function(this: DurationsWorld, kind: string, milliseconds: string) {
        const fields = { image: IMAGE, isFiller: kind === "a filler", cores: 4 };
        const startedAt = NOW - Number(milliseconds);
        const task = addTask(this.jobTable, "watched", fields, startedAt);
        this.attempt = runTask(this.jobTable, task, WORKER, startedAt);
        this.attempt.percentAtStart = 0;
    },
);

When("the worker reports that it is done", LIMIT, async function(this: DurationsWorld) {
    const { attempt: { number, task: { key } }, cores, jobTable, others } = this;
    const report: WorkerReport = {
        incarnation: 1,
        clockMilliseconds: 2,
        running: others.map(other => ({
            task: other.task.key,
            attempt: other.number,
            checkpoint: "",
            percent: PERCENT,
            measurement: 0,
        })),
        ended: [{ sequence: 1, task: key, attempt: number, end: "done", checkpoint: "" }],
        isComplete: true,
    };
    const end = new AbortController();
    const orders = { hold: () => Promise.resolve(Result.ok(report)) };
    this.cell = createSimulatedCell({ jobTable, orders, signal: end.signal, clock: () => NOW });
    const worker = createCellWorker(describeWorker(WORKER, cores), false, NOW);
    // Without a lease, the session does not wait for a commit of the end.
    worker.isLeaseWithheld = true;
    const session = runSession(this.cell, worker, end.signal);
    while (worker.recordedSequence === 0) {
        await pause(1);
    }
    end.abort();
    await session;
});

Then("the next task of the image is expected to take {int} ms", function(this: DurationsWorld, milliseconds: number) {
    assert.equal(this.cell.durations.estimate(describeStep({ image: IMAGE })), milliseconds);
});
