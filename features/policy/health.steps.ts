/**
 * Steps for quarantine and probation.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createRandom } from "../../src/core/random.js";
import { createPolicy } from "../../src/policy/create.js";
import type { AttemptEnd, Policy, WorkerView } from "../../src/policy/policy.js";
import { PolicySettings } from "../../src/policy/settings.js";
import { cell, findPlacedWorker, NOW, pending, size, worker } from "./cells.js";

interface HealthWorld {
    policy: Policy;
    workers: WorkerView[];
    now: number;
}

const RULES = ["season-prep", "reconciliation", "tally"];
const QUARANTINE_MILLISECONDS = 600_000;
const PROPERTY_SEED = 13;

function observeEnd(
    world: HealthWorld,
    name: string,
    rule: string,
    outcome: AttemptEnd["outcome"],
    taskId = "task",
): void {
    world.policy.observeEnd({ taskId, rule, worker: name, outcome, reason: "" }, world.now);
}

function quarantinedNow(world: HealthWorld): readonly string[] {
    world.policy.decide(cell(world.workers), world.now);
    return world.policy.quarantined(world.now);
}

function failEach(world: HealthWorld, name: string, count: number): void {
    for (const rule of RULES) {
        for (let step = 0; step < count; step += 1) {
            observeEnd(world, name, rule, "failed", `${name}-${rule}-${step}`);
        }
    }
}

Given("a cell of {int} workers that finish {int} rules", function(this: HealthWorld, count: number, rules: number) {
    this.policy = createPolicy({ settings: PolicySettings.parse({}), random: createRandom(1) });
    this.now = NOW;
    this.workers = Array.from({ length: count }, (unused, index) => worker(`worker-${index}`));
    for (const { instance } of this.workers) {
        for (const rule of RULES.slice(0, rules)) {
            observeEnd(this, instance.name, rule, "finished");
            observeEnd(this, instance.name, rule, "finished");
        }
    }
});

When("{string} fails {int} tasks of each rule", function(this: HealthWorld, name: string, count: number) {
    failEach(this, name, count);
});

When("{int} workers fail {int} tasks of each rule", function(this: HealthWorld, workers: number, count: number) {
    this.workers.slice(0, workers).forEach(({ instance }) => failEach(this, instance.name, count));
});

When("a rule {string} fails {int} times on each worker", function(this: HealthWorld, rule: string, count: number) {
    for (let step = 0; step < count; step += 1) {
        for (const { instance } of this.workers) {
            observeEnd(this, instance.name, rule, "failed");
        }
    }
});

When("a rule {string} fails {int} times on {string}", function(
    this: HealthWorld,
    rule: string,
    count: number,
    name: string,
) {
    for (let step = 0; step < count; step += 1) {
        observeEnd(this, name, rule, "failed");
    }
});

When("every attempt on every worker lapses", function(this: HealthWorld) {
    for (const { instance } of this.workers) {
        for (const rule of [...RULES, ...RULES, ...RULES]) {
            observeEnd(this, instance.name, rule, "lapsed");
        }
    }
});

When("its quarantine has passed", function(this: HealthWorld) {
    this.now += QUARANTINE_MILLISECONDS;
});

When("{int} trials on {string} finish", function(this: HealthWorld, count: number, name: string) {
    for (let step = 0; step < count; step += 1) {
        observeEnd(this, name, "season-prep", "finished");
    }
});

When("a trial on {string} fails", function(this: HealthWorld, name: string) {
    observeEnd(this, name, "season-prep", "failed");
});

Then("{string} is quarantined", function(this: HealthWorld, name: string) {
    const decisions = this.policy.decide(cell(this.workers), this.now);
    assert.deepEqual(
        decisions.map(decision => decision.kind === "quarantine" ? decision.worker : decision.kind),
        [name],
    );
    assert.deepEqual(this.policy.quarantined(this.now), [name]);
});

Then("no worker is quarantined", function(this: HealthWorld) {
    assert.deepEqual(quarantinedNow(this), []);
});

Then("no new task goes to {string}", function(this: HealthWorld, name: string) {
    const only = this.workers.filter(({ instance }) => instance.name === name);
    const decisions = this.policy.decide(
        cell(only.concat(this.workers.slice(9)), { pending: createBatchTasks(16) }),
        this.now,
    );
    const places = decisions.flatMap(decision => decision.kind === "place" ? [decision.worker] : []);
    assert.ok(places.length > 0, "nothing was placed at all");
    assert.ok(!places.includes(name), places.join(" "));
});

Then(
    "only {string} is offered with {int} batch tasks and a replica, and gets {int} batch task",
    function(this: HealthWorld, name: string, offered: number, count: number) {
        const only = this.workers.filter(({ instance }) => instance.name === name);
        const replica = pending("replica", { kind: "service", rule: "rental-desk", priority: 0 });
        const view = cell(only, { pending: [replica, ...createBatchTasks(offered)] });
        const decisions = this.policy.decide(view, this.now);
        const places = decisions.flatMap(decision => decision.kind === "place" ? [decision.taskId] : []);
        assert.equal(places.length, count, JSON.stringify(decisions));
        assert.ok(!places.includes("replica"));
    },
);

Then("{string} is released", function(this: HealthWorld, name: string) {
    const decisions = this.policy.decide(cell(this.workers), this.now);
    assert.deepEqual(decisions, [{ kind: "release", worker: name }]);
});

Then(
    "at most {int} of {int} workers are quarantined, and at least {int}",
    function(this: HealthWorld, most: number, workers: number, least: number) {
        const names = quarantinedNow(this);
        assert.equal(this.workers.length, workers);
        assert.ok(names.length <= most && names.length >= least, names.join(" "));
    },
);

Then(
    "at most a fifth of the workers is in quarantine in {int} arbitrary histories of ends",
    function(this: HealthWorld, runs: number) {
        const arbitraryEnd = fc.record({
            worker: fc.integer({ min: 0, max: 11 }),
            rule: fc.constantFrom(...RULES),
            finished: fc.boolean(),
            seconds: fc.integer({ min: 0, max: 600 }),
        });
        let most = 0;
        fc.assert(
            fc.property(fc.array(arbitraryEnd, { minLength: 50, maxLength: 300, size: "max" }), ends => {
                const policy = createPolicy({ settings: PolicySettings.parse({}), random: createRandom(1) });
                const workers = Array.from({ length: 12 }, (unused, index) => worker(`worker-${index}`));
                const world: HealthWorld = { policy, workers, now: NOW };
                for (const { worker: index, rule, finished, seconds } of ends) {
                    world.now += seconds * 1_000;
                    // Workers 0 to 4 are broken and always fail; the others fail sometimes.
                    const outcome = index < 5 || (!finished && index % 3 === 0) ? "failed" : "finished";
                    observeEnd(world, `worker-${index}`, rule, outcome);
                    const names = quarantinedNow(world);
                    most = Math.max(most, names.length);
                    assert.ok(names.length <= 2, names.join(" "));
                }
            }),
            { numRuns: runs, seed: PROPERTY_SEED },
        );
        assert.equal(most, 2, "no history reached the limit");
    },
);

Then("a task that failed on a worker is placed on another one", function(this: HealthWorld) {
    const [first, second] = this.workers;
    assert.ok(first !== undefined && second !== undefined);
    const view = cell([first, second], { pending: [pending("again", { rule: "season-prep" })] });
    const before = findPlacedWorker(this.policy.decide(view, this.now), "again");
    assert.ok(before !== undefined);
    observeEnd(this, before, "season-prep", "failed", "again");
    const after = findPlacedWorker(this.policy.decide(view, this.now), "again");
    assert.ok(after !== undefined && after !== before, `${before} then ${after}`);
});

function createBatchTasks(count: number): ReturnType<typeof pending>[] {
    return Array.from(
        { length: count },
        (unused, index) => pending(`fill-${index}`, { rule: "season-prep", resources: size(2, 2) }),
    );
}
