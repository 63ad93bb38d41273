/**
 * Steps for the lines on work whose turn has come and that is not started.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import type { DataTable } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { addAttempt, withdrawAttempt } from "../../src/jobs/job-table/attempts.js";
import { createJobEntry } from "../../src/jobs/job-table/create.js";
import { deferJob } from "../../src/jobs/job-table/held-jobs.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import { traceEvents } from "../../src/jobs/trace.js";
import { addTask, createEmptyJobTable, describeStep, NOW, QUEUE, runTask } from "./builders.js";
import { createWaitingCell, occupy } from "./waiting-world.js";
import type { WaitingCell, WaitingLine } from "./waiting-world.js";

interface WaitingLinesWorld {
    jobTable: JobTable;
    waiting: WaitingCell;
    task: Task;
    /** Attempts that use the cores of the workers. */
    others: Attempt[];
}

type StepFields = Parameters<typeof describeStep>[0];

const JOB = "00000000000000c1";
const OTHER_JOB = "00000000000000c2";
const LABEL = "rack-7";
const CORES = 8;
const LONG_AGO = NOW - 60_000;
const HELD_BYTES_LIMIT = 1_000;

const TASKS: Readonly<Record<string, StepFields>> = {
    "a task": {},
    "a task of an earlier owner": {},
    "a task with a label": { requiredLabel: LABEL },
    "a task of 9 cores": { cores: 9 },
    "a task of 4 cores": { cores: 4 },
    "a third task of its step": { taskCount: 3, limitPerWorker: 1 },
    "a gang of 3 of 6 cores": { taskCount: 3, isGang: true, cores: 6 },
    "a filler of 4 cores": { cores: 4, isFiller: true, image: "booking" },
    "a lasting task": { cores: 4, isLasting: true },
    "a suspect of a crash": {},
};

function occupyAll(world: WaitingLinesWorld, fields: StepFields): void {
    [...world.waiting.workers.keys()].forEach(worker => occupy(world, worker, fields));
}

/** Orders a task to each worker shortly before the line is due. */
function orderToAll({ jobTable, waiting }: WaitingLinesWorld, crashedAttempts: readonly number[]): void {
    for (const worker of waiting.workers.keys()) {
        const task = addTask(jobTable, `ordered-${worker}`, {}, NOW);
        task.crashedAttempts.push(...crashedAttempts);
        runTask(jobTable, task, worker, NOW + 1_900);
    }
}

