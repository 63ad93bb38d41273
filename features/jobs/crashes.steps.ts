/**
 * Steps for tasks that crash their workers.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createFailure } from "../../src/core/errors.js";
import type { Failure } from "../../src/core/errors.js";
import type { Commits } from "../../src/jobs/cell/commits.js";
import { createCrashes, isProofOfCrash } from "../../src/jobs/cell/crashes.js";
import type { Crashes } from "../../src/jobs/cell/crashes.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import { addAttempt, recordCrash, recordLostAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Task } from "../../src/jobs/job-table/task.js";
import { needsCopy } from "../../src/jobs/policy/copies.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { chooseWorker, isRankedAlike } from "../../src/jobs/policy/placement.js";
import { addTask, createEmptyJobTable, describeWorker, NOW, runTask, tasksOfStep } from "./builders.js";
import { silentLog } from "./successions.js";
import { ownerOf, runningProcesses, runsOf, startAll, submit, waitUntil } from "./world.js";
import type { PathWorld } from "./world.js";

interface CrashWorld extends PathWorld {
    jobTable: JobTable;
    workers: CellWorker[];
    crashes: Crashes;
    suspect: Task;
    stepTasks: readonly Task[];
    round: number;
    playRound(): void;
}

const LIMIT = { timeout: 90_000 };
const WORKER_CORES = 8;
const OTHER_WORKER = "other";
/** Time after which crashes have been reviewed. */
const REVIEWED_MILLISECONDS = 1_000;
const ROUND_MILLISECONDS = 5_000;
const START_TO_CRASH_MILLISECONDS = 20;

const FAILURES: Readonly<Record<string, Failure>> = {
    "a refused connection": createFailure("unavailable", "/hold", "connect ECONNREFUSED", {
        cause: "connection-refused",
    }),
    "another incarnation": createFailure("conflict", "/hold", "another worker is at this address"),
    "no answer in time": createFailure("ambiguous", "/hold", "no answer within the time limit"),
    "an overload": createFailure("unavailable", "/hold", "status 503"),
};

function prepare(world: CrashWorld, workerCount: number): void {
    const commits: Partial<Commits> = { requestCommit: () => undefined };
    world.jobTable = createEmptyJobTable();
    world.workers = Array.from(
        { length: workerCount },
        (_, index) => createCellWorker(describeWorker(`worker-${index}`, WORKER_CORES), true, NOW),
    );
    world.crashes = createCrashes({
        commits: commits as Commits,
        jobTable: world.jobTable,
        log: silentLog,
        requestDispatch: () => undefined,
    });
}

function failReport({ crashes, jobTable }: CrashWorld, worker: CellWorker, failure: Failure | undefined): void {
    assert.ok(failure !== undefined);
    worker.failingSinceMilliseconds = NOW;
    if (isProofOfCrash(failure)) {
        crashes.record(worker, jobTable.occupancy.load(worker.listed.id).attempts, NOW);
    }
}

function taskOf({ jobTable }: CrashWorld, id: string): Task {
    const [task] = tasksOfStep(jobTable, id);
    assert.ok(task !== undefined);
    return task;
}

function addSuspect({ jobTable }: CrashWorld, id: string): Task {
    const task = addTask(jobTable, id, { allowsCopies: true }, NOW);
    recordCrash(jobTable, runTask(jobTable, task, OTHER_WORKER, NOW), NOW);
    return task;
}

When(
    /^(?:a|another) caller submits job "([^"]*)" whose only task crashes its worker$/,
    LIMIT,
    async function(this: PathWorld, id: string) {
        const script = { milliseconds: 10_000, millicores: 1_000, crashes: true };
        const step = { count: 1, cpu: script.millicores, memMb: 100, estimateMs: 1_000 };
        await submit(this, id, { spec: JSON.stringify(script), steps: [step] });
    },
);

When("the owner of the cell is killed once {int} workers have crashed", LIMIT, async function(
    this: PathWorld,
    count: number,
) {
    const owner = await ownerOf(this);
    await waitForCrashes(this, count);
    await owner.kill();
});

When("all processes are killed and started again once {int} workers have crashed", LIMIT, async function(
    this: PathWorld,
    count: number,
) {
    await waitForCrashes(this, count);
    const killed = runningProcesses(this);
    await Promise.all(killed.map(process => process.kill()));
    await startAll(this.usersPlatform, killed.length, "-again");
});

