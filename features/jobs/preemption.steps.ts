/**
 * Steps for who gets room that is too scarce for all.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { recordAttemptEnd, registerAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import type { ListedWorker } from "../../src/jobs/model/worker.js";
import { createEmptyJobTable, describeWorker, NOW } from "./builders.js";
import { addJob, createScarceRoom, decidePass, queueOfPriority, runAttempt } from "./scarce-room.js";
import type { ScarceRoomOptions, ScarceRoomPlay } from "./scarce-room.js";

interface ScarceRoomWorld {
    options: ScarceRoomOptions;
    room: ScarceRoomPlay | undefined;
    jobTable: JobTable;
    workers: ListedWorker[];
    /** The attempt that may give way. */
    attempt: Attempt;
    step: NonNullable<Parameters<typeof addJob>[2]>;
    moved: readonly Attempt[];
    restarts: Attempt[];
}

/** A play of a pool at half a minute of load takes some seconds. */
const LIMIT = { timeout: 60_000 };

const SECOND_WORKER = "worker-1";

Given(
    "{int} workers of {int} cores, each with {int} lasting tasks of {int} cores, of jobs that allow {int} of 10 to be away",
    function(this: ScarceRoomWorld, workers: number, cores: number, count: number, size: number, budget: number) {
        this.options = {
            workers,
            cores,
            lastingPerWorker: count,
            lastingCores: size,
            disruptionBudget: budget,
            mayGiveWay: true,
        };
    },
);

Given("nothing may give way", function(this: ScarceRoomWorld) {
    this.options = { ...this.options, mayGiveWay: false };
});

function roomOf(world: ScarceRoomWorld): ScarceRoomPlay {
    world.room ??= createScarceRoom(world.options);
    return world.room;
}

When(
    "a job of {int} tasks of {int} cores and 500 ms comes each {int} ms for {int} ms",
    LIMIT,
    function(this: ScarceRoomWorld, taskCount: number, cores: number, interval: number, milliseconds: number) {
        roomOf(this).play({ taskCount, cores, intervalMilliseconds: interval, milliseconds });
    },
);

When("a new owner takes over, and finds the attempts by the workers' reports", function(this: ScarceRoomWorld) {
    roomOf(this).takeOver();
});

Then(/^(\d+) % of these jobs(?: or more)? are on time$/, function(this: ScarceRoomWorld, percent: string) {
    const share = roomOf(this).onTimeShare();
    assert.ok(share * 100 >= Number(percent), `${share}`);
});

Then("{int} % of these jobs or fewer are on time", function(this: ScarceRoomWorld, percent: number) {
    const share = roomOf(this).onTimeShare();
    assert.ok(share * 100 <= percent, `${share}`);
});

Then("the lasting tasks are at work for {int} % of the time or more", function(this: ScarceRoomWorld, percent: number) {
    const share = roomOf(this).atWorkShare();
    assert.ok(share * 100 >= percent, `${share}`);
});

Then("never more of a lasting job is away than it allows", function(this: ScarceRoomWorld) {
    assert.ok(roomOf(this).stops.length > 0);
    assert.ok(roomOf(this).mostAway() <= this.options.disruptionBudget, `${roomOf(this).mostAway()}`);
});

Then("no lasting task is stopped twice within {int} ms", function(this: ScarceRoomWorld, milliseconds: number) {
    const latest = new Map<string, number>();
    for (const { atMilliseconds: at, key } of roomOf(this).stops) {
        assert.ok(at - (latest.get(key) ?? -Infinity) >= milliseconds, key);
        latest.set(key, at);
    }
});

Then(
    "each lasting task that gave way is at work again {int} ms later",
    function(this: ScarceRoomWorld, milliseconds: number) {
        const room = roomOf(this);
        for (const { atMilliseconds: at, backAtMilliseconds: back = room.now(), key } of room.stops) {
            assert.ok(back - at <= milliseconds, `${key}: ${back - at}`);
        }
    },
);

Then("nothing has been stopped", function(this: ScarceRoomWorld) {
    assert.equal(roomOf(this).stops.length, 0);
});

function createPool(world: ScarceRoomWorld, workers: readonly ListedWorker[]): void {
    world.jobTable = createEmptyJobTable();
    world.workers = [...workers];
}