const CONDITIONS: Readonly<Record<string, (world: WaitingLinesWorld) => void>> = {
    "the owner may not send orders": ({ waiting }) => waiting.conditions.maySendOrders = false,
    "the closed data centres are not confirmed": ({ waiting }) => waiting.conditions.areClosuresConfirmed = false,
    "a worker has not answered since the takeover"({ task, waiting }) {
        Object.assign(task.entry, { isInherited: true });
        waiting.conditions.unansweredWorkers = ["worker-gone"];
    },
    "it is suspected of a crash that has not been reviewed": ({ waiting }) => waiting.conditions.isUnderReview = true,
    "the configuration has no queue of its name": ({ waiting }) => waiting.conditions.hasQueue = false,
    "the pool has no workers": ({ waiting }) => waiting.workers.clear(),
    "the workers are silent": ({ waiting }) => waiting.workers.forEach(worker => worker.contact = "silent"),
    "the workers have not been heard of": ({ waiting }) =>
        waiting.workers.forEach(worker => worker.contact = "unknown"),
    "the reports of the workers fail": ({ waiting }) =>
        waiting.workers.forEach(worker => worker.failingSinceMilliseconds = NOW),
    "the ledger does not list the workers": ({ waiting }) =>
        waiting.workers.forEach(worker => worker.isRecorded = false),
    "the workers have left the list": ({ waiting }) =>
        waiting.workers.forEach(worker => worker.unlistedSinceMilliseconds = LONG_AGO),
    "the workers drain": ({ waiting }) =>
        waiting.workers.forEach(worker => worker.listed = { ...worker.listed, isDraining: true }),
    "the workers take starts only later": ({ waiting }) =>
        waiting.workers.forEach(worker => worker.startsFromMilliseconds = Infinity),
    "the workers are in quarantine": ({ waiting }) =>
        waiting.workers.forEach(({ health }) => health.quarantinedUntilMilliseconds = Infinity),
    "the data centre of the workers is closed": ({ waiting }) => waiting.conditions.areDataCentresClosed = true,
    "the latest pass started as many as it may": ({ waiting }) => waiting.conditions.startLimit = 0,
    "no worker has that": () => undefined,
    "one worker has that, and is full"(world) {
        const worker = world.waiting.workers.get("worker-0");
        assert.ok(worker !== undefined);
        worker.listed = { ...worker.listed, labels: [LABEL] };
        occupy(world, worker.listed.id, { cores: CORES });
    },
    "no worker is that large": () => undefined,
    "other tasks use all cores": world => occupyAll(world, { cores: CORES }),
    "each worker may run one of them": () => undefined,
    "each worker has room for one": () => undefined,
    "room is kept for a lasting task"(world) {
        occupy(world, "worker-0", { cores: 3 });
        occupy(world, "worker-1", { cores: 5 });
        const lasting = addTask(world.jobTable, OTHER_JOB, { cores: 6, isLasting: true }, LONG_AGO);
        lasting.gaveWayAtMilliseconds = LONG_AGO;
    },
    // No job starves where others than fillers use more than half of the pool.
    "other fillers use the idle cores"(world) {
        occupyAll(world, { cores: 5 });
        occupyAll(world, { cores: CORES, isFiller: true, image: "other" });
    },
    "its effect on serving tasks is being measured"(world) {
        occupyAll(world, { image: "desk", latencyObjectiveMilliseconds: 100, isLasting: true });
        occupyAll(world, { cores: 4 });
        world.waiting.conditions.isTrialUnderWay = true;
    },
    "a suspect of a crash was ordered to each worker a moment ago": world => orderToAll(world, [1]),
    "tasks were ordered to each worker a moment ago"(world) {
        world.task.crashedAttempts.push(1);
        orderToAll(world, []);
    },
    "it gave way a moment ago, and room is scarce"(world) {
        occupyAll(world, { cores: 3 });
        world.task.gaveWayAtMilliseconds = NOW + 500;
    },
};

Given("a cell of {int} workers of {int} cores, whose lines on waiting work are read", function(
    this: WaitingLinesWorld,
    workers: number,
    cores: number,
) {
    this.jobTable = createEmptyJobTable();
    this.waiting = createWaitingCell(this.jobTable, workers, cores);
    this.others = [];
});

function linesOnJob({ waiting }: WaitingLinesWorld): WaitingLine[] {
    return waiting.lines.filter(({ job }) => job === JOB);
}

When(/^(a .+) is ready, and ((?!its start).+)$/, function(this: WaitingLinesWorld, kind: string, condition: string) {
    const fields = TASKS[kind];
    assert.ok(fields !== undefined, kind);
    this.task = addTask(this.jobTable, JOB, fields, NOW);
    const apply = CONDITIONS[condition];
    assert.ok(apply !== undefined, condition);
    apply(this);
});

When("{int} ms pass with a look at what waits each second", function(this: WaitingLinesWorld, milliseconds: number) {
    this.waiting.passTime(milliseconds);
});

When("other tasks use all cores", function(this: WaitingLinesWorld) {
    occupyAll(this, { cores: CORES });
});

When("the suspension of orders ends", function(this: WaitingLinesWorld) {
    this.waiting.conditions.maySendOrders = true;
});

When("the other tasks end", function(this: WaitingLinesWorld) {
    for (const attempt of this.others) {
        withdrawAttempt(this.jobTable, attempt);
        this.jobTable.readyTasks.delete(attempt.task);
    }
});

When("{int} jobs of {int} tasks are ready, and other tasks use all cores", function(
    this: WaitingLinesWorld,
    jobs: number,
    taskCount: number,
) {
    occupyAll(this, { cores: CORES });
    for (let index = 0; index < jobs; index++) {
        addTask(this.jobTable, `job-${index}`, { taskCount }, NOW);
    }
});

When("{int} jobs of {int} kinds are ready, and other tasks use all cores", function(
    this: WaitingLinesWorld,
    jobs: number,
    kinds: number,
) {
    occupyAll(this, { cores: CORES });
    for (let index = 0; index < jobs; index++) {
        addTask(this.jobTable, `job-${index}`, { image: `image-${index % kinds}` }, NOW);
    }
});

