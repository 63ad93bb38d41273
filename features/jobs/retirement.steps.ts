/**
 * Steps for takeovers in simulated time whose former owner answers.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Reach, SimulatedOwner, TakeoverSimulation } from "./takeover-world.js";

interface RetirementWorld {
    simulation: TakeoverSimulation;
    owner: SimulatedOwner;
    takenOverAtMilliseconds: number;
}

const LIMIT = { timeout: 60_000 };
const SECOND = 1_000;

When(
    "{string} loses power, and the owner reaches its successors, but no worker and not the store",
    function(this: RetirementWorld, worker: string) {
        this.simulation.cutPower(worker);
        changeReach(this.owner, { workers: new Set(), store: false, successors: true });
    },
);

When("the owner reaches its successors and every worker, but not the store", function(this: RetirementWorld) {
    changeReach(this.owner, { workers: this.owner.reach.workers, store: false, successors: true });
});

When("the owner reaches every worker, but neither its successors nor the store", function(this: RetirementWorld) {
    changeReach(this.owner, { workers: this.owner.reach.workers, store: false, successors: false });
});

When(
    "the owner stops and says so, and a successor takes over, which reaches every worker but {string}",
    LIMIT,
    async function(this: RetirementWorld, worker: string) {
        await this.owner.announceStop();
        takeOver(this, allBut(this.simulation, worker));
    },
);

When(
    "a successor takes over {int} s later, which reaches every worker",
    LIMIT,
    async function(this: RetirementWorld, seconds: number) {
        await this.simulation.passTime(seconds * SECOND);
        takeOver(this, this.simulation.workerNames);
    },
);

When(
    "a successor takes over {int} s later, which reaches every worker but {string}",
    LIMIT,
    async function(this: RetirementWorld, seconds: number, worker: string) {
        await this.simulation.passTime(seconds * SECOND);
        takeOver(this, allBut(this.simulation, worker));
    },
);

Then(
    "every task is started again within {int} s of the takeover",
    LIMIT,
    async function(this: RetirementWorld, seconds: number) {
        const { simulation, takenOverAtMilliseconds } = this;
        const tasks = [...new Set(simulation.runs.map(({ task }) => task))];
        const idleTasks = () =>
            tasks.filter(task =>
                !simulation.runs.some(run => run.task === task && run.startedAtMilliseconds >= takenOverAtMilliseconds)
            );
        const areStarted = await simulation.passTime(seconds * SECOND, () => idleTasks().length === 0);
        assert.ok(areStarted, `not started: ${idleTasks().join(", ")}`);
    },
);

Then(
    "the task on {string} is started elsewhere within {int} s of the takeover, after its run there has lapsed",
    LIMIT,
    async function(this: RetirementWorld, worker: string, seconds: number) {
        const { simulation } = this;
        const former = simulation.runs.find(run => run.worker === worker);
        assert.ok(former !== undefined);
        const findLater = () => simulation.runs.find(({ task, worker: id }) => task === former.task && id !== worker);
        await simulation.passTime(seconds * SECOND, () => findLater() !== undefined);
        const later = findLater();
        assert.ok(later !== undefined, "it is not started");
        const { endedAtMilliseconds = Infinity } = former;
        assert.ok(
            later.startedAtMilliseconds >= endedAtMilliseconds,
            `started at ${later.startedAtMilliseconds}, while it ran until ${endedAtMilliseconds}`,
        );
    },
);

function changeReach({ reach }: SimulatedOwner, changed: Reach): void {
    Object.assign(reach, changed);
}

function takeOver(world: RetirementWorld, workers: readonly string[]): void {
    world.takenOverAtMilliseconds = world.simulation.now();
    world.owner = world.simulation.startOwner({ workers: new Set(workers), store: true, successors: true });
}

function allBut({ workerNames }: TakeoverSimulation, worker: string): string[] {
    return workerNames.filter(name => name !== worker);
}