Given(
    "a worker of {int} cores with a lasting task of {int} cores that has worked {int} ms, and {int} cores of others",
    function(this: ScarceRoomWorld, cores: number, lasting: number, worked: number, other: number) {
        createPool(this, [describeWorker("worker-0", cores)]);
        this.step = { cores: lasting, isLasting: true, taskCount: 10, disruptionBudget: 1 };
        const others = addJob(this.jobTable, "others", { cores: other, estimateMilliseconds: 60_000 }, NOW - 100);
        others.forEach(task => runAttempt(this.jobTable, task, "worker-0", NOW - 100, 0));
        startLasting(this, worked, 0);
    },
);

/** Adds the lasting job: one task on the worker, some of the others away, and the rest on workers of their own. */
function startLasting(world: ScarceRoomWorld, worked: number, away: number): void {
    const { jobTable, step } = world;
    const id = `lasting-${jobTable.jobs.size}`;
    const [first, ...others] = addJob(jobTable, id, step, NOW - 60_000);
    assert.ok(first !== undefined);
    world.attempt = runAttempt(jobTable, first, "worker-0", NOW - worked, 100);
    others.forEach((task, index) => {
        const worker = describeWorker(`${id}-${index}`, step.cores ?? 1);
        world.workers.push(worker);
        // The task has only just begun its startup if it is away.
        runAttempt(jobTable, task, worker.id, NOW - 1_000, index < away ? 0 : 100);
    });
}

Given(
    "{int} other tasks of its step are away, of {int} that may be",
    function(this: ScarceRoomWorld, away: number, allowed: number) {
        const { attempt, jobTable } = this;
        const worked = NOW - (attempt.runningSinceMilliseconds ?? NOW);
        jobTable.occupancy.remove(attempt);
        this.workers = this.workers.slice(0, 1);
        this.step = { ...this.step, disruptionBudget: allowed };
        startLasting(this, worked, away);
    },
);

Given(
    "a lasting task of {int} cores has waited {int} ms",
    function(this: ScarceRoomWorld, cores: number, waited: number) {
        addJob(this.jobTable, "waiting", { cores, isLasting: true }, NOW - waited);
    },
);

Given(
    "{int} lasting tasks of another job have just begun their work on workers of their own",
    function(this: ScarceRoomWorld, taskCount: number) {
        const cores = 6;
        const tasks = addJob(this.jobTable, "elsewhere", { cores, isLasting: true, taskCount }, NOW - 60_000);
        tasks.forEach((task, index) => {
            const worker = describeWorker(`elsewhere-${index}`, cores);
            this.workers.push(worker);
            runAttempt(this.jobTable, task, worker.id, NOW - 1_000, 100);
        });
    },
);

Given(
    "a lasting task of {int} cores that gave way has waited {int} ms",
    function(this: ScarceRoomWorld, cores: number, waited: number) {
        addJob(this.jobTable, "waiting", { cores, isLasting: true }, NOW - waited);
        for (const task of this.jobTable.readyTasks) {
            task.gaveWayAtMilliseconds = NOW - waited;
        }
    },
);

Given("the worker of another task of its step does not answer", function(this: ScarceRoomWorld) {
    this.workers.pop();
});

Given("a short task of {int} cores on another worker ends in {int} ms", function(
    this: ScarceRoomWorld,
    cores: number,
    left: number,
) {
    this.workers.push(describeWorker(SECOND_WORKER, cores));
    const [task] = addJob(this.jobTable, "ending", { cores, estimateMilliseconds: 500 }, NOW - 1_000);
    assert.ok(task !== undefined);
    runAttempt(this.jobTable, task, SECOND_WORKER, NOW - 500 + left, 0);
});

/** Kinds of batch work. */
const BATCH: Readonly<Record<string, Parameters<typeof addJob>[2]>> = {
    "a task that saves its progress": { savesProgress: true },
    "a task that does not": {},
    "a gang's member": { savesProgress: true, isGang: true },
    "a filler": { isFiller: true, savesProgress: true },
    "a filler with nearly all memory": {
        isFiller: true,
        savesProgress: true,
        size: { millicores: 1_000, memoryMegabytes: 63_950, accelerators: 0 },
    },
    "a task that was started 4 times": { savesProgress: true },
};

