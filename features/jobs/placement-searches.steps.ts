/**
 * Steps for the searches of a pass that leaves out fillers which need no less than one that found no worker.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRandom } from "../../src/core/random.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { addToLoad, copyLoad } from "../../src/jobs/job-table/occupancy.js";
import type { WorkerLoad } from "../../src/jobs/job-table/occupancy.js";
import type { Task } from "../../src/jobs/job-table/task.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { expectedEndIfStarted } from "../../src/jobs/policy/forecast.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import type { Interference } from "../../src/jobs/policy/interference.js";
import { isLate } from "../../src/jobs/policy/order.js";
import { planPass } from "../../src/jobs/policy/pass.js";
import type { PassPlan } from "../../src/jobs/policy/pass.js";
import { chooseWorker } from "../../src/jobs/policy/placement.js";
import { assessStarvation, isHalfEmpty } from "../../src/jobs/policy/starvation.js";
import { explainPlacement } from "../../src/jobs/policy/waiting.js";
import { addTask, describeWorker, NOW, QUEUE } from "./builders.js";

interface SearchesWorld {
    jobTable: JobTable;
    workerIds: string[];
    waiting: Task[];
    candidates: Candidate[];
    model: Interference;
    plan: PassPlan;
}

const WORKER_CORES = 32;
const SEED = 58;
const LATE_MILLISECONDS = 60_000;
const IMAGES = ["booking", "ledger", "mail", "survey"];
/** How much the fillers of each image slow down serving tasks. */
const WEIGHTS = new Map(IMAGES.map((image, index) => [image, 0.5 * (index + 1)]));

function listCandidates(loads: ReadonlyMap<string, WorkerLoad>): Candidate[] {
    return [...loads].map(([id, load]) => ({ worker: describeWorker(id, WORKER_CORES), load }));
}

When(
    "a pass looks at {int} fillers of {int} images and of several sizes, half of them of late jobs",
    function(this: SearchesWorld, tasks: number, images: number) {
        assert.equal(images, IMAGES.length);
        const random = createRandom(SEED);
        const pick = <Value>(values: readonly Value[]): Value | undefined =>
            values[Math.floor(random() * values.length)];
        this.model = {
            ...createInterference(),
            isKnown: () => true,
            estimateWeight: (_, image) => ({ mean: WEIGHTS.get(image) ?? 0, deviation: 0 }),
            pressure: (_, milliseconds) => 1 - 5 / milliseconds,
        };
        this.waiting = Array.from({ length: tasks }, (_, index) => {
            const fields = { image: pick(IMAGES) ?? "", isFiller: true, cores: pick([2, 3, 5, 8, 13]) ?? 2 };
            return addTask(this.jobTable, `waiting-${index}`, fields, NOW - (index % 2 === 0 ? LATE_MILLISECONDS : 0));
        });
        this.candidates = this.workerIds.map(id => ({
            worker: describeWorker(id, WORKER_CORES),
            load: this.jobTable.occupancy.load(id),
        }));
        this.plan = planPass({
            epoch: 1,
            startableTasks: this.waiting,
            pools: new Map([[QUEUE.pool, this.candidates]]),
            queues: new Map([[QUEUE.name, QUEUE]]),
            reviewedWorkers: [],
            attemptsToStop: new Set(),
            interference: this.model,
            durations: createDurations(),
            startLimit: Infinity,
            stopLimitMilliseconds: 0,
            mayGiveWay: false,
            mayStartCopies: false,
            isUnderReview: () => false,
        }, NOW);
    },
);

Then("it starts some of them, and makes at most {int} searches", function(this: SearchesWorld, limit: number) {
    const { searches, starts } = this.plan;
    assert.ok(starts.length > 0 && starts.length < this.waiting.length / 2, `${starts.length} starts`);
    assert.ok(searches <= limit, `${searches} searches`);
});

Then("it makes fewer searches than it starts tasks", function(this: SearchesWorld) {
    const { searches, starts } = this.plan;
    assert.ok(searches < starts.length, `${searches} searches, ${starts.length} starts`);
});

Then("each starts on the worker that a search of its own finds", function(this: SearchesWorld) {
    const loads = new Map(this.workerIds.map(id => [id, copyLoad(this.jobTable.occupancy.load(id))]));
    const durations = createDurations();
    const isPoolHalfEmpty = isHalfEmpty(listCandidates(loads));
    for (const attempt of this.plan.starts) {
        const { task, worker } = attempt;
        const isTaskLate = isLate(task, new Map([[QUEUE.name, QUEUE]]), durations, NOW);
        const found = chooseWorker(task, listCandidates(loads), this.model, NOW, {
            starvation: assessStarvation(task, { isPoolHalfEmpty, isLate: () => isTaskLate }, NOW),
            expectedEndMilliseconds: expectedEndIfStarted(task.step, durations, NOW),
        });
        assert.equal(found?.worker.id, worker, task.key);
        const load = loads.get(worker);
        assert.ok(load !== undefined);
        addToLoad(load, attempt);
    }
});

Then("none of those that it leaves out would find a worker by a search of its own", function(this: SearchesWorld) {
    const started = new Set(this.plan.starts.map(({ task }) => task));
    for (const task of this.waiting.filter(waiting => !started.has(waiting))) {
        const { suitableWorkers } = explainPlacement(task, {
            candidates: this.candidates,
            unavailable: new Map(),
            interference: this.model,
            durations: createDurations(),
            queues: new Map([[QUEUE.name, QUEUE]]),
        }, NOW);
        assert.equal(suitableWorkers, 0, task.key);
    }
});
