/**
 * Steps for decisions on submitted jobs, without processes or a network.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { addAttempt } from "../../src/jobs/job-table/attempts.js";
import {
    detachChanges,
    recordWorkerUnused,
    recordWorkerUsed,
    restoreChanges,
} from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { replaySegment } from "../../src/jobs/job-table/restore.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { needsCopy } from "../../src/jobs/policy/copies.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { createWorkerHealth, recordFailedJob } from "../../src/jobs/policy/health.js";
import type { WorkerHealth } from "../../src/jobs/policy/health.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import type { Interference } from "../../src/jobs/policy/interference.js";
import { orderTasks } from "../../src/jobs/policy/order.js";
import { choosePaces } from "../../src/jobs/policy/pacing.js";
import { chooseWorker } from "../../src/jobs/policy/placement.js";
import { reserveCapacity } from "../../src/jobs/policy/reservation.js";
import { assessStarvation, isHalfEmpty } from "../../src/jobs/policy/starvation.js";
import { addTask, CORE, createEmptyJobTable, describeWorker, NOW, QUEUE, runTask } from "./builders.js";

interface DecisionWorld {
    jobTable: JobTable;
    readyTasks: Task[];
    expectedFirst: Task;
    candidates: Candidate[];
    lastingTask: Task;
    isRoomAmple: boolean;
    isPacedAfter: (overMilliseconds: number) => boolean;
    workerHealth: WorkerHealth;
    healthNow: number;
    watchedAttempt: Attempt;
}

/** Weight at which a filler on a tenth of a worker takes a serving task over its objective. */
const HARMFUL_WEIGHT = 10;

function firstTask(tasks: readonly Task[], isRoomAmple = false): Task | undefined {
    const options = { queue: () => QUEUE, durations: createDurations(), hasAmpleRoom: () => isRoomAmple };
    return orderTasks(tasks, options, NOW)[0];
}

/** Time since the submission of a job of one second, by how timely it is, in milliseconds. */
const AGES: Readonly<Record<string, number>> = { "due soon": 100, late: 4_000, "far too late": 30_000 };

Given(
    /^ready tasks: a short one that is (due soon|late|far too late), and a lasting one that has waited (\d+) ms$/,
    function(this: DecisionWorld, timeliness: string, waited: string) {
        const jobTable = createEmptyJobTable();
        const short = addTask(jobTable, "short", {}, NOW - (AGES[timeliness] ?? NaN));
        this.lastingTask = addTask(jobTable, "lasting", { isLasting: true, cores: 6 }, NOW - Number(waited));
        this.readyTasks = [short, this.lastingTask];
    },
);

Given(
    /^room that is (scarce|ample) for the lasting one, which (never ran|gave way)$/,
    function(this: DecisionWorld, room: string, history: string) {
        this.isRoomAmple = room === "ample";
        const { lastingTask } = this;
        lastingTask.gaveWayAtMilliseconds = history === "gave way" ? lastingTask.readyAtMilliseconds : undefined;
    },
);

Given(
    "{int} ready tasks of late jobs, and a lasting one of another job that has waited {int} ms",
    function(this: DecisionWorld, count: number, waited: number) {
        const jobTable = createEmptyJobTable();
        const late = Array.from({ length: count }, (_, index) => addTask(jobTable, `late-${index}`, {}, NOW - 4_000));
        this.lastingTask = addTask(jobTable, "lasting", { isLasting: true, cores: 6 }, NOW - waited);
        this.readyTasks = [...late, this.lastingTask];
    },
);

Then("the lasting one gets its turn first", function(this: DecisionWorld) {
    assert.equal(firstTask(this.readyTasks, this.isRoomAmple), this.lastingTask);
});

Then("the short one gets its turn first", function(this: DecisionWorld) {
    assert.notEqual(firstTask(this.readyTasks, this.isRoomAmple), this.lastingTask);
});

Given(
    "ready tasks of a job that is late by {int} ms and of one that is due in {int} ms",
    function(this: DecisionWorld, late: number, left: number) {
        const jobTable = createEmptyJobTable();
        const objective = 1_000 * QUEUE.stretchFactor + QUEUE.latencyObjectiveMilliseconds;
        const lateTask = addTask(jobTable, "late", {}, NOW - objective - late);
        this.expectedFirst = addTask(jobTable, "timely", {}, NOW - objective + left);
        this.readyTasks = [lateTask, this.expectedFirst];
    },
);

Then("the one that can be on time gets its turn first", function(this: DecisionWorld) {
    assert.equal(firstTask(this.readyTasks), this.expectedFirst);
});

