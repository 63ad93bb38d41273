/**
 * Steps for what is remembered of images.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { withdrawAttempt } from "../../src/jobs/job-table/attempts.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import type { Durations } from "../../src/jobs/policy/durations.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import type { Interference, Weight } from "../../src/jobs/policy/interference.js";
import { addTask, createEmptyJobTable, describeStep, NOW, runTask } from "./builders.js";

interface ImageMemoryWorld {
    durations: Durations;
    model: Interference;
    unknown: Weight;
    now: number;
}

const WORKER = "worker-0";
const WORKER_MILLICORES = 16_000;
const SERVING_IMAGE = "watch";
const OBJECTIVE_MILLISECONDS = 50;
const SLOWED_TAIL_MILLISECONDS = 40;
const REPORT_MILLISECONDS = 500;

const nameOfImage = (index: number): string => `image-${index}`;

When("a task of {int} ms of each of {int} images is done", function(
    this: ImageMemoryWorld,
    milliseconds: number,
    count: number,
) {
    this.durations = createDurations();
    const jobTable = createEmptyJobTable();
    for (let index = 0; index < count; index++) {
        const task = addTask(jobTable, `job-${index}`, { image: nameOfImage(index) }, NOW);
        this.durations.record(runTask(jobTable, task, WORKER, NOW), milliseconds);
    }
});

Then(
    /^the duration of image (\d+) is expected to be (?:the caller's estimate of )?(\d+) ms$/,
    function(this: ImageMemoryWorld, index: string, milliseconds: string) {
        const step = describeStep({ image: nameOfImage(Number(index)) });
        assert.equal(this.durations.estimate(step), Number(milliseconds));
    },
);

When("fillers of {int} images, one after the other, slow down a serving task", function(
    this: ImageMemoryWorld,
    count: number,
) {
    this.model = createInterference();
    this.unknown = this.model.estimateWeight(SERVING_IMAGE, "never named", NOW);
    this.now = NOW;
    const jobTable = createEmptyJobTable();
    const fields = {
        image: SERVING_IMAGE,
        isLasting: true,
        latencyObjectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    };
    const serving = runTask(jobTable, addTask(jobTable, "serving", fields, NOW), WORKER, NOW - 10_000);
    for (let index = 0; index < count; index++) {
        const filler = { image: nameOfImage(index), isFiller: true, cores: 8 };
        const attempt = runTask(jobTable, addTask(jobTable, `filler-${index}`, filler, this.now), WORKER, this.now);
        serving.measurement = SLOWED_TAIL_MILLISECONDS;
        this.now += REPORT_MILLISECONDS;
        this.model.observe(WORKER, jobTable.occupancy.load(WORKER), WORKER_MILLICORES, this.now);
        withdrawAttempt(jobTable, attempt);
    }
});

Then("the effect of image {int} has been measured", function(this: ImageMemoryWorld, index: number) {
    const weight = this.model.estimateWeight(SERVING_IMAGE, nameOfImage(index), this.now);
    assert.notDeepEqual(weight, this.unknown);
});

Then("the effect of image {int} counts as unknown", function(this: ImageMemoryWorld, index: number) {
    const weight = this.model.estimateWeight(SERVING_IMAGE, nameOfImage(index), this.now);
    assert.deepEqual(weight, this.unknown);
});

When("fillers of {int} images have been placed beside a serving image", function(
    this: ImageMemoryWorld,
    count: number,
) {
    this.model = createInterference();
    for (let index = 0; index < count; index++) {
        this.model.recordTrial(SERVING_IMAGE, nameOfImage(index), NOW);
    }
});

Then(/^a trial of image (\d+) is (due|not due)$/, function(this: ImageMemoryWorld, index: string, state: string) {
    assert.equal(this.model.mayTry(SERVING_IMAGE, nameOfImage(Number(index)), NOW), state === "due");
});
