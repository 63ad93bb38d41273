/**
 * Steps for the memory of the jobs that an owner holds.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRandom } from "../../src/core/random.js";
import type { Random } from "../../src/core/random.js";
import type { Commits } from "../../src/jobs/cell/commits.js";
import { createRequestHandler } from "../../src/jobs/cell/request-handler.js";
import type { RequestHandler } from "../../src/jobs/cell/request-handler.js";
import { addAttempt, confirmStart, recordAttemptEnd } from "../../src/jobs/job-table/attempts.js";
import { listOpenTasks } from "../../src/jobs/job-table/create.js";
import { hasRoomFor, releaseEndedJobs } from "../../src/jobs/job-table/held-jobs.js";
import { detachChanges } from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob, openDeferredJobs } from "../../src/jobs/job-table/lifecycle.js";
import { createSnapshot, replaySegment } from "../../src/jobs/job-table/restore.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import type { Changes } from "../../src/jobs/ledger/segment.js";
import type { Submission } from "../../src/jobs/model/job.js";
import type { SubmitAnswer } from "../../src/jobs/model/requests.js";
import { createEmptyJobTable, describeStep, NOW, QUEUE } from "./builders.js";
import { silentLog } from "./successions.js";

interface HeldJobsWorld {
    jobTable: JobTable;
    handler: RequestHandler;
    answer: SubmitAnswer;
    /** Starts by task. */
    starts: Map<string, number>;
    ledger: Changes;
}

const JOB = "0000000000000a01";
const OTHER_JOB = "0000000000000a02";
const LIMIT = { timeout: 60_000 };

function describeJob(steps: number, taskCount: number, isChain = false): Submission {
    return {
        payload: "",
        steps: Array.from(
            { length: steps },
            (_, index) => describeStep({ taskCount, after: isChain && index > 0 ? [index - 1] : [] }),
        ),
    };
}

function accept(jobTable: JobTable, id: string, submission: Submission): void {
    acceptJob(jobTable, { id, queue: QUEUE.name, submission, acceptedAtMilliseconds: NOW });
    confirmJob(jobTable, id, NOW);
}

/** Runs ready tasks until none is left or the limit is reached, and records what has started. */
function runTasks(world: HeldJobsWorld, together: number, random: Random, limit = Infinity): void {
    const { jobTable } = world;
    const running: Attempt[] = [];
    let ended = 0;
    for (;;) {
        openDeferredJobs(jobTable, NOW);
        const next: Task[] = [...jobTable.readyTasks].slice(0, together - running.length);
        for (const task of next) {
            const attempt = addAttempt(jobTable, task, "worker-0", task.lastAttempt + 1, NOW);
            confirmStart(jobTable, attempt, 1, NOW);
            running.push(attempt);
            world.starts.set(task.key, (world.starts.get(task.key) ?? 0) + 1);
        }
        const [attempt] = running.splice(Math.floor(random() * running.length), 1);
        if (attempt === undefined || ended >= limit) {
            return;
        }
        ended += 1;
        const { number, task } = attempt;
        const end = { sequence: ended, task: task.key, attempt: number, end: "done", checkpoint: "" } as const;
        recordAttemptEnd(jobTable, "worker-0", end, NOW);
        for (const entry of jobTable.jobs.values()) {
            entry.reportedState = entry.state;
        }
        releaseEndedJobs(jobTable, NOW);
    }
}

function prepare(world: HeldJobsWorld, heldBytesLimit = Infinity): void {
    world.jobTable = createEmptyJobTable(heldBytesLimit);
    world.starts = new Map();
    const commits: Partial<Commits> = {
        failingSinceMilliseconds: () => undefined,
        requestCommit: () => undefined,
        whenCommitted: () => Promise.resolve(true),
        confirmOwnership: () => Promise.resolve(true),
    };
    world.handler = createRequestHandler({
        jobTable: world.jobTable,
        clock: () => NOW,
        log: silentLog,
        epoch: 1,
        commits: () => commits as Commits,
        requestDispatch: () => undefined,
    });
}

