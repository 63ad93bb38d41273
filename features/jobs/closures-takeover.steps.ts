/**
 * Steps for takeovers while data centres are closed, with owners and workers in simulated time.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createClosureList } from "./closure-list.js";
import type { ClosureList } from "./closure-list.js";
import { createTakeoverSimulation } from "./takeover-world.js";
import type { SimulatedOwner, TakeoverSimulation } from "./takeover-world.js";

interface ClosuresTakeoverWorld {
    closureSimulation: TakeoverSimulation;
    owner: SimulatedOwner;
    closures: ClosureList;
    startsBefore: number;
}

/** Data centre of all simulated workers. */
const DATA_CENTRE = "levi";
const LIMIT = { timeout: 60_000 };
const SECOND = 1_000;
/** Longest wait for the start, in simulated seconds. */
const START_LIMIT_SECONDS = 20;

After(LIMIT, async function(this: Partial<ClosuresTakeoverWorld>) {
    await this.closureSimulation?.close();
});

function startOwner(world: ClosuresTakeoverWorld, prepare: (closures: ClosureList) => void): void {
    world.closures = createClosureList(() => world.closureSimulation.now());
    prepare(world.closures);
    const workers = new Set(world.closureSimulation.workerNames);
    world.owner = world.closureSimulation.startOwner({ workers, store: true, closures: world.closures.source });
}

async function replaceOwner(world: ClosuresTakeoverWorld, prepare: (closures: ClosureList) => void): Promise<void> {
    const [run] = world.closureSimulation.runs;
    assert.ok(run !== undefined);
    world.closures.close(DATA_CENTRE);
    world.closureSimulation.failTask(run.worker);
    await world.owner.announceStop();
    startOwner(world, prepare);
    world.startsBefore = world.closureSimulation.runs.length;
}

Given(
    "a cell whose owner runs {int} lasting tasks on {int} workers",
    LIMIT,
    async function(this: ClosuresTakeoverWorld, tasks: number, workers: number) {
        this.closureSimulation = createTakeoverSimulation(workers, tasks);
        startOwner(this, () => undefined);
        assert.ok(
            await this.closureSimulation.passTime(5 * SECOND, () => this.closureSimulation.runs.length === tasks),
        );
        await this.closureSimulation.passTime(SECOND);
    },
);

When(
    "all data centres are closed, a task fails, and a successor takes over",
    LIMIT,
    async function(this: ClosuresTakeoverWorld) {
        await replaceOwner(this, closures => closures.closeUnheard(DATA_CENTRE));
    },
);

When(
    "the closures cannot be read by a successor, a task fails, and it takes over",
    LIMIT,
    async function(this: ClosuresTakeoverWorld) {
        await replaceOwner(this, closures => {
            closures.isReachable = false;
        });
    },
);

When("all data centres are reopened", function(this: ClosuresTakeoverWorld) {
    this.closures.reopen(DATA_CENTRE);
});

When("the successor reads the closures", function(this: ClosuresTakeoverWorld) {
    this.closures.isReachable = true;
});

Then("nothing starts for {int} s", LIMIT, async function(this: ClosuresTakeoverWorld, seconds: number) {
    await this.closureSimulation.passTime(seconds * SECOND);
    assert.equal(this.closureSimulation.runs.length, this.startsBefore);
});

Then("the failed task starts", LIMIT, async function(this: ClosuresTakeoverWorld) {
    const hasStarted = await this.closureSimulation.passTime(
        START_LIMIT_SECONDS * SECOND,
        () => this.closureSimulation.runs.length > this.startsBefore,
    );
    assert.ok(hasStarted);
});