/** Waits until crashes have been counted in the ledger: the next attempt starts only after that. */
async function waitForCrashes(world: PathWorld, count: number): Promise<void> {
    await waitUntil(() => runsOf(world, world.submittedId).length > count, `${count} workers have crashed`);
}

When(
    "a caller submits job {string} with {int} tasks apart that all crash their workers",
    LIMIT,
    async function(this: PathWorld, id: string, count: number) {
        const script = { milliseconds: 10_000, millicores: 1_000, crashes: true };
        const step = { count, cpu: script.millicores, memMb: 100, estimateMs: 1_000, maxPerServer: 1 };
        await submit(this, id, { spec: JSON.stringify(script), steps: [step] });
    },
);

Then("each task of job {string} was started at most {int} times", function(this: PathWorld, id: string, most: number) {
    const starts = new Map<string, number>();
    runsOf(this, id).forEach(({ task }) => starts.set(task, (starts.get(task) ?? 0) + 1));
    assert.ok(Math.max(...starts.values()) <= most, `starts: ${[...starts.values()].join(", ")}`);
});

Then("the task of job {string} was started at most {int} times", function(this: PathWorld, id: string, most: number) {
    const { length } = runsOf(this, id);
    assert.ok(length <= most, `${length} starts`);
});

Given("a worker that has started task {string} {int} ms before its reports fail", function(
    this: CrashWorld,
    id: string,
    milliseconds: number,
) {
    prepare(this, 1);
    runTask(this.jobTable, addTask(this.jobTable, id, {}, NOW), "worker-0", NOW - milliseconds);
});

Given(
    "a worker that has started task {string} {int} ms before its reports fail, under which another worker has crashed",
    function(
        this: CrashWorld,
        id: string,
        milliseconds: number,
    ) {
        prepare(this, 1);
        addAttempt(this.jobTable, addSuspect(this, id), "worker-0", 2, NOW - milliseconds);
    },
);

Given("{int} jobs of {int} tasks each, which crash the worker that starts them", function(
    this: CrashWorld,
    jobs: number,
    taskCount: number,
) {
    prepare(this, 0);
    for (let job = 0; job < jobs; job++) {
        addTask(this.jobTable, `deadly-${job}`, { taskCount }, NOW);
    }
});

When(
    "all of them are started in rounds, each on a worker of its own, and {int} other workers crash in the first {int} rounds",
    function(this: CrashWorld, others: number, together: number) {
        this.round = 0;
        this.playRound = () => {
            this.round += 1;
            const at = NOW + this.round * ROUND_MILLISECONDS;
            const tasks = [...this.jobTable.jobs.keys()].flatMap(id => tasksOfStep(this.jobTable, id));
            tasks.forEach((task, index) => {
                addAttempt(this.jobTable, task, `worker-${index}`, this.round, at - START_TO_CRASH_MILLISECONDS);
            });
            const count = tasks.length + (this.round <= together ? others : 0);
            for (let index = 0; index < count; index++) {
                const worker = createCellWorker(describeWorker(`worker-${index}`, WORKER_CORES), true, at);
                const attempts = [...this.jobTable.occupancy.load(worker.listed.id).attempts];
                worker.failingSinceMilliseconds = at;
                this.crashes.record(worker, attempts, at);
                attempts.forEach(attempt => recordLostAttempt(this.jobTable, attempt, at));
            }
            this.crashes.review(at + REVIEWED_MILLISECONDS);
        };
    },
);

function listStates({ jobTable }: CrashWorld): string[] {
    return [...jobTable.jobs.values()].map(({ state }) => state);
}

Then("each job is given up after {int} rounds", function(this: CrashWorld, rounds: number) {
    for (let round = 1; round < rounds; round++) {
        this.playRound();
        assert.ok(!listStates(this).includes("failed"), `given up after ${round} rounds`);
    }
    this.playRound();
    assert.ok(listStates(this).every(state => state === "failed"), `not given up after ${rounds} rounds`);
});

Then("no job is given up after {int} rounds", function(this: CrashWorld, rounds: number) {
    for (let round = 1; round <= rounds; round++) {
        this.playRound();
    }
    assert.ok(!listStates(this).includes("failed"));
});

Given("it has started task {string} {int} ms before", function(this: CrashWorld, id: string, milliseconds: number) {
    runTask(this.jobTable, addTask(this.jobTable, id, {}, NOW), "worker-0", NOW - milliseconds);
});

