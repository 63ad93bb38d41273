/**
 * Steps for the drain of a backlog: in simulated time, and by single decisions.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { describeStep } from "../../bench/colocation/jobs.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob } from "../../src/jobs/job-table/lifecycle.js";
import type { Task } from "../../src/jobs/job-table/task.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { orderTasks } from "../../src/jobs/policy/order.js";
import { chooseWorker } from "../../src/jobs/policy/placement.js";
import { assessStarvation, isHalfEmpty, isIdle } from "../../src/jobs/policy/starvation.js";
import { addTask, createEmptyJobTable, describeWorker, NOW, QUEUE, runTask, tasksOfStep } from "./builders.js";
import { createPlay } from "./look-ahead-play.js";
import type { Play } from "./look-ahead-play.js";

interface BacklogWorld {
    play: Play;
    workers: number;
    jobTable: JobTable;
    candidates: Candidate[];
    /** Identifiers of the jobs, the one that is to get its turn first at the front. */
    expected: string[];
    timely: string;
    timelyJobs: string[];
}

const LIMIT_MILLISECONDS = 3_000;
const SECOND = 1_000;
/** How long ago the late jobs were handed in. */
const AGE_MILLISECONDS = 60_000;

function describeId(index: number): string {
    return index.toString(16).padStart(16, "0");
}

function waitingTasks(jobTable: JobTable, id: string): Task[] {
    return jobTable.jobs.get(id)?.state === "completed"
        ? []
        : tasksOfStep(jobTable, id).filter(({ phase }) => phase === "ready");
}

function runsNothing(jobTable: JobTable, id: string): boolean {
    return tasksOfStep(jobTable, id).every(({ attempts }) => attempts.length === 0);
}

Given("{int} workers of {int} cores", function(this: BacklogWorld, workers: number, cores: number) {
    this.workers = workers;
    this.play = createPlay({ workers, cores, looksAhead: true });
});

Given(
    "{int} workers of {int} cores whose tasks slow each other down",
    function(this: BacklogWorld, workers: number, cores: number) {
        this.workers = workers;
        this.play = createPlay({ workers, cores, looksAhead: true, dividesCores: true });
    },
);

Given("a lasting task of {int} cores on each of them", function(this: BacklogWorld, cores: number) {
    const fields = { cores, taskCount: this.workers, limitPerWorker: 1, isLasting: true };
    this.play.submit({ id: describeId(1_000), fields, runMilliseconds: Infinity });
    this.play.advance(SECOND);
});

Given(
    "{int} jobs of {int} fillers of {int} cores that each run for {int} ms are handed in at once",
    function(this: BacklogWorld, jobs: number, taskCount: number, cores: number, runMilliseconds: number) {
        const fields = { cores, taskCount, isFiller: true, image: "booking", estimateMilliseconds: runMilliseconds };
        for (let index = 1; index <= jobs; index++) {
            this.play.submit({ id: describeId(index), fields, runMilliseconds });
        }
    },
);

When("{int} seconds have passed, after which none of them can be on time", function(
    this: BacklogWorld,
    seconds: number,
) {
    this.play.advance(seconds * SECOND);
});

Then("none of them has nothing running for {int} s on end in the {int} seconds after that", function(
    this: BacklogWorld,
    limitSeconds: number,
    seconds: number,
) {
    const { play } = this;
    const { jobTable } = play;
    const idleSince = new Map<string, number>();
    let longest = 0;
    play.advance(seconds * SECOND, () => {
        for (const id of play.outcomes.keys()) {
            const isStandingStill = waitingTasks(jobTable, id).length > 0 && runsNothing(jobTable, id);
            if (!isStandingStill) {
                idleSince.delete(id);
                continue;
            }
            const since = idleSince.get(id) ?? play.elapsed();
            idleSince.set(id, since);
            longest = Math.max(longest, play.elapsed() - since);
        }
    });
    const waiting = [...play.outcomes.keys()].filter(id => waitingTasks(jobTable, id).length > 0);
    assert.ok(waiting.length > 0, "the backlog lasts as long as the scenario looks");
    assert.equal(limitSeconds * SECOND, LIMIT_MILLISECONDS);
    assert.ok(longest < LIMIT_MILLISECONDS, `a job stood still for ${longest} ms`);
});

