/**
 * Steps for the bounds of waits that lie with workers and ownership, with owners and workers in simulated time.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTakeoverSimulation } from "./takeover-world.js";
import type { SimulatedOwner, SimulatedRun, TakeoverSimulation } from "./takeover-world.js";

interface BoundsWorld {
    bounds: TakeoverSimulation;
    owner: SimulatedOwner;
    finished: SimulatedRun;
    foreign: SimulatedRun;
}

const LIMIT = { timeout: 60_000 };
const START_MILLISECONDS = 5_000;
const SECOND = 1_000;

After(LIMIT, async function(this: Partial<BoundsWorld>) {
    await this.bounds?.close();
});

function isRunning({ endedAtMilliseconds }: SimulatedRun): boolean {
    return endedAtMilliseconds === undefined;
}

function laterRuns({ bounds, finished }: BoundsWorld): SimulatedRun[] {
    return bounds.runs.filter(run => run !== finished && run.task === finished.task);
}

Given(
    /^an owner of (\d+) workers, of which the first (\d+) run a task each$/,
    LIMIT,
    async function(this: BoundsWorld, workerCount: string, taskCount: string) {
        this.bounds = createTakeoverSimulation(Number(workerCount), Number(taskCount), undefined, false);
        const { bounds } = this;
        this.owner = bounds.startOwner({ workers: new Set(bounds.workerNames), store: true });
        const areStarted = await bounds.passTime(
            START_MILLISECONDS,
            () => bounds.runs.filter(isRunning).length === Number(taskCount),
        );
        assert.ok(areStarted, JSON.stringify(bounds.runs));
        // Lets the owner record the workers and see the tasks run.
        await bounds.passTime(SECOND);
    },
);

When(
    "the owner loses power, and {string} finishes its task and lists no ends",
    LIMIT,
    async function(this: BoundsWorld, worker: string) {
        await this.owner.stop();
        this.bounds.hideEnds(worker, true);
        this.finished = this.bounds.finishTask(worker);
    },
);

When(
    "a successor takes over {int} s later, and is answered for {int} s",
    LIMIT,
    async function(this: BoundsWorld, seconds: number, answeredSeconds: number) {
        const { bounds } = this;
        await bounds.passTime(seconds * SECOND);
        this.owner = bounds.startOwner({ workers: new Set(bounds.workerNames), store: true });
        await bounds.passTime(answeredSeconds * SECOND);
        assert.deepEqual(laterRuns(this), []);
    },
);

When("{string} is silent for {int} s, and then lists its ends", LIMIT, async function(
    this: BoundsWorld,
    worker: string,
    seconds: number,
) {
    const { bounds, owner: { reach } } = this;
    reach.workers = new Set(bounds.workerNames.filter(name => name !== worker));
    await bounds.passTime(seconds * SECOND);
    bounds.hideEnds(worker, false);
    reach.workers = new Set(bounds.workerNames);
});

When("{string} finishes its task and lists no ends from then on", function(this: BoundsWorld, worker: string) {
    this.bounds.hideEnds(worker, true);
    this.finished = this.bounds.finishTask(worker);
});

When(
    "{string} lists its ends {int} s later",
    LIMIT,
    async function(this: BoundsWorld, worker: string, seconds: number) {
        const { bounds } = this;
        await bounds.passTime(seconds * SECOND);
        assert.deepEqual(laterRuns(this), []);
        bounds.hideEnds(worker, false);
    },
);

Then(
    "the task that was finished unseen is started again between {int} s and {int} s later",
    LIMIT,
    async function(this: BoundsWorld, earliestSeconds: number, latestSeconds: number) {
        const { bounds } = this;
        await bounds.passTime(earliestSeconds * SECOND);
        assert.deepEqual(laterRuns(this), []);
        const isStarted = await bounds.passTime(
            (latestSeconds - earliestSeconds) * SECOND,
            () => laterRuns(this).length > 0,
        );
        assert.ok(isStarted, "the task still waits");
    },
);

When("{string} is silent from now on", function(this: BoundsWorld, worker: string) {
    const { bounds, owner: { reach } } = this;
    reach.workers = new Set(bounds.workerNames.filter(name => name !== worker));
});

Then("no task that was finished is started again within {int} s", LIMIT, async function(
    this: BoundsWorld,
    seconds: number,
) {
    await this.bounds.passTime(seconds * SECOND);
    assert.deepEqual(laterRuns(this), []);
});

Then(
    "the task that was finished unseen is started again within {int} s, after the lease of {string}",
    LIMIT,
    async function(this: BoundsWorld, seconds: number, worker: string) {
        const { bounds } = this;
        const isStarted = await bounds.passTime(seconds * SECOND, () => laterRuns(this).length > 0);
        assert.ok(isStarted, "the task still waits");
        const [run] = laterRuns(this);
        assert.ok(run !== undefined && run.startedAtMilliseconds > bounds.leaseEnd(worker));
    },
);

Then(
    "the task that was finished unseen is started again within {int} s, after a lease of {string}",
    LIMIT,
    async function(this: BoundsWorld, seconds: number, worker: string) {
        const { bounds } = this;
        let hasLapsed = false;
        const isStarted = await bounds.passTime(seconds * SECOND, () => {
            const isAgain = laterRuns(this).length > 0;
            hasLapsed ||= !isAgain && bounds.now() > bounds.leaseEnd(worker);
            return isAgain;
        });
        assert.ok(isStarted, "the task still waits");
        assert.ok(hasLapsed, "the task was started again under the lease of the worker that may have run it");
    },
);

Then("leases are granted to {string} again within {int} s", LIMIT, async function(
    this: BoundsWorld,
    worker: string,
    seconds: number,
) {
    const { bounds } = this;
    assert.ok(await bounds.passTime(seconds * SECOND, () => bounds.leaseEnd(worker) > bounds.now()));
});

Then("the task of {string} has run on", function(this: BoundsWorld, worker: string) {
    assert.equal(this.bounds.runs.filter(run => run.worker === worker && isRunning(run)).length, 1);
});

When("a run of no job that no stop ends is on {string}, and the task there fails", function(
    this: BoundsWorld,
    worker: string,
) {
    this.finished = this.bounds.failTask(worker);
    this.foreign = this.bounds.startForeignRun(worker);
});

Then(
    "the failed task is started again within {int} s, after the end of the foreign run",
    LIMIT,
    async function(this: BoundsWorld, seconds: number) {
        const { bounds, foreign } = this;
        const isAgain = await bounds.passTime(seconds * SECOND, () => laterRuns(this).length > 0);
        assert.ok(isAgain, "the task still waits");
        const [run] = laterRuns(this);
        assert.ok(run !== undefined && run.startedAtMilliseconds >= (foreign.endedAtMilliseconds ?? Infinity));
    },
);

When(
    "it reaches only {string}, and not the store, for {int} s, and then the store again",
    LIMIT,
    async function(this: BoundsWorld, worker: string, seconds: number) {
        const { bounds, owner: { reach } } = this;
        const before = bounds.runs.length;
        reach.workers = new Set([worker]);
        reach.store = false;
        await bounds.passTime(seconds * SECOND);
        assert.equal(bounds.runs.length, before, "the owner has given orders without evidence");
        reach.store = true;
    },
);

Then("the tasks that were lost are started on {string} within {int} s", LIMIT, async function(
    this: BoundsWorld,
    worker: string,
    seconds: number,
) {
    const { bounds } = this;
    const isStarted = await bounds.passTime(
        seconds * SECOND,
        () => bounds.runs.some(run => run.worker === worker && isRunning(run)),
    );
    assert.ok(isStarted, JSON.stringify(bounds.runs));
});