Given(
    "two workers of {int} cores with {int} and {int} cores free",
    function(this: DecisionWorld, cores: number, first: number, second: number) {
        this.jobTable = createEmptyJobTable();
        this.candidates = [first, second].map((free, index) => {
            const worker = describeWorker(`worker-${index}`, cores);
            const task = addTask(this.jobTable, `held-${index}`, { cores: cores - free }, NOW);
            addAttempt(this.jobTable, task, worker.id, 1, NOW);
            return { worker, load: this.jobTable.occupancy.load(worker.id) };
        });
    },
);

Given("a lasting task of {int} cores has reserved room", function(this: DecisionWorld, cores: number) {
    this.lastingTask = addTask(this.jobTable, "lasting", { cores, isLasting: true }, NOW - 5_000);
    assert.equal(chooseWorker(this.lastingTask, this.candidates, createInterference(), NOW), undefined);
    assert.equal(reserveCapacity(this.lastingTask, this.candidates)?.worker.id, "worker-0");
});

function placeShort(world: DecisionWorld, cores: number): string | undefined {
    const task = addTask(world.jobTable, `short-${cores}`, { cores }, NOW);
    return chooseWorker(task, world.candidates, createInterference(), NOW)?.worker.id;
}

Then(
    "a short task of {int} cores is placed on the worker without the reservation",
    function(this: DecisionWorld, cores: number) {
        assert.equal(placeShort(this, cores), "worker-1");
    },
);

Then("a short task of {int} cores is not placed at all", function(this: DecisionWorld, cores: number) {
    assert.equal(placeShort(this, cores), undefined);
});

Then("a short task of {int} cores is placed on the first worker", function(this: DecisionWorld, cores: number) {
    assert.equal(placeShort(this, cores), "worker-0");
});

Then("the lasting task is placed once {int} cores are free", function(this: DecisionWorld, cores: number) {
    const { jobTable } = this;
    const [held] = jobTable.occupancy.load("worker-0").attempts;
    assert.ok(held !== undefined);
    jobTable.occupancy.remove(held);
    // Each pass of the dispatcher makes new reservations.
    const candidates = this.candidates.map(({ load, worker }) => ({ load, worker }));
    assert.ok(cores <= 8);
    assert.equal(chooseWorker(this.lastingTask, candidates, createInterference(), NOW)?.worker.id, "worker-0");
});

Given("a commit that takes worker {string} off, and fails", function(this: DecisionWorld, id: string) {
    this.jobTable = createEmptyJobTable();
    recordWorkerUnused(this.jobTable, id);
});

Given("a commit that records worker {string}, and fails", function(this: DecisionWorld, id: string) {
    this.jobTable = createEmptyJobTable();
    recordWorkerUsed(this.jobTable, id);
});

When("worker {string} is recorded again before the next commit", function(this: DecisionWorld, id: string) {
    const pendingChanges = detachChanges(this.jobTable);
    recordWorkerUsed(this.jobTable, id);
    restoreChanges(this.jobTable, pendingChanges);
});

When("worker {string} is taken off before the next commit", function(this: DecisionWorld, id: string) {
    const pendingChanges = detachChanges(this.jobTable);
    recordWorkerUnused(this.jobTable, id);
    restoreChanges(this.jobTable, pendingChanges);
});

function usedAfterReplay({ jobTable }: DecisionWorld): Set<string> {
    const inUse = new Set<string>();
    replaySegment(createEmptyJobTable(), detachChanges(jobTable), inUse, NOW);
    return inUse;
}

Then("the ledger says that {string} is in use", function(this: DecisionWorld, id: string) {
    assert.ok(usedAfterReplay(this).has(id));
});

Then("the ledger says that {string} is not in use", function(this: DecisionWorld, id: string) {
    assert.ok(!usedAfterReplay(this).has(id));
});

Given("a worker of which nothing is known", function(this: DecisionWorld) {
    this.workerHealth = createWorkerHealth();
    this.healthNow = NOW;
});

When("tasks of jobs {string} and {string} fail on it", function(this: DecisionWorld, first: string, second: string) {
    recordFailedJob(this.workerHealth, first, this.healthNow);
    recordFailedJob(this.workerHealth, second, this.healthNow);
});

When(
    "tasks of jobs {string} and {string} fail on it after that",
    function(this: DecisionWorld, first: string, second: string) {
        this.healthNow = this.workerHealth.quarantinedUntilMilliseconds;
        recordFailedJob(this.workerHealth, first, this.healthNow);
        recordFailedJob(this.workerHealth, second, this.healthNow);
    },
);

Then("it is not in quarantine", function(this: DecisionWorld) {
    assert.ok(this.workerHealth.quarantinedUntilMilliseconds <= this.healthNow);
});

Then("it is in quarantine for {int} ms", function(this: DecisionWorld, milliseconds: number) {
    assert.equal(this.workerHealth.quarantinedUntilMilliseconds - this.healthNow, milliseconds);
});