Then("none of them runs nothing at each of three looks {int} ms apart in the {int} seconds after that", function(
    this: BacklogWorld,
    intervalMilliseconds: number,
    seconds: number,
) {
    const { play } = this;
    const { jobTable } = play;
    const idleMoments = new Map<string, Set<number>>();
    let idleBefore = new Set<string>();
    play.advance(seconds * SECOND, () => {
        const idle = [...play.outcomes.keys()].filter(id =>
            waitingTasks(jobTable, id).length > 0 && runsNothing(jobTable, id)
        );
        // A job whose task has just ended may be given its next one in the pass that follows.
        idle.filter(id => idleBefore.has(id)).forEach(id =>
            idleMoments.set(id, (idleMoments.get(id) ?? new Set()).add(play.elapsed()))
        );
        idleBefore = new Set(idle);
    });
    const waiting = [...play.outcomes.keys()].filter(id => waitingTasks(jobTable, id).length > 0);
    assert.ok(waiting.length > 0, "the backlog lasts as long as the scenario looks");
    for (const [id, moments] of idleMoments) {
        const missed = [...moments].filter(moment =>
            moments.has(moment + intervalMilliseconds) && moments.has(moment + 2 * intervalMilliseconds)
        );
        assert.deepEqual(missed, [], `job ${id} runs nothing at these moments, and at the two looks after them`);
    }
});

When(
    "{int} jobs of a filler of {int} cores that runs for {int} ms are handed in, one each {int} ms",
    function(this: BacklogWorld, jobs: number, cores: number, runMilliseconds: number, intervalMilliseconds: number) {
        const fields = { cores, isFiller: true, image: "advice", estimateMilliseconds: runMilliseconds };
        this.timelyJobs = Array.from({ length: jobs }, (_, index) => describeId(2_000 + index));
        for (const id of this.timelyJobs) {
            this.play.submit({ id, fields, runMilliseconds });
            this.play.advance(intervalMilliseconds);
        }
    },
);

Then("each of these has ended within {int} ms, when it is due", function(this: BacklogWorld, milliseconds: number) {
    const { outcomes } = this.play;
    this.play.advance(milliseconds);
    const latencies = this.timelyJobs.map(id => {
        const { endedAt = Infinity, submittedAt } = outcomes.get(id) ?? assert.fail("the job was handed in");
        return endedAt - submittedAt;
    });
    assert.ok(latencies.every(latency => latency <= milliseconds), `ended after ${latencies.join(", ")} ms`);
});

Then("the job that goes on is the oldest one", function(this: BacklogWorld) {
    const { jobTable, outcomes } = this.play;
    const unfinished = [...outcomes.keys()].filter(id =>
        waitingTasks(jobTable, id).length > 0 && id !== describeId(1_000)
    );
    const started = unfinished.filter(id => (outcomes.get(id)?.startedTasks ?? 0) > 0);
    assert.ok(unfinished.length > 1, "several jobs wait");
    assert.deepEqual(started, unfinished.slice(0, started.length));
    assert.ok(started.length <= 1, `${started.length} jobs have begun and wait`);
});

/** Adds a job of two fillers; if it stands still, an attempt of it ended so long ago. */
function addLateJob(jobTable: JobTable, id: string, acceptedAt: number, idleMilliseconds?: number): void {
    const submission = { payload: "", steps: [describeStep({ taskCount: 2, isFiller: true, image: "booking" })] };
    acceptJob(jobTable, { id, queue: QUEUE.name, submission, acceptedAtMilliseconds: acceptedAt });
    confirmJob(jobTable, id, acceptedAt);
    const [task] = tasksOfStep(jobTable, id);
    assert.ok(task !== undefined);
    if (idleMilliseconds === undefined) {
        runTask(jobTable, task, "worker-0", NOW - SECOND);
    }
    else {
        task.occurrence.lastEndedAtMilliseconds = NOW - idleMilliseconds;
    }
}

