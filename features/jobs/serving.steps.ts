/**
 * Steps for serving tasks beside fillers whose effects have to be learnt.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { learningPolicy, oraclePolicy } from "../../bench/colocation/contestants.js";
import type { Contestant } from "../../bench/colocation/contestants.js";
import { DEPLOYMENTS } from "../../bench/colocation/deployments.js";
import { simulateColocation } from "../../bench/colocation/simulation.js";
import type { ColocationFigures } from "../../bench/colocation/simulation.js";
import { createWorkload } from "../../bench/colocation/workload.js";
import { createRandom } from "../../src/core/random.js";
import { addAttempt, recordRunningAttempt } from "../../src/jobs/job-table/attempts.js";
import { openAllTasks, stepProgressOf } from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import type { Interference } from "../../src/jobs/policy/interference.js";
import { chooseWorker, startingPaceOf } from "../../src/jobs/policy/placement.js";
import { addTask, CORE, createEmptyJobTable, describeWorker, NOW, runTask } from "./builders.js";

interface ServingWorld {
    seed: number;
    figures: (contestant: Contestant) => ColocationFigures;
    learnt: ColocationFigures;
    jobTable: JobTable;
    model: Interference;
    candidate: Candidate;
    serving: Attempt;
    now: number;
    otherTask: Task;
}

const WORKER = "worker-0";
const WORKER_CORES = 16;
const OBJECTIVE_MILLISECONDS = 50;
const UNLOADED_TAIL_MILLISECONDS = 10;
const HALF_LOAD = 0.45;
const REPORT_MILLISECONDS = 400;

/** Tail latency of a serving task under a pressure, in whole milliseconds. */
function tailAt(pressure: number): number {
    return Math.round(UNLOADED_TAIL_MILLISECONDS / (1 - pressure));
}

function report(world: ServingWorld, attempt: Attempt, measurement: number): void {
    const { key } = attempt.task;
    recordRunningAttempt(world.jobTable, attempt.worker, {
        task: key,
        attempt: attempt.number,
        checkpoint: "",
        percent: 50,
        measurement,
    }, world.now);
}

function observe(world: ServingWorld): void {
    const { load, worker } = world.candidate;
    world.model.observe(worker.id, load, worker.capacity.millicores, world.now);
}

/** Looks for a place for a filler; returns the pace at which it would start. */
function startingPace(world: ServingWorld, cores: number): number | undefined {
    const { jobTable, model, now } = world;
    const task = addTask(jobTable, `filler-${jobTable.jobs.size}`, { image: "booking", isFiller: true, cores }, now);
    const candidate = { ...world.candidate };
    const chosen = chooseWorker(task, [candidate], model, now);
    return chosen === undefined ? undefined : startingPaceOf(task, chosen, model, now);
}

Given("the calm day's load of Taruhama, drawn from seed {int}", function(this: ServingWorld, seed: number) {
    this.seed = seed;
});

When(
    "the policy of submitted jobs places and paces the batch work for {int} s",
    function(this: ServingWorld, seconds: number) {
        const options = DEPLOYMENTS["taruhama"];
        assert.ok(options !== undefined);
        this.figures = contestant => {
            const workload = createWorkload(options, createRandom(this.seed));
            const random = createRandom(this.seed + 1);
            return simulateColocation(workload, random, seconds, jobOf => contestant(workload, jobOf));
        };
        this.learnt = this.figures(learningPolicy);
    },
);

Then(
    "serving tasks were within their objective for at least {float} of their time",
    function(this: ServingWorld, share: number) {
        assert.ok(this.learnt.withinObjective >= share, `${this.learnt.withinObjective}`);
    },
);

Then(
    "the completed batch work is at least {float} of that of a policy which knows all effects and loads",
    function(this: ServingWorld, share: number) {
        const known = this.figures(oraclePolicy).fillerCoreSeconds;
        assert.ok(this.learnt.fillerCoreSeconds >= share * known, `${this.learnt.fillerCoreSeconds} of ${known}`);
    },
);