Given(
    "it has started task {string} {int} ms before, under which another worker has crashed",
    function(this: CrashWorld, id: string, milliseconds: number) {
        addAttempt(this.jobTable, addSuspect(this, id), "worker-0", 2, NOW - milliseconds);
    },
);

Given(
    "{int} workers that have started a task each {int} ms before their reports fail",
    function(this: CrashWorld, count: number, milliseconds: number) {
        prepare(this, count);
        this.workers.forEach(({ listed: { id } }) =>
            runTask(this.jobTable, addTask(this.jobTable, `task-${id}`, {}, NOW), id, NOW - milliseconds)
        );
    },
);

When(
    /^a report fails with (.*), and the worker (is in service|is draining)$/,
    function(this: CrashWorld, failure: string, state: string) {
        const [worker] = this.workers;
        assert.ok(worker !== undefined);
        worker.listed = { ...worker.listed, isDraining: state === "is draining" };
        failReport(this, worker, FAILURES[failure]);
        this.crashes.review(NOW + REVIEWED_MILLISECONDS);
    },
);

When("the reports of all of them fail with a refused connection at the same time", function(this: CrashWorld) {
    this.workers.forEach(worker => failReport(this, worker, FAILURES["a refused connection"]));
    this.crashes.review(NOW + REVIEWED_MILLISECONDS);
});

Then("task {string} is suspected of {int} crashes", function(this: CrashWorld, id: string, count: number) {
    assert.equal(taskOf(this, id).crashedAttempts.length, count);
});

Then("no task is suspected", function(this: CrashWorld) {
    [...this.jobTable.jobs.keys()].forEach(id => assert.deepEqual(taskOf(this, id).crashedAttempts, []));
});

Given("two workers, one with {int} tasks, and a task under which a worker has crashed", function(
    this: CrashWorld,
    count: number,
) {
    prepare(this, 2);
    for (let index = 0; index < count; index++) {
        runTask(this.jobTable, addTask(this.jobTable, `beside-${index}`, {}, NOW), "worker-0", NOW - 5_000);
    }
    this.suspect = addSuspect(this, "suspect");
});

function chooseFor({ jobTable, workers }: CrashWorld, task: Task, now: number): string | undefined {
    const candidates = workers.map(({ listed }) => ({ worker: listed, load: jobTable.occupancy.load(listed.id) }));
    return chooseWorker(task, candidates, createInterference(), now)?.worker.id;
}

Then("the task is placed on the worker without tasks", function(this: CrashWorld) {
    const worker = chooseFor(this, this.suspect, NOW);
    assert.equal(worker, "worker-1");
    addAttempt(this.jobTable, this.suspect, worker, 2, NOW);
    this.workers = this.workers.filter(({ listed: { id } }) => id === worker);
});

Then("no other task is placed beside it for {int} ms", function(this: CrashWorld, milliseconds: number) {
    const other = addTask(this.jobTable, "next", {}, NOW);
    assert.equal(chooseFor(this, other, NOW + milliseconds), undefined);
});

Then("another task is placed beside it after {int} ms", function(this: CrashWorld, milliseconds: number) {
    assert.equal(chooseFor(this, taskOf(this, "next"), NOW + milliseconds), "worker-1");
});

Then("no copy of it is wanted though its worker is silent", function(this: CrashWorld) {
    const [attempt] = this.suspect.attempts;
    assert.ok(attempt !== undefined);
    assert.equal(needsCopy(attempt, true, createDurations(), NOW), false);
});

Given("a step of {int} tasks, and a worker has crashed under the second of them", function(
    this: CrashWorld,
    taskCount: number,
) {
    prepare(this, 1);
    addTask(this.jobTable, "step", { taskCount }, NOW);
    this.stepTasks = tasksOfStep(this.jobTable, "step");
    const [, second] = this.stepTasks;
    assert.ok(second !== undefined);
    recordCrash(this.jobTable, addAttempt(this.jobTable, second, OTHER_WORKER, 1, NOW), NOW);
});

Then("the workers rank alike for the first and the third, but not for the second", function(this: CrashWorld) {
    const [first, second, third] = this.stepTasks;
    assert.ok(first !== undefined && second !== undefined && third !== undefined);
    assert.ok(isRankedAlike(first, third, NOW));
    assert.ok(!isRankedAlike(first, second, NOW));
});
