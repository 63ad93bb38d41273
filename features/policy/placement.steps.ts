/**
 * Steps for placement.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createRandom } from "../../src/core/random.js";
import { createPolicy } from "../../src/policy/create.js";
import type { CellView, Decision, PendingTask, PlacedTask, Policy, WorkerView } from "../../src/policy/policy.js";
import { PolicySettings } from "../../src/policy/settings.js";
import type { PlacementRule } from "../../src/rules/rule.js";
import { arbitraryCell, cell, NOW, pending, placed, size, worker } from "./cells.js";
import { assertCapacity, assertOnce, assertQuotas, collectPlacements } from "./invariants.js";

interface PlacementWorld {
    policy: Policy;
    workers: WorkerView[] | undefined;
    waiting: PendingTask[] | undefined;
    placements: PlacementRule[] | undefined;
    decisions: readonly Decision[];
}

const PROPERTY_SEED = 7;

function createView(world: PlacementWorld): CellView {
    return cell(world.workers ?? [], { pending: world.waiting ?? [], placements: world.placements ?? [] });
}

function addWaiting(world: PlacementWorld, count: number, changes: Partial<PendingTask>): void {
    const waiting = world.waiting ?? [];
    for (let index = 0; index < count; index += 1) {
        waiting.push(pending(`task-${waiting.length}`, changes));
    }
    world.waiting = waiting;
}

function addPlaced(world: PlacementWorld, name: string, changes: Partial<PlacedTask>): void {
    world.workers = (world.workers ?? []).map(view =>
        view.instance.name === name
            ? { ...view, tasks: [...view.tasks, placed(`placed-${view.tasks.length}`, changes)] }
            : view
    );
}

Given("a policy with default settings", function(this: PlacementWorld) {
    this.policy = createPolicy({ settings: PolicySettings.parse({}), random: createRandom(1) });
});

Given("{int} live worker(s)", function(this: PlacementWorld, count: number) {
    this.workers = Array.from({ length: count }, (unused, index) => worker(`worker-${index}`));
});

Given(
    "workers in {int} data centres with {int} racks of {int} workers each",
    function(this: PlacementWorld, dataCentres: number, racks: number, perRack: number) {
        this.workers = Array.from(
            { length: dataCentres * racks * perRack },
            (unused, index) =>
                worker(`worker-${index}`, {
                    dataCentre: `centre-${Math.floor(index / (racks * perRack))}`,
                    rack: Math.floor(index / perRack) % racks,
                }),
        );
    },
);

Given("{int} batch tasks of {int} cores that wait", function(this: PlacementWorld, count: number, cores: number) {
    addWaiting(this, count, { resources: size(cores, 8) });
});

Given(
    "{int} batch tasks of {int} cores of team {string} that wait",
    function(this: PlacementWorld, count: number, cores: number, team: string) {
        addWaiting(this, count, { resources: size(cores, 8), team });
    },
);

Given(
    "{int} batch tasks of {int} cores of priority {int} that wait",
    function(this: PlacementWorld, count: number, cores: number, priority: number) {
        addWaiting(this, count, { resources: size(cores, 8), priority });
    },
);

Given("{int} replicas of {int} cores that wait", function(this: PlacementWorld, count: number, cores: number) {
    addWaiting(this, count, { kind: "service", rule: "rental-desk", resources: size(cores, 4) });
});

Given("a waiting replica of rule {string}", function(this: PlacementWorld, rule: string) {
    addWaiting(this, 1, { kind: "service", rule, resources: size(2, 4) });
});

Given(
    "a waiting task that failed {int} times of {int} allowed",
    function(this: PlacementWorld, failures: number, retries: number) {
        addWaiting(this, 1, { failures, retries });
    },
);

Given(
    "a task of {int} cores on {string} that is {string}",
    function(this: PlacementWorld, cores: number, name: string, state: string) {
        addPlaced(this, name, { resources: size(cores, 8), state: state as PlacedTask["state"] });
    },
);

Given("a task of rule {string} on {string}", function(this: PlacementWorld, rule: string, name: string) {
    addPlaced(this, name, { rule });
});

Given("the operators deny {string} beside {string}", function(this: PlacementWorld, name: string, beside: string) {
    this.placements = [{ kind: "deny", name, beside, dataCentres: [], requester: "Aino", line: 1, end: { runs: 1 } }];
});

When("the policy decides", function(this: PlacementWorld) {
    this.decisions = this.policy.decide(createView(this), NOW);
});

Then(
    "decisions on {int} arbitrary cells keep capacity, quotas and one decision a task",
    function(this: PlacementWorld, runs: number) {
        let placements = 0;
        fc.assert(
            fc.property(arbitraryCell, view => {
                const decisions = this.policy.decide(view, NOW);
                assertCapacity(view, decisions);
                assertQuotas(view, decisions);
                assertOnce(view, decisions, NOW);
                placements += collectPlacements(view, decisions).size;
            }),
            { numRuns: runs, seed: PROPERTY_SEED },
        );
        assert.ok(placements > runs, `only ${placements} workers were given anything`);
    },
);

Then("{int} tasks are placed", function(this: PlacementWorld, count: number) {
    const placements = this.decisions.filter(decision => decision.kind === "place");
    assert.equal(placements.length, count);
    assertCapacity(createView(this), this.decisions);
});

Then("no two of them share a rack", function(this: PlacementWorld) {
    const racks = [...collectPlacements(createView(this), this.decisions).entries()].flatMap(([view, tasks]) =>
        tasks.map(() => `${view.instance.dataCentre}/${view.instance.rack}`)
    );
    assert.equal(new Set(racks).size, racks.length, racks.join(" "));
});

Then("{int} tasks are parked for {string}", function(this: PlacementWorld, count: number, reason: string) {
    const parked = this.decisions.filter(decision => decision.kind === "park" && decision.reason.includes(reason));
    assert.equal(parked.length, count, JSON.stringify(this.decisions));
});

Then(
    "the reason {string} holds for {int} workers of the first task",
    function(this: PlacementWorld, reason: string, workers: number) {
        const view = createView(this);
        const refusals = this.policy.explain(view, view.pending[0]?.taskId ?? "", NOW);
        assert.deepEqual(refusals, [{ reason, workers }]);
    },
);

Then(
    "the tasks placed are {int} of priority {int}, {int} more of team {string} and {int} of team {string}",
    function(
        this: PlacementWorld,
        urgent: number,
        priority: number,
        more: number,
        team: string,
        others: number,
        otherTeam: string,
    ) {
        const tasks = [...collectPlacements(createView(this), this.decisions).values()].flat();
        assert.equal(tasks.filter(task => task.priority === priority).length, urgent);
        assert.equal(tasks.filter(task => task.priority !== priority && task.team === team).length, more);
        assert.equal(tasks.filter(task => task.team === otherTeam).length, others);
    },
);