Given("a worker of 16 cores with a serving task at half of its load", function(this: ServingWorld) {
    this.now = NOW;
    this.jobTable = createEmptyJobTable();
    this.model = createInterference();
    const task = addTask(this.jobTable, "serving", {
        image: "watch",
        isLasting: true,
        cores: 4,
        latencyObjectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    }, NOW - 10_000);
    this.serving = runTask(this.jobTable, task, WORKER, NOW - 10_000, tailAt(HALF_LOAD), 100);
    const load = this.jobTable.occupancy.load(WORKER);
    this.candidate = { worker: describeWorker(WORKER, WORKER_CORES), load };
    for (let reports = 0; reports < 8; reports++) {
        this.now += REPORT_MILLISECONDS;
        report(this, this.serving, tailAt(HALF_LOAD));
        observe(this);
    }
});

Then("a filler of {int} cores starts there below full pace", function(this: ServingWorld, cores: number) {
    const pace = startingPace(this, cores);
    assert.ok(pace !== undefined && pace > 0 && pace < 100, `${pace}`);
    this.model.recordTrial("watch", "booking", this.now);
});

Then("another one of the same image has to wait", function(this: ServingWorld) {
    assert.equal(startingPace(this, 3), undefined);
});

When(
    "fillers of {int} cores that take {float} of its tolerance have been reported for {int} s",
    function(this: ServingWorld, cores: number, taken: number, seconds: number) {
        const id = `running-${this.jobTable.jobs.size}`;
        const task = addTask(this.jobTable, id, { image: "booking", isFiller: true, cores }, this.now);
        const filler = addAttempt(this.jobTable, task, WORKER, 1, this.now);
        const tolerance = 1 - UNLOADED_TAIL_MILLISECONDS / OBJECTIVE_MILLISECONDS - HALF_LOAD;
        const tail = tailAt(HALF_LOAD + taken * tolerance);
        for (const until = this.now + seconds * 1_000; this.now < until;) {
            report(this, filler, cores * CORE);
            this.now += REPORT_MILLISECONDS;
            report(this, filler, cores * CORE);
            report(this, this.serving, tail);
            observe(this);
        }
        // The filler ends, and the serving task recovers.
        this.jobTable.occupancy.remove(filler);
        for (let reports = 0; reports < 4; reports++) {
            this.now += REPORT_MILLISECONDS;
            report(this, this.serving, tailAt(HALF_LOAD));
            observe(this);
        }
    },
);

Then("a filler of {int} cores starts there at full pace", function(this: ServingWorld, cores: number) {
    assert.equal(startingPace(this, cores), 100);
});

Then("a filler of {int} cores is not placed there", function(this: ServingWorld, cores: number) {
    assert.equal(startingPace(this, cores), undefined);
});

Given("a serving step on two workers, of which only the first reports", function(this: ServingWorld) {
    this.now = NOW;
    this.jobTable = createEmptyJobTable();
    this.model = createInterference();
    const first = addTask(this.jobTable, "serving", {
        taskCount: 2,
        image: "watch",
        isLasting: true,
        latencyObjectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    }, NOW - 10_000);
    const [, second] = openAllTasks(first.occurrence, first.stepIndex);
    assert.ok(second !== undefined);
    this.otherTask = second;
    this.serving = runTask(this.jobTable, first, WORKER, NOW - 10_000, tailAt(HALF_LOAD), 100);
    runTask(this.jobTable, second, "worker-1", NOW - 10_000, 0, 100);
    const load = this.jobTable.occupancy.load(WORKER);
    this.candidate = { worker: describeWorker(WORKER, WORKER_CORES), load };
});

When(
    "the load reported there rises from {float} to {float} within {int} s",
    function(this: ServingWorld, from: number, to: number, seconds: number) {
        const reports = seconds * 1_000 / REPORT_MILLISECONDS;
        for (let sent = 0; sent <= reports; sent++) {
            this.now += REPORT_MILLISECONDS;
            report(this, this.serving, tailAt(from + (to - from) * sent / reports));
            observe(this);
        }
    },
);

Then(
    "the load expected on the second worker is between {float} and {float}",
    function(this: ServingWorld, lowest: number, highest: number) {
        const load = this.model.estimateLoad(stepProgressOf(this.otherTask), this.now);
        assert.ok(load >= lowest && load <= highest, `${load}`);
    },
);