Given(
    /^a worker of (\d+) cores with (.*) of (\d+) cores that has worked (\d+) ms, in a queue of priority (\d+)$/,
    function(this: ScarceRoomWorld, cores: string, kind: string, size: string, worked: string, priority: string) {
        createPool(this, [describeWorker("worker-0", Number(cores))]);
        const startedAt = NOW - Number(worked);
        const fields = { cores: Number(size), estimateMilliseconds: 60_000, ...BATCH[kind] };
        const queue = queueOfPriority(Number(priority));
        const [task] = addJob(this.jobTable, "batch", fields, startedAt, queue.name);
        assert.ok(task !== undefined);
        const number = kind.endsWith("4 times") ? 4 : 1;
        this.attempt = runAttempt(this.jobTable, task, "worker-0", startedAt, 10, number);
        if (fields.isFiller === true) {
            // A filler's stop helps only where cores are free.
            const otherCores = fields.size === undefined ? 28 : 20;
            const [other] = addJob(
                this.jobTable,
                "other",
                { cores: otherCores, estimateMilliseconds: 60_000 },
                startedAt,
            );
            assert.ok(other !== undefined);
            runAttempt(this.jobTable, other, "worker-0", startedAt, 10);
        }
    },
);

When(
    "a short task of {int} cores waits that was submitted {int} ms ago",
    function(this: ScarceRoomWorld, cores: number, age: number) {
        addJob(this.jobTable, "urgent", { cores }, NOW - age);
        const { moves, starts } = decidePass(this.jobTable, this.workers, NOW);
        assert.equal(starts.length, 0);
        this.moved = moves.map(({ attempt }) => attempt);
    },
);

Given(
    /^a worker of (\d+) cores of which a (lasting|short) task holds (\d+)$/,
    function(this: ScarceRoomWorld, cores: string, kind: string, held: string) {
        createPool(this, [describeWorker("worker-0", Number(cores))]);
        const fields = { cores: Number(held), isLasting: kind === "lasting", estimateMilliseconds: 60_000 };
        const holders = addJob(this.jobTable, "holder", fields, NOW - 1_000);
        holders.forEach(task => runAttempt(this.jobTable, task, "worker-0", NOW - 1_000, 0));
    },
);

When(
    "a short task of {int} cores comes that was submitted {int} ms ago, and room is given",
    function(this: ScarceRoomWorld, cores: number, age: number) {
        addJob(this.jobTable, "urgent", { cores }, NOW - age);
        this.restarts = [...decidePass(this.jobTable, this.workers, NOW).starts];
    },
);

Then(/^the (lasting|short) one starts, and nothing else$/, function(this: ScarceRoomWorld, kind: string) {
    assert.deepEqual(this.restarts.map(({ task }) => task.step.isLasting), [kind === "lasting"]);
});

Then("it gives way", function(this: ScarceRoomWorld) {
    assert.deepEqual(this.moved.map(({ task }) => task.key), [this.attempt.task.key]);
});

Then("it does not give way", function(this: ScarceRoomWorld) {
    assert.deepEqual(this.moved.map(({ task }) => task.key), []);
});

When(
    "its end is reported with checkpoint {string}, and again after it was started anew",
    function(this: ScarceRoomWorld, checkpoint: string) {
        const { attempt: { number, task, worker }, jobTable, workers } = this;
        const end = { sequence: 1, task: task.key, attempt: number, end: "stopped", checkpoint } as const;
        recordAttemptEnd(jobTable, worker, end, NOW);
        this.restarts = [];
        const start = (): void => {
            const { starts } = decidePass(jobTable, [...workers, describeWorker(SECOND_WORKER, 64)], NOW);
            starts.forEach(attempt => registerAttempt(jobTable, attempt));
            this.restarts.push(...starts.filter(({ task: { key } }: { task: Task; }) => key === task.key));
        };
        start();
        recordAttemptEnd(jobTable, worker, end, NOW);
        start();
    },
);

Then("it was started once more, from checkpoint {string}", function(this: ScarceRoomWorld, checkpoint: string) {
    assert.deepEqual(this.restarts.map(attempt => attempt.checkpoint), [checkpoint]);
});