When("the workers fall silent", function(this: WaitingLinesWorld) {
    this.waiting.workers.forEach(worker => worker.contact = "silent");
});

When("a task is ready, and its start has been left unanswered by a worker that is silent now", function(
    this: WaitingLinesWorld,
) {
    this.task = addTask(this.jobTable, JOB, {}, NOW);
    addAttempt(this.jobTable, this.task, "worker-0", 1, NOW);
    this.waiting.workers.forEach(worker => worker.contact = "silent");
});

When("a job of an earlier owner waits for memory", function(this: WaitingLinesWorld) {
    this.jobTable = createEmptyJobTable(HELD_BYTES_LIMIT);
    this.waiting = createWaitingCell(this.jobTable, 1, CORES);
    const submission = { payload: "", steps: [describeStep({})] };
    const job = { id: JOB, queue: QUEUE.name, submission, acceptedAtMilliseconds: NOW };
    deferJob(this.jobTable, createJobEntry(job, true));
});

Then("one line on it says {string}, decided by {string}, held and waited for {int} ms", function(
    this: WaitingLinesWorld,
    reason: string,
    part: string,
    milliseconds: number,
) {
    const [line, ...more] = linesOnJob(this);
    assert.equal(more.length, 0);
    assert.equal(line?.["reason"], reason);
    assert.equal(line["decidedBy"], part);
    assert.equal(line["heldMilliseconds"], milliseconds);
    assert.equal(line["waitedMilliseconds"], milliseconds);
    assert.equal(line["queue"], QUEUE.name);
    assert.equal(line["epoch"], 1);
    assert.ok(reason === "memory" || String(line["task"]).startsWith(`${JOB}.`));
});

Then(/^the line has (\{.*\})$/, function(this: WaitingLinesWorld, details: string) {
    const [line] = linesOnJob(this);
    const expected = JSON.parse(details) as WaitingLine;
    const found = Object.fromEntries(Object.keys(expected).map(name => [name, line?.[name]]));
    assert.deepEqual(found, expected);
});

Then("the tasks of its step are counted as waiting for {string}", async function(
    this: WaitingLinesWorld,
    reason: string,
) {
    const tasks = linesOnJob(this)[0]?.["tasks"];
    assert.equal(this.waiting.counts()[reason as keyof ReturnType<WaitingCell["counts"]>], tasks);
    const metrics = await this.waiting.metricsText();
    assert.ok(metrics.includes(`flamingowell_cell_waiting_tasks{reason="${reason}"} ${String(tasks)}\n`), metrics);
});

Then("the lines on it say", function(this: WaitingLinesWorld, table: DataTable) {
    const found = linesOnJob(this).map(line => ({
        waited: String(line["waitedMilliseconds"]),
        held: String(line["heldMilliseconds"]),
        reason: line["reason"],
    }));
    assert.deepEqual(found, table.hashes());
});

Then("a trace of the job shows {int} of them", function(this: WaitingLinesWorld, count: number) {
    const time = new Date(NOW).toISOString();
    const written = this.waiting.lines.map(line => JSON.stringify({ time, event: "task-waiting", ...line }));
    assert.equal(traceEvents(JOB, written).own.length, count);
});

Then("there is no line", function(this: WaitingLinesWorld) {
    assert.deepEqual(this.waiting.lines, []);
});

Then("no look has written more than {int} lines", function(this: WaitingLinesWorld, limit: number) {
    assert.ok(Math.max(...this.waiting.linesOfLooks) <= limit);
});

Then("each of the {int} jobs has a line, which tells of {int} tasks", function(
    this: WaitingLinesWorld,
    jobs: number,
    tasks: number,
) {
    assert.equal(new Set(this.waiting.lines.map(({ job }) => job)).size, jobs);
    assert.ok(this.waiting.lines.every(line => line["tasks"] === tasks));
});

Then("{int} tasks are counted as waiting for {string}", function(
    this: WaitingLinesWorld,
    tasks: number,
    reason: string,
) {
    assert.deepEqual(this.waiting.counts(), { [reason]: tasks });
});
