/**
 * Steps for the bounds of what tasks wait for, in simulated time.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { describeStep } from "../../bench/colocation/jobs.js";
import type { Commits } from "../../src/jobs/cell/commits.js";
import { createCrashes } from "../../src/jobs/cell/crashes.js";
import type { Crashes } from "../../src/jobs/cell/crashes.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import { createAttempt, recordCrash } from "../../src/jobs/job-table/attempts.js";
import { describeWorker, NOW, tasksOfStep } from "./builders.js";
import { createPlay } from "./look-ahead-play.js";
import type { Play } from "./look-ahead-play.js";
import { silentLog } from "./successions.js";

interface BoundsWorld {
    play: Play;
    crashes: Crashes;
    /** Lets time pass while short tasks arrive. */
    advance(milliseconds: number): void;
    startsByWorker: Map<string, number>;
    waitingSince: number;
}

const WAITING = "ffffffffffffffe1";
const SHORT_MILLISECONDS = 400;
const WARM_UP_MILLISECONDS = 2_000;
const PLAY_MILLISECONDS = 12_000;
const PASSES_PER_SECOND = 50;

const SUSPECTS: Readonly<Record<string, Parameters<typeof describeStep>[0]>> = {
    "a short task": {},
    "a large task": { cores: 6 },
    "a lasting task": { cores: 2, isLasting: true },
    "a gang": { cores: 2, isGang: true, taskCount: 3 },
    "a filler of 4 cores": { cores: 4, isFiller: true, image: "booking" },
};

Given(
    /^a pool of (\d+) workers of (\d+) cores, and (\d+) (short tasks|fillers) of one core arrive each second$/,
    function(this: BoundsWorld, workerCount: string, coreCount: string, arrivals: string, kind: string) {
        const [workers, cores, rate] = [Number(workerCount), Number(coreCount), Number(arrivals)];
        const filling = kind === "fillers" ? { isFiller: true, image: "booking" } : {};
        const play = createPlay({ workers, cores, looksAhead: true });
        let due = 0;
        let count = 0;
        this.play = play;
        this.advance = milliseconds =>
            play.advance(milliseconds, () => {
                due += rate / PASSES_PER_SECOND;
                for (; due >= 1; due--) {
                    count += 1;
                    const id = count.toString(16).padStart(16, "0");
                    const fields = { estimateMilliseconds: SHORT_MILLISECONDS, ...filling };
                    play.submit({ id, fields, runMilliseconds: SHORT_MILLISECONDS });
                }
            });
        this.advance(WARM_UP_MILLISECONDS);
    },
);

When(/^(a .*) waits under which a worker has crashed$/, function(this: BoundsWorld, suspect: string) {
    const { jobTable } = this.play;
    const fields = SUSPECTS[suspect];
    assert.ok(fields !== undefined);
    this.play.submit({ id: WAITING, fields, runMilliseconds: PLAY_MILLISECONDS });
    for (const task of tasksOfStep(jobTable, WAITING)) {
        recordCrash(jobTable, createAttempt(task, "worker-0", 1, NOW), NOW);
    }
    this.waitingSince = this.play.elapsed();
    this.startsByWorker = new Map();
    for (let elapsed = 0; elapsed < PLAY_MILLISECONDS; elapsed += SHORT_MILLISECONDS / 2) {
        this.advance(SHORT_MILLISECONDS / 2);
        const workers = new Set(["worker-0", "worker-1", "worker-2", "worker-3"]);
        for (const worker of workers) {
            const { attempts } = jobTable.occupancy.load(worker);
            const recent = attempts.filter(({ orderedAtMilliseconds, task }) =>
                task.entry.id !== WAITING && orderedAtMilliseconds - NOW >= this.waitingSince
            );
            this.startsByWorker.set(worker, (this.startsByWorker.get(worker) ?? 0) + recent.length);
        }
    }
});

Given(
    "{int} tasks of {int} cores under which workers have crashed wait beside a lasting task of {int} cores on each worker",
    function(this: BoundsWorld, count: number, cores: number, lastingCores: number) {
        const { jobTable } = this.play;
        const lasting = { cores: lastingCores, taskCount: 4, limitPerWorker: 1, isLasting: true };
        this.play.submit({ id: "ffffffffffffffd0", fields: lasting, runMilliseconds: Infinity });
        this.advance(6_000);
        for (let index = 1; index <= count; index++) {
            const id = `ffffffffffffffd${index}`;
            this.play.submit({ id, fields: { cores }, runMilliseconds: SHORT_MILLISECONDS });
            for (const task of tasksOfStep(jobTable, id)) {
                recordCrash(jobTable, createAttempt(task, "worker-0", 1, NOW), NOW);
            }
        }
        this.advance(WARM_UP_MILLISECONDS);
    },
);