async function submit(world: HeldJobsWorld, id: string, submission: Submission): Promise<SubmitAnswer> {
    const answer = await world.handler.submit({ id, queue: QUEUE.name, submission });
    assert.ok(answer.isOk);
    return answer.value;
}

When("a job of {int} steps of {int} tasks is accepted", function(this: HeldJobsWorld, steps: number, tasks: number) {
    prepare(this);
    accept(this.jobTable, JOB, describeJob(steps, tasks));
});

Then("at most {int} of its tasks are open", function(this: HeldJobsWorld, most: number) {
    const entry = this.jobTable.jobs.get(JOB);
    assert.ok(entry !== undefined);
    const open = listOpenTasks(entry).length;
    assert.ok(open > 0 && open <= most, `${open} tasks`);
});

Given(
    "an accepted job of {int} steps of {int} tasks, the second after the first",
    function(this: HeldJobsWorld, steps: number, tasks: number) {
        prepare(this);
        accept(this.jobTable, JOB, describeJob(steps, tasks, true));
    },
);

When(
    "the ready tasks run, {int} at a time, and end in random order of seed {int}",
    LIMIT,
    function(this: HeldJobsWorld, together: number, seed: number) {
        runTasks(this, together, createRandom(seed));
    },
);

When(
    "{int} of its tasks have run, {int} at a time, in random order of seed {int}",
    LIMIT,
    function(this: HeldJobsWorld, count: number, together: number, seed: number) {
        runTasks(this, together, createRandom(seed), count);
    },
);

Then(
    "each of its {int} tasks has run once, and the job is completed",
    function(this: HeldJobsWorld, total: number) {
        assert.equal(this.starts.size, total);
        assert.ok([...this.starts.values()].every(starts => starts === 1));
        assert.equal(this.jobTable.jobs.get(JOB)?.state, "completed");
    },
);

Then("none of its tasks is open", function(this: HeldJobsWorld) {
    const entry = this.jobTable.jobs.get(JOB);
    assert.ok(entry !== undefined);
    assert.deepEqual(listOpenTasks(entry), []);
    assert.equal(this.jobTable.readyTasks.size, 0);
});

Then("a snapshot of the job has less than {int} bytes", function(this: HeldJobsWorld, most: number) {
    detachChanges(this.jobTable);
    this.ledger = createSnapshot(this.jobTable, new Set());
    const { length } = JSON.stringify(this.ledger);
    assert.ok(length < most, `${length} bytes`);
});

Then("a successor that reads it starts none of them again", LIMIT, function(this: HeldJobsWorld) {
    const before = [...this.starts.keys()];
    const runningBefore = new Set(
        this.jobTable.occupancy.load("worker-0").attempts.map(({ task }) => task.key),
    );
    this.jobTable = createEmptyJobTable();
    replaySegment(this.jobTable, this.ledger, new Set(), NOW);
    this.starts = new Map();
    runTasks(this, 40, createRandom(1), 2_000);
    const again = before.filter(key => !runningBefore.has(key) && this.starts.has(key));
    assert.deepEqual(again, []);
    assert.ok(this.starts.size >= 2_000);
});

Given(
    "an owner with {int} bytes for its jobs, which holds as many jobs of {int} tasks as it can",
    function(this: HeldJobsWorld, bytes: number, tasks: number) {
        prepare(this, bytes);
        const submission = describeJob(1, tasks);
        for (let index = 0; hasRoomFor(this.jobTable, submission); index++) {
            accept(this.jobTable, `held-${index}`, submission);
        }
        assert.ok(this.jobTable.jobs.size > 1);
        detachChanges(this.jobTable);
    },
);

Given("an owner with {int} bytes for its jobs, which holds no job", function(this: HeldJobsWorld, bytes: number) {
    prepare(this, bytes);
});