Given(
    "a worker on which a filler presses on a task that serves, at {float} of its objective",
    function(this: DecisionWorld, factor: number) {
        const jobTable = createEmptyJobTable();
        const objective = 20;
        const serving = addTask(jobTable, "serving", {
            image: "desk",
            isLasting: true,
            cores: 4,
            latencyObjectiveMilliseconds: objective,
        }, NOW - 10_000);
        const filler = addTask(jobTable, "filler", { image: "booking", isFiller: true, cores: 4 }, NOW - 5_000);
        this.jobTable = jobTable;
        this.watchedAttempt = runTask(jobTable, serving, "worker-0", NOW - 10_000, 5, 100);
        runTask(jobTable, filler, "worker-0", NOW - 5_000, 4 * CORE);
        const model = createInterference();
        const load = jobTable.occupancy.load("worker-0");
        // First the image's lowest latency, then the one under pressure.
        model.observe("worker-0", load, 8 * CORE, NOW - 1_000);
        this.watchedAttempt.measurement = objective * factor;
        model.observe("worker-0", load, 8 * CORE, NOW);
        this.isPacedAfter = over => {
            this.watchedAttempt.overObjectiveSinceMilliseconds = NOW - over;
            const paces = choosePaces(load, 8 * CORE, model, NOW);
            return paces.length === 1 && (over < 1_000 ? (paces[0]?.percent ?? 100) < 100 : paces[0]?.percent === 0);
        };
    },
);

Then("the filler is told to slow down", function(this: DecisionWorld) {
    assert.ok(this.isPacedAfter(0));
});

Then("all fillers are told to stop once it has been over for {int} ms", function(this: DecisionWorld, over: number) {
    assert.ok(this.isPacedAfter(over));
});

Given("a task that takes {int} times as long as its like", function(this: DecisionWorld, factor: number) {
    this.jobTable = createEmptyJobTable();
    const elapsed = 1_000;
    const task = addTask(this.jobTable, "slow", { allowsCopies: true }, NOW - elapsed);
    this.watchedAttempt = runTask(this.jobTable, task, "worker-0", NOW - elapsed, 0, 100 / factor);
});

Then("a copy is wanted where copies are allowed, and none where they are not", function(this: DecisionWorld) {
    const { watchedAttempt: attempt } = this;
    assert.equal(needsCopy(attempt, false, createDurations(), NOW), true);
    const task = { ...attempt.task, step: { ...attempt.task.step, allowsCopies: false } };
    assert.equal(needsCopy({ ...attempt, task }, false, createDurations(), NOW), false);
});

Given(
    "a worker of {int} cores with a task that serves on {int} of them, beside which all fillers are known to do harm",
    function(this: DecisionWorld, cores: number, serving: number) {
        const jobTable = createEmptyJobTable();
        const task = addTask(jobTable, "serving", {
            image: "desk",
            isLasting: true,
            cores: serving,
            latencyObjectiveMilliseconds: 20,
        }, NOW - 60_000);
        runTask(jobTable, task, "worker-0", NOW - 60_000, 8, 100);
        this.jobTable = jobTable;
        this.candidates = [{ worker: describeWorker("worker-0", cores), load: jobTable.occupancy.load("worker-0") }];
    },
);

function placeFiller({ candidates, jobTable }: DecisionWorld, cores: number, waited: number): boolean {
    const model: Interference = {
        ...createInterference(),
        isKnown: () => true,
        estimateWeight: () => ({ mean: HARMFUL_WEIGHT, deviation: 0 }),
        pressure: (_, milliseconds) => 1 - 5 / milliseconds,
    };
    const task = addTask(jobTable, `filler-${waited}`, { image: "booking", isFiller: true, cores }, NOW - waited);
    const options = {
        starvation: assessStarvation(task, { isPoolHalfEmpty: isHalfEmpty(candidates), isLate: () => false }, NOW),
    };
    return chooseWorker(task, candidates, model, NOW, options) !== undefined;
}

Then(
    "a filler of {int} cores whose job has waited {int} ms is not placed there",
    function(this: DecisionWorld, cores: number, waited: number) {
        assert.equal(placeFiller(this, cores, waited), false);
    },
);

Then(
    "a filler of {int} cores whose job has waited {int} ms is placed there",
    function(this: DecisionWorld, cores: number, waited: number) {
        assert.equal(placeFiller(this, cores, waited), true);
    },
);

Then("not once {int} more cores are in use", function(this: DecisionWorld, cores: number) {
    runTask(this.jobTable, addTask(this.jobTable, "more", { cores }, NOW), "worker-0", NOW);
    assert.equal(placeFiller(this, 3, 5_000), false);
});
