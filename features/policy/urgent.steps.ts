/**
 * Steps for urgent work.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createRandom } from "../../src/core/random.js";
import { createPolicy } from "../../src/policy/create.js";
import type { Decision, PendingTask, PlacedTask, Policy } from "../../src/policy/policy.js";
import { PolicySettings } from "../../src/policy/settings.js";
import { arbitraryCell, cell, NOW, pending, placed, size, worker } from "./cells.js";

interface UrgentWorld {
    policy: Policy;
    tasks: PlacedTask[];
    waiting: PendingTask[];
    decisions: readonly Decision[];
    evicted: string[];
    now: number;
}

const PROPERTY_SEED = 17;

function decide(world: UrgentWorld): void {
    world.now += 1_000;
    world.decisions = world.policy.decide(
        cell([worker("worker-0", { tasks: world.tasks })], { pending: world.waiting }),
        world.now,
    );
}

function listEvicted(world: UrgentWorld): string[] {
    return world.decisions.flatMap(decision => decision.kind === "evict" ? [decision.taskId] : []);
}

function remove(world: UrgentWorld, place: number): void {
    world.tasks = world.tasks.filter(task => task.taskId !== world.evicted[place]);
    decide(world);
}

Given(
    "a full worker with {int} batch tasks of {int} cores and one of them of priority {int}",
    function(this: UrgentWorld, count: number, cores: number, priority: number) {
        this.policy = createPolicy({ settings: PolicySettings.parse({}), random: createRandom(1) });
        this.now = NOW;
        this.tasks = Array.from(
            { length: count },
            (unused, index) =>
                placed(`batch-${index}`, { resources: size(cores, 8), priority: index === 3 ? priority : 5 }),
        );
    },
);

Given("an urgent task of {int} cores that waits", function(this: UrgentWorld, cores: number) {
    this.waiting = [pending("urgent", { priority: 0, resources: size(cores, 8), rule: "settlement" })];
});

Given("all its tasks are as urgent", function(this: UrgentWorld) {
    this.tasks = this.tasks.map(task => ({ ...task, priority: 0 }));
});

Given("all its tasks were evicted {int} times", function(this: UrgentWorld, evictions: number) {
    this.tasks = this.tasks.map(task => ({ ...task, evictions }));
});

When("it decides", function(this: UrgentWorld) {
    decide(this);
    this.evicted = listEvicted(this);
});

When("it decides again before the eviction is complete", function(this: UrgentWorld) {
    decide(this);
    assert.deepEqual(listEvicted(this), []);
    this.tasks = this.tasks.map(task => this.evicted.includes(task.taskId) ? { ...task, state: "moving" } : task);
    decide(this);
});

When("the evicted task is gone and a batch task of 4 cores waits too", function(this: UrgentWorld) {
    this.waiting = [pending("ordinary"), ...this.waiting];
    remove(this, 0);
});

When("the first evicted task is gone and a batch task of 4 cores waits too", function(this: UrgentWorld) {
    this.waiting = [pending("ordinary"), ...this.waiting];
    remove(this, 0);
});

When("the second evicted task is gone as well", function(this: UrgentWorld) {
    remove(this, 1);
});

Then("exactly the task of priority {int} is evicted", function(this: UrgentWorld, priority: number) {
    assert.deepEqual(this.evicted, this.tasks.filter(task => task.priority === priority).map(task => task.taskId));
});

Then("{int} tasks are evicted", function(this: UrgentWorld, count: number) {
    assert.equal(this.evicted.length, count, JSON.stringify(this.decisions));
});

Then("nothing more is evicted", function(this: UrgentWorld) {
    assert.deepEqual(listEvicted(this), []);
});

Then("nothing is placed", function(this: UrgentWorld) {
    assert.deepEqual(this.decisions.filter(decision => decision.kind === "place"), []);
});

Then("the urgent task is placed and the batch task is not", function(this: UrgentWorld) {
    assert.deepEqual(this.decisions.filter(decision => decision.kind === "place"), [
        { kind: "place", taskId: "urgent", worker: "worker-0" },
    ]);
});

Then("priority order holds in {int} arbitrary cells", function(this: UrgentWorld, runs: number) {
    let pairs = 0;
    fc.assert(
        fc.property(arbitraryCell, fc.integer({ min: 1, max: 8 }), (view, cores) => {
            const alike = view.pending.map(task =>
                pending(task.taskId, {
                    priority: task.priority,
                    resources: size(cores, 4),
                    dataCentres: [],
                    rule: "alike",
                })
            );
            const policy = createPolicy({ settings: PolicySettings.parse({}), random: createRandom(1) });
            const decisions = policy.decide({ ...view, pending: alike, quotas: [] }, NOW);
            const placedIds = new Set(
                decisions.flatMap(decision => decision.kind === "place" ? [decision.taskId] : []),
            );
            const placedPriorities = alike.filter(task => placedIds.has(task.taskId)).map(task => task.priority);
            const waitingPriorities = alike.filter(task => !placedIds.has(task.taskId)).map(task => task.priority);
            const mostUrgentWaiting = Math.min(...waitingPriorities);
            pairs += placedPriorities.length * waitingPriorities.length;
            assert.ok(placedPriorities.every(priority => priority <= mostUrgentWaiting));
        }),
        { numRuns: runs, seed: PROPERTY_SEED },
    );
    assert.ok(pairs > runs, `only ${pairs} pairs of placed and waiting tasks`);
});