When("a caller submits another job", async function(this: HeldJobsWorld) {
    this.answer = await submit(this, OTHER_JOB, describeJob(1, 20));
});

const UNHOLDABLE: Readonly<Record<string, Submission>> = {
    "a gang of 100000 tasks": { payload: "", steps: [describeStep({ taskCount: 100_000, isGang: true })] },
    "a schedule of 100000 times": {
        ...describeJob(1, 1),
        schedule: { firstAtMilliseconds: NOW, intervalMilliseconds: 0, occurrences: 100_000 },
    },
    "a job of 3000 steps": describeJob(3_000, 1),
};

When(/^a caller submits (a gang .*|a schedule .*|a job of \d+ steps)$/, async function(
    this: HeldJobsWorld,
    job: string,
) {
    const submission = UNHOLDABLE[job];
    assert.ok(submission !== undefined);
    this.answer = await submit(this, OTHER_JOB, submission);
});

Then("it is refused with {string}, and nothing of it is to be committed", function(
    this: HeldJobsWorld,
    reason: string,
) {
    assert.equal(this.answer.kind, "refused");
    assert.equal(this.answer.reason, reason);
    assert.equal(this.jobTable.jobs.get(OTHER_JOB), undefined);
    assert.deepEqual(this.jobTable.changes.accepted, []);
});

Then("a job that is known already is accepted", async function(this: HeldJobsWorld) {
    assert.deepEqual(await submit(this, "held-0", describeJob(1, 20)), { kind: "accepted", isNew: false });
});

Then("an unknown job cannot be cancelled, which has no effect", async function(this: HeldJobsWorld) {
    const { heldBytes, heldBytesLimit } = this.jobTable;
    this.jobTable.heldBytes = heldBytesLimit;
    const answer = await this.handler.cancel({ id: OTHER_JOB, queue: QUEUE.name });
    assert.ok(answer.isErr);
    assert.equal(answer.error.code, "unavailable");
    assert.equal(this.jobTable.jobs.get(OTHER_JOB), undefined);
    assert.deepEqual(this.jobTable.changes.ended, []);
    this.jobTable.heldBytes = heldBytes;
});

When("one of the jobs has ended and been released", async function(this: HeldJobsWorld) {
    await this.handler.cancel({ id: "held-0", queue: QUEUE.name });
    const entry = this.jobTable.jobs.get("held-0");
    assert.ok(entry !== undefined);
    entry.reportedState = entry.state;
    releaseEndedJobs(this.jobTable, NOW);
});

Then("the job is accepted", async function(this: HeldJobsWorld) {
    const answer = await submit(this, OTHER_JOB, describeJob(1, 20));
    assert.equal(answer.kind, "accepted");
});

Given("a ledger with {int} jobs of {int} tasks", function(this: HeldJobsWorld, jobs: number, tasks: number) {
    prepare(this);
    for (let index = 0; index < jobs; index++) {
        accept(this.jobTable, `held-${index}`, describeJob(1, tasks));
    }
    detachChanges(this.jobTable);
    this.ledger = createSnapshot(this.jobTable, new Set());
});

When("an owner with {int} bytes for its jobs takes over", function(this: HeldJobsWorld, bytes: number) {
    prepare(this, bytes);
    replaySegment(this.jobTable, this.ledger, new Set(), NOW);
});

Then("it counts at most {int} bytes, and some of the jobs wait for memory", function(
    this: HeldJobsWorld,
    bytes: number,
) {
    assert.ok(this.jobTable.heldBytes <= bytes, `${this.jobTable.heldBytes} bytes`);
    assert.ok(this.jobTable.deferredJobs.size > 0 && this.jobTable.readyTasks.size > 0);
});

Then("all {int} jobs are completed", function(this: HeldJobsWorld, jobs: number) {
    const states = [...this.jobTable.jobs.values()].map(({ state }) => state);
    assert.deepEqual(states, new Array<string>(jobs).fill("completed"));
});
