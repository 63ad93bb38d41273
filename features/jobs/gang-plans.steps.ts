/**
 * Steps for gangs that cannot be placed, with the dispatcher of a cell and simulated workers.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { pause, systemClock } from "../../src/core/time.js";
import type { CellContext } from "../../src/jobs/cell/context.js";
import { createDispatcher } from "../../src/jobs/cell/dispatch.js";
import { createRecovery } from "../../src/jobs/cell/recovery.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import { addAttempt, recordCrash, withdrawAttempt } from "../../src/jobs/job-table/attempts.js";
import { gangMembersOf } from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { WorkerLoad } from "../../src/jobs/job-table/occupancy.js";
import type { Task } from "../../src/jobs/job-table/task.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import type { Interference } from "../../src/jobs/policy/interference.js";
import { addTask, createEmptyJobTable, describeWorker, runTask } from "./builders.js";
import { createSimulatedCell } from "./simulated-cell.js";

interface GangPlansWorld {
    jobTable: JobTable;
    workers: CellWorker[];
    interference: Interference;
    gang: Task;
    task: Task;
    readyAt: number;
    started: string[];
    loads: readonly WorkerLoad[];
}

const GANG = "00000000000000f1";
const JOB = "00000000000000f2";
const WORKER_CORES = 32;
const CLOCK_MILLISECONDS = 500_000;
const LIMIT = { timeout: 10_000 };

function prepare(world: GangPlansWorld, workerCount: number): void {
    world.jobTable = createEmptyJobTable();
    world.interference = createInterference();
    world.started = [];
    world.readyAt = systemClock();
    world.workers = Array.from({ length: workerCount }, (_, index) => {
        const worker = createCellWorker(describeWorker(`worker-${index}`, WORKER_CORES), true, systemClock());
        worker.contact = "answering";
        worker.clock = { workerMilliseconds: CLOCK_MILLISECONDS, atMilliseconds: systemClock() };
        return worker;
    });
}

function addGang(world: GangPlansWorld, taskCount: number, fields: Parameters<typeof addTask>[2] = {}): void {
    world.gang = addTask(world.jobTable, GANG, { taskCount, isGang: true, ...fields }, world.readyAt);
}

/** Puts all members under suspicion of a crash of a worker that is gone. */
function suspectGang({ gang, jobTable, readyAt }: GangPlansWorld): void {
    for (const member of gangMembersOf(gang)) {
        const attempt = addAttempt(jobTable, member, "gone", 1, readyAt);
        recordCrash(jobTable, attempt, readyAt);
        withdrawAttempt(jobTable, attempt);
    }
    jobTable.attemptsToStop.clear();
}

function copyLoads({ jobTable, workers }: GangPlansWorld): WorkerLoad[] {
    return workers.map(({ listed }) => {
        const load = jobTable.occupancy.load(listed.id);
        return { ...load, attempts: [...load.attempts], suspects: [...load.suspects] };
    });
}

Given(
    "{int} workers, and a gang of {int} whose members may not share a worker and are suspected of a crash",
    function(this: GangPlansWorld, workers: number, members: number) {
        prepare(this, workers);
        addGang(this, members, { limitPerWorker: 1 });
        suspectGang(this);
    },
);

Given("{int} workers, and a gang of {int} whose members are suspected of a crash", function(
    this: GangPlansWorld,
    workers: number,
    members: number,
) {
    prepare(this, workers);
    addGang(this, members);
    suspectGang(this);
});

Given("a job of {int} tasks that comes after the gang", function(this: GangPlansWorld, taskCount: number) {
    addTask(this.jobTable, JOB, { taskCount }, systemClock());
});

Given(
    "{int} workers with a serving task each, and a gang of {int} fillers whose members may not share a worker",
    function(this: GangPlansWorld, workers: number, members: number) {
        prepare(this, workers);
        for (const { listed: { id } } of this.workers) {
            const fields = { image: "desk", latencyObjectiveMilliseconds: 100, isLasting: true };
            runTask(this.jobTable, addTask(this.jobTable, `serving-${id}`, fields, this.readyAt), id, this.readyAt);
        }
        addGang(this, members, { limitPerWorker: 1, isFiller: true, image: "filler" });
        this.loads = copyLoads(this);
    },
);

When("tasks are dispatched for {int} ms", LIMIT, async function(this: GangPlansWorld, milliseconds: number) {
    const end = new AbortController();
    const simulated = createSimulatedCell({
        jobTable: this.jobTable,
        signal: end.signal,
        orders: {
            start: async (_, { task }) => {
                this.started.push(task);
                return Result.ok({ kind: "started", clockMilliseconds: CLOCK_MILLISECONDS });
            },
        },
    });
    const cell: CellContext = {
        ...simulated,
        interference: this.interference,
        workers: new Map(this.workers.map(worker => [worker.listed.id, worker])),
    };
    const recovery = createRecovery({
        workers: [],
        claimedAtMilliseconds: systemClock(),
        predecessorActiveMilliseconds: 0,
        longestLeaseOf: () => 0,
        contactMilliseconds: 0,
    });
    const dispatched = createDispatcher(cell, recovery).run();
    await pause(milliseconds);
    end.abort();
    await dispatched;
});

Then("the {int} tasks of the job have started, and no member of the gang", function(
    this: GangPlansWorld,
    count: number,
) {
    assert.equal(this.started.filter(key => key.startsWith(JOB)).length, count);
    assert.equal(this.started.filter(key => key.startsWith(GANG)).length, 0);
});

Then("all {int} members of the gang have started", function(this: GangPlansWorld, count: number) {
    assert.equal(this.started.filter(key => key.startsWith(GANG)).length, count);
});

Then(
    "the gang still waits since its submission, with its first attempt number, and nothing has changed on the workers",
    function(this: GangPlansWorld) {
        assert.deepEqual(this.started, []);
        for (const member of gangMembersOf(this.gang)) {
            assert.equal(member.phase, "ready");
            assert.equal(member.readyAtMilliseconds, this.readyAt);
            assert.equal(member.lastAttempt, 0);
        }
        assert.deepEqual(copyLoads(this), this.loads);
    },
);

Then("the model has no trial of the gang's image", function(this: GangPlansWorld) {
    assert.ok(this.interference.mayTry("desk", "filler", systemClock()));
});

Given("a task that has waited for {int} ms", function(this: GangPlansWorld, milliseconds: number) {
    prepare(this, 1);
    this.task = addTask(this.jobTable, JOB, {}, this.readyAt - milliseconds);
});

When("its start is ordered and withdrawn", function(this: GangPlansWorld) {
    withdrawAttempt(this.jobTable, addAttempt(this.jobTable, this.task, "worker-0", 1, this.readyAt));
});

Then("it has still waited for {int} ms", function(this: GangPlansWorld, milliseconds: number) {
    assert.equal(this.task.phase, "ready");
    assert.equal(this.task.readyAtMilliseconds, this.readyAt - milliseconds);
});