Then("{int} of {int} short tasks have ended", function(this: BoundsWorld, share: number, whole: number) {
    const outcomes = [...this.play.outcomes.values()].filter(({ job }) => job.id.startsWith("0"));
    const ended = outcomes.filter(({ endedAt }) => endedAt !== undefined);
    assert.ok(ended.length >= outcomes.length * share / whole, `${ended.length} of ${outcomes.length}`);
});

Then("it has started after at most {int} ms", function(this: BoundsWorld, milliseconds: number) {
    const startedAt = this.play.outcomes.get(WAITING)?.lastStartAt;
    assert.ok(startedAt !== undefined, `not started within ${PLAY_MILLISECONDS} ms`);
    assert.ok(startedAt - this.waitingSince <= milliseconds, `started after ${startedAt - this.waitingSince} ms`);
});

Then("short tasks have started on each worker meanwhile", function(this: BoundsWorld) {
    assert.equal(this.startsByWorker.size, 4);
    this.startsByWorker.forEach((starts, worker) => assert.ok(starts > 0, `none on ${worker}`));
});

Given(
    "a pool of one worker of {int} cores, a lasting task of {int} cores that runs and another that waits for {int} seconds",
    function(this: BoundsWorld, cores: number, size: number, seconds: number) {
        this.play = createPlay({ workers: 1, cores, looksAhead: true });
        for (const id of ["00000000000000c1", "00000000000000c2"]) {
            this.play.submit({ id, fields: { cores: size, isLasting: true }, runMilliseconds: Infinity });
        }
        this.play.advance(seconds * 1_000);
    },
);

When("a short task of {int} cores is handed in", function(this: BoundsWorld, cores: number) {
    this.waitingSince = this.play.elapsed();
    this.play.submit({ id: WAITING, fields: { cores }, runMilliseconds: SHORT_MILLISECONDS });
    this.play.advance(PLAY_MILLISECONDS);
});

When("a lasting task of {int} cores waits", function(this: BoundsWorld, cores: number) {
    this.waitingSince = this.play.elapsed();
    this.play.submit({ id: WAITING, fields: { cores, isLasting: true }, runMilliseconds: Infinity });
    this.advance(PLAY_MILLISECONDS);
});

When(
    "{int} gangs wait that need more than the pool has, and then a large task of {int} cores",
    function(this: BoundsWorld, gangs: number, cores: number) {
        for (let index = 0; index < gangs; index++) {
            const fields = { cores: 8, isGang: true, taskCount: 8, estimateMilliseconds: 60_000 };
            const id = (index + 1).toString(16).padStart(16, "a");
            this.play.submit({ id, fields, runMilliseconds: SHORT_MILLISECONDS });
        }
        this.advance(SHORT_MILLISECONDS);
        this.waitingSince = this.play.elapsed();
        const fields = { cores, estimateMilliseconds: 4_000 };
        this.play.submit({ id: WAITING, fields, runMilliseconds: PLAY_MILLISECONDS });
        this.advance(PLAY_MILLISECONDS);
    },
);

Given("a worker that has crashed under a task that was started shortly before", function(this: BoundsWorld) {
    this.play = createPlay({ workers: 1, cores: 8, looksAhead: true });
    const { jobTable } = this.play;
    this.play.submit({ id: WAITING, fields: {}, runMilliseconds: SHORT_MILLISECONDS });
    this.crashes = createCrashes({
        commits: { requestCommit: () => undefined } as unknown as Commits,
        jobTable,
        log: silentLog,
        requestDispatch: () => undefined,
    });
    const [task] = tasksOfStep(jobTable, WAITING);
    assert.ok(task !== undefined);
    const worker = createCellWorker(describeWorker("worker-0", 8), true, NOW);
    this.crashes.record(worker, [createAttempt(task, "worker-0", 1, NOW)], NOW);
});

Then("the task is under review until {int} ms have passed, and not after it", function(
    this: BoundsWorld,
    milliseconds: number,
) {
    const [task] = tasksOfStep(this.play.jobTable, WAITING);
    assert.ok(task !== undefined);
    this.crashes.review(NOW + milliseconds - 1);
    assert.ok(this.crashes.isUnderReview(task));
    this.crashes.review(NOW + milliseconds);
    assert.ok(!this.crashes.isUnderReview(task));
});
