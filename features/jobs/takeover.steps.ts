/**
 * Steps for takeovers, with owners and workers in simulated time.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTakeoverSimulation } from "./takeover-world.js";
import type { SimulatedOwner, SimulatedRun, TakeoverSimulation } from "./takeover-world.js";

interface TakeoverWorld {
    simulation: TakeoverSimulation;
    owner: SimulatedOwner;
    lostAtMilliseconds: number;
    failedRun: SimulatedRun;
}

const LIMIT = { timeout: 60_000 };
const START_MILLISECONDS = 5_000;
const SECOND = 1_000;
const CLAIM_STEP_MILLISECONDS = 300;

After(LIMIT, async function(this: Partial<TakeoverWorld>) {
    await this.simulation?.close();
});

Given(
    "an owner of {int} workers, of which the first {int} run a lasting task each",
    LIMIT,
    async function(this: TakeoverWorld, workerCount: number, taskCount: number) {
        this.simulation = createTakeoverSimulation(workerCount, taskCount);
        const { simulation } = this;
        this.owner = simulation.startOwner({ workers: new Set(simulation.workerNames), store: true });
        const areStarted = await simulation.passTime(
            START_MILLISECONDS,
            () => simulation.workerNames.slice(0, taskCount).every(name => activeRuns(simulation, name).length === 1),
        );
        assert.ok(areStarted, JSON.stringify(simulation.runs));
        // Lets the owner record the workers and see the tasks run.
        await simulation.passTime(SECOND);
    },
);

When(
    "the owner and {string} lose power, and a successor takes over {int} s later",
    LIMIT,
    async function(this: TakeoverWorld, worker: string, seconds: number) {
        const { simulation } = this;
        this.lostAtMilliseconds = simulation.now();
        simulation.cutPower(worker);
        await this.owner.stop();
        await simulation.passTime(seconds * SECOND);
        this.owner = simulation.startOwner({ workers: new Set(simulation.workerNames), store: true });
    },
);

When("the owner reaches only {string}, and not the store", function(this: TakeoverWorld, workers: string) {
    this.lostAtMilliseconds = this.simulation.now();
    this.owner.reach.store = false;
    this.owner.reach.workers = new Set(workers.split(", "));
});

When(
    "a successor takes over {int} s later, which reaches only {string}",
    LIMIT,
    async function(this: TakeoverWorld, seconds: number, workers: string) {
        await this.simulation.passTime(seconds * SECOND);
        this.simulation.startOwner({ workers: new Set(workers.split(", ")), store: true });
    },
);

When(
    "the owner loses power, and a successor after a claim of {int} ms is answered once by {string}, and else by {string}",
    LIMIT,
    async function(this: TakeoverWorld, milliseconds: number, onceAnswering: string, answering: string) {
        await this.owner.stop();
        await this.simulation.passTime(CLAIM_STEP_MILLISECONDS);
        const workers = new Set([onceAnswering, ...answering.split(", ")]);
        const reach = { workers, store: false, answersOnce: onceAnswering };
        this.owner = this.simulation.startOwner(reach, milliseconds);
    },
);

When(
    "the successor reaches the store and every worker but {string} again {int} ms later",
    LIMIT,
    async function(this: TakeoverWorld, worker: string, milliseconds: number) {
        const { owner: { reach }, simulation } = this;
        await simulation.passTime(milliseconds);
        reach.workers = new Set(simulation.workerNames.filter(name => name !== worker));
        reach.store = true;
    },
);

When(
    "the task on {string} fails {int} s after the takeover",
    LIMIT,
    async function(this: TakeoverWorld, worker: string, seconds: number) {
        await this.simulation.passTime(seconds * SECOND);
        this.failedRun = this.simulation.failTask(worker);
    },
);

Then("that task runs again within {int} s", LIMIT, async function(this: TakeoverWorld, seconds: number) {
    const { failedRun, simulation } = this;
    const isRunning = await simulation.passTime(
        seconds * SECOND,
        () => simulation.runs.some(run => run.task === failedRun.task && run.endedAtMilliseconds === undefined),
    );
    assert.ok(isRunning, `task ${failedRun.task} does not run`);
});

Then("every task runs again within {int} s of the loss", LIMIT, async function(this: TakeoverWorld, seconds: number) {
    const { lostAtMilliseconds, simulation } = this;
    const tasks = [...new Set(simulation.runs.map(({ task }) => task))];
    const idleTasks = () =>
        tasks.filter(task =>
            !simulation.runs.some(run =>
                run.task === task && run.endedAtMilliseconds === undefined
                && (run.startedAtMilliseconds > lostAtMilliseconds || this.owner.reach.workers.has(run.worker))
            )
        );
    const areRunning = await simulation.passTime(
        lostAtMilliseconds + seconds * SECOND - simulation.now(),
        () => idleTasks().length === 0,
    );
    assert.ok(areRunning, `not running: ${idleTasks().join(", ")}`);
});

Then("no task runs twice at the same time for {int} s", LIMIT, async function(this: TakeoverWorld, seconds: number) {
    const { simulation } = this;
    await simulation.passTime(seconds * SECOND);
    for (const run of simulation.runs) {
        const others = simulation.runs.filter(other =>
            other !== run && other.task === run.task && other.startedAtMilliseconds >= run.startedAtMilliseconds
            && other.startedAtMilliseconds < (run.endedAtMilliseconds ?? Infinity)
        );
        assert.deepEqual(others, [], `task ${run.task} runs on ${run.worker} at the same time`);
    }
});

function activeRuns(simulation: TakeoverSimulation, worker: string): SimulatedRun[] {
    return simulation.runs.filter(run => run.worker === worker && run.endedAtMilliseconds === undefined);
}