Given(
    /^late jobs of a half empty pool that stand still for (\d+) ms, (\d+) ms and (\d+) ms, and one that (does not|is due in 1500 ms)$/,
    function(this: BacklogWorld, first: string, second: string, third: string, other: string) {
        this.jobTable = createEmptyJobTable();
        [first, second, third].forEach((milliseconds, index) =>
            addLateJob(this.jobTable, describeId(index + 1), NOW - AGE_MILLISECONDS, Number(milliseconds))
        );
        this.expected = [describeId(2), describeId(3), describeId(1)];
        this.timely = describeId(4);
        if (other === "does not") {
            addLateJob(this.jobTable, this.timely, NOW - 2 * AGE_MILLISECONDS);
        }
        else {
            addLateJob(this.jobTable, this.timely, NOW, 0);
        }
    },
);

function order({ jobTable }: BacklogWorld): Task[] {
    return orderTasks(jobTable.readyTasks, {
        queue: () => QUEUE,
        durations: createDurations(),
        isStandingStill: ({ occurrence }) => isIdle(occurrence, NOW),
    }, NOW);
}

Then(
    "their first tasks get their turns in the order of 900 ms, 400 ms and 100 ms, before any second one",
    function(this: BacklogWorld) {
        const ordered = order(this);
        assert.deepEqual(ordered.slice(0, 3).map(({ entry, index }) => [entry.id, index]), [
            [this.expected[0], 0],
            [this.expected[1], 0],
            [this.expected[2], 0],
        ]);
        assert.equal(ordered.length, 7);
    },
);

Then("the one that can be on time gets its turn before them", function(this: BacklogWorld) {
    assert.deepEqual(order(this).slice(0, 3).map(({ entry }) => entry.id), [
        this.timely,
        this.timely,
        this.expected[0],
    ]);
});

function addWorker(jobTable: JobTable, id: string, cores: number, fillers: number, size: number): Candidate {
    for (let index = 0; index < fillers; index++) {
        const filler = addTask(jobTable, `${id}-${index}`, { image: "booking", isFiller: true, cores: size }, NOW);
        runTask(jobTable, filler, id, NOW - SECOND);
    }
    return { worker: describeWorker(id, cores), load: jobTable.occupancy.load(id) };
}

Given(
    /^a worker of (\d+) cores that runs (\d+) fillers of (\d+) cores(?:, and a task (that serves )?of (\d+) cores)?$/,
    function(
        this: BacklogWorld,
        cores: string,
        fillers: string,
        size: string,
        serving: string | null,
        otherCores: string | null,
    ) {
        this.jobTable = createEmptyJobTable();
        this.candidates = [addWorker(this.jobTable, "worker-0", Number(cores), Number(fillers), Number(size))];
        if (otherCores !== null) {
            const latencyObjectiveMilliseconds = serving === null ? 0 : 25;
            const fields = { cores: Number(otherCores), isLasting: serving !== null, latencyObjectiveMilliseconds };
            runTask(this.jobTable, addTask(this.jobTable, "other", fields, NOW), "worker-0", NOW);
        }
    },
);

Given("a second worker of {int} cores that runs {int} fillers of {int} cores", function(
    this: BacklogWorld,
    cores: number,
    fillers: number,
    size: number,
) {
    this.candidates.push(addWorker(this.jobTable, "worker-1", cores, fillers, size));
});

Then(
    /^a filler of (\d+) cores whose (late )?job has stood still for (\d+) ms (starts|does not start) on it$/,
    function(this: BacklogWorld, cores: string, late: string | null, milliseconds: string, outcome: string) {
        const fields = { image: "booking", isFiller: true, cores: Number(cores) };
        const task = addTask(this.jobTable, "waiting", fields, NOW - Number(milliseconds));
        const starvation = assessStarvation(task, {
            isPoolHalfEmpty: isHalfEmpty(this.candidates),
            isLate: () => late !== null,
        }, NOW);
        const chosen = chooseWorker(task, this.candidates, createInterference(), NOW, { starvation });
        assert.equal(chosen !== undefined, outcome === "starts");
    },
);
