/**
 * Simulates batch work beside serving tasks: the worker's cores are shared out in time steps.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { addAttempt, recordAttemptEnd } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt } from "../../src/jobs/job-table/task.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import type { Interference } from "../../src/jobs/policy/interference.js";
import { chooseWorker } from "../../src/jobs/policy/placement.js";
import { addTask, createEmptyJobTable, describeWorker, NOW, runTask } from "./builders.js";

const WORKER = "worker-0";
const WORKER_CORES = 32;
const FILLER_CORES = 3.5;
const FILLER_MILLISECONDS = 2_200;
const STEP_MILLISECONDS = 50;
/** Tail latency of serving tasks without load. */
const UNLOADED_TAIL_MILLISECONDS = 4;
/** Period of the load of serving tasks, and its amplitude as a share of the mean. */
const SWING_MILLISECONDS = 10_000;
const SWING = 0.5;

interface ColocationWorld {
    jobTable: JobTable;
    /** Cores that serving tasks leave unused at a given time. */
    unusedCores: (now: number) => number;
    workedMilliseconds: number[];
    carriedMilliseconds: number;
}

Given(
    "a worker of 32 cores on which tasks that serve keep {int} cores and use {float} of them, give or take a half",
    function(this: ColocationWorld, kept: number, used: number) {
        this.jobTable = createEmptyJobTable();
        const task = addTask(this.jobTable, "serving", {
            image: "watch",
            isLasting: true,
            cores: kept,
            latencyObjectiveMilliseconds: 18,
        }, NOW - 10_000);
        runTask(this.jobTable, task, WORKER, NOW - 10_000, 7, 100);
        this.unusedCores = now =>
            WORKER_CORES - kept * used * (1 + SWING * Math.sin(2 * Math.PI * (now - NOW) / SWING_MILLISECONDS));
    },
);

When(
    "fillers of 3.5 cores and 2.2 s are handed in for {int} s, more than there is room for",
    function(this: ColocationWorld, seconds: number) {
        const { jobTable } = this;
        // The pair does not interfere, so that only the cores decide.
        const model: Interference = {
            ...createInterference(),
            pressure: (_serving, tailMilliseconds) => 1 - UNLOADED_TAIL_MILLISECONDS / tailMilliseconds,
            isKnown: () => true,
            estimateWeight: () => ({ mean: 0, deviation: 0 }),
        };
        const running = new Map<Attempt, { readonly startedAt: number; left: number; }>();
        this.workedMilliseconds = [];
        this.carriedMilliseconds = 0;
        const until = NOW + seconds * 1_000;
        for (let now = NOW, count = 0; now < until; now += STEP_MILLISECONDS) {
            const load = jobTable.occupancy.load(WORKER);
            const candidates = [{ worker: describeWorker(WORKER, WORKER_CORES), load }];
            for (;; count++) {
                const fields = { image: "booking", isFiller: true, cores: FILLER_CORES };
                const task = addTask(jobTable, `filler-${count}`, fields, now);
                if (chooseWorker(task, candidates, model, now) === undefined) {
                    break;
                }
                const attempt = addAttempt(jobTable, task, WORKER, 1, now);
                running.set(attempt, { startedAt: now, left: FILLER_MILLISECONDS });
            }
            const unused = this.unusedCores(now);
            const speed = Math.min(1, unused / (running.size * FILLER_CORES));
            this.carriedMilliseconds += STEP_MILLISECONDS * unused / FILLER_CORES;
            for (const [attempt, work] of running) {
                work.left -= STEP_MILLISECONDS * speed;
                if (work.left <= 0) {
                    running.delete(attempt);
                    this.workedMilliseconds.push(now + STEP_MILLISECONDS - work.startedAt);
                    const end = {
                        sequence: count,
                        task: attempt.task.key,
                        attempt: 1,
                        end: "done",
                        checkpoint: "",
                    } as const;
                    recordAttemptEnd(jobTable, WORKER, end, now);
                }
            }
        }
    },
);

Then(
    "the fillers that were done are at least {float} of what the unused cores can carry",
    function(this: ColocationWorld, share: number) {
        const done = this.workedMilliseconds.length * FILLER_MILLISECONDS;
        assert.ok(done >= share * this.carriedMilliseconds, `${done} of ${this.carriedMilliseconds} ms`);
    },
);

Then("a filler took at most {int} times its 2.2 s, once started", function(this: ColocationWorld, times: number) {
    const longest = Math.max(...this.workedMilliseconds);
    assert.ok(longest <= times * FILLER_MILLISECONDS, `${longest} ms`);
});
