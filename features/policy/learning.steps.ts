/**
 * Steps for learning from usage reports.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createMetrics } from "../../src/core/metrics.js";
import type { Metrics } from "../../src/core/metrics.js";
import { createRandom } from "../../src/core/random.js";
import { createPolicy } from "../../src/policy/create.js";
import type { CellView, Decision, PlacedTask, Policy } from "../../src/policy/policy.js";
import { PolicySettings } from "../../src/policy/settings.js";
import { cell, findPlacedWorker, NOW, pending, placed, size, worker } from "./cells.js";
import { BASELINE_TAIL_MILLISECONDS, createReport } from "./reporting.js";

interface LearningWorld {
    metrics: Metrics;
    policy: Policy;
    now: number;
    service: PlacedTask;
    throttled: PlacedTask | undefined;
}

const REPORT_INTERVAL_MILLISECONDS = 5_000;
const REPORT_LAG_MILLISECONDS = 10_000;
const TOO_OLD_MILLISECONDS = 3_600_000;
const HOUR_MILLISECONDS = 3_600_000;
const PROPERTY_SEED = 11;

function createNeighbour(world: LearningWorld, rule: string): PlacedTask {
    const throttleShare = world.throttled?.rule === rule ? world.throttled.throttleShare : 1;
    return placed(`${rule}-0`, { rule, throttleShare, progress: 0.3, checkpointProgress: 0.3 });
}

function observe(world: LearningWorld, tasks: readonly PlacedTask[], tailMilliseconds: number, count: number): void {
    for (let step = 0; step < count; step += 1) {
        world.now += REPORT_INTERVAL_MILLISECONDS;
        const measuredAt = world.now - REPORT_LAG_MILLISECONDS;
        world.policy.observeReport(createReport("worker-0", tasks, measuredAt, tailMilliseconds), world.now);
    }
}

function createView(world: LearningWorld, tasks: readonly PlacedTask[], changes: Partial<CellView> = {}): CellView {
    return cell([worker("worker-0", { tasks: [world.service, ...tasks] }), worker("worker-1")], changes);
}

function decisionsOn(world: LearningWorld, rule: string): Decision[] {
    const task = createNeighbour(world, rule);
    return world.policy.decide(createView(world, [task]), world.now)
        .filter(decision => "taskId" in decision && decision.taskId === task.taskId);
}

Given('a policy that learns, a service on "worker-0" and a clean "worker-1"', function(this: LearningWorld) {
    this.metrics = createMetrics({});
    const settings = PolicySettings.parse({ placement: { exploration: 0 } });
    this.policy = createPolicy({ settings, random: createRandom(1), metrics: this.metrics });
    this.now = NOW;
    this.service = placed("desk-0", { kind: "service", rule: "rental-desk", resources: size(2, 4), priority: 0 });
});

Given("{int} reports of the service alone", function(this: LearningWorld, count: number) {
    observe(this, [this.service], BASELINE_TAIL_MILLISECONDS, count);
});

When(
    "{string} runs beside it for {int} reports with {int} times the tail",
    function(this: LearningWorld, rule: string, count: number, factor: number) {
        observe(this, [this.service, createNeighbour(this, rule)], BASELINE_TAIL_MILLISECONDS * factor, count);
    },
);

When(
    "{int} reports of {string} with {int} times the tail arrive too old, repeated and from the future",
    function(this: LearningWorld, count: number, rule: string, factor: number) {
        const tasks = [this.service, createNeighbour(this, rule)];
        const measuredAt = [
            this.now - TOO_OLD_MILLISECONDS,
            this.now - REPORT_LAG_MILLISECONDS,
            this.now + TOO_OLD_MILLISECONDS,
        ];
        for (let step = 0; step < count; step += 1) {
            for (const measured of measuredAt) {
                this.policy.observeReport(
                    createReport("worker-0", tasks, measured, BASELINE_TAIL_MILLISECONDS * factor),
                    this.now,
                );
            }
        }
    },
);

When("the decisions are carried out", function(this: LearningWorld) {
    const [decision] = decisionsOn(this, "noisy");
    assert.ok(decision?.kind === "throttle", JSON.stringify(decision));
    this.throttled = { ...createNeighbour(this, "noisy"), throttleShare: decision.share };
});

When(
    "{int} reports show {string} using twice its {int} declared cores on {string}",
    function(this: LearningWorld, count: number, rule: string, cores: number, name: string) {
        const task = placed(`${rule}-0`, { rule, resources: size(cores, 8) });
        for (let step = 0; step < count; step += 1) {
            this.now += REPORT_INTERVAL_MILLISECONDS;
            this.policy.observeReport(createReport(name, [task], this.now, BASELINE_TAIL_MILLISECONDS, 2), this.now);
        }
    },
);

Then('{string} on "worker-0" is throttled or evicted', function(this: LearningWorld, rule: string) {
    const [decision] = decisionsOn(this, rule);
    assert.ok(decision?.kind === "throttle" || decision?.kind === "evict", JSON.stringify(decision));
});

Then('nothing is done to {string} on "worker-0"', function(this: LearningWorld, rule: string) {
    assert.deepEqual(decisionsOn(this, rule), []);
});

Then("a new task of {string} goes to {string}", function(this: LearningWorld, rule: string, name: string) {
    const view = createView(this, [], { pending: [pending("new", { rule, submittedAtMilliseconds: this.now })] });
    assert.equal(findPlacedWorker(this.policy.decide(view, this.now), "new"), name);
});

Then("a new replica is placed", function(this: LearningWorld) {
    const replica = pending("new", { kind: "service", rule: "ticket", priority: 0 });
    const decisions = this.policy.decide(createView(this, [], { pending: [replica] }), this.now);
    assert.ok(findPlacedWorker(decisions, "new") !== undefined, JSON.stringify(decisions));
});

Then(
    "the counters show {int} old, {int} repeated and {int} future reports",
    async function(this: LearningWorld, old: number, repeated: number, future: number) {
        const text = await this.metrics.registry.metrics();
        for (const [worth, count] of Object.entries({ old, repeated, future })) {
            assert.ok(text.includes(`flamingowell_policy_reports_total{worth="${worth}"} ${count}`), text);
        }
    },
);

Then("the throttled {string} stays throttled", function(this: LearningWorld, rule: string) {
    this.now += TOO_OLD_MILLISECONDS / 60;
    const released = decisionsOn(this, rule).filter(decision => decision.kind === "throttle" && decision.share === 1);
    assert.deepEqual(released, []);
});

Then("the throttled {string} is let go", function(this: LearningWorld, rule: string) {
    const decisions = decisionsOn(this, rule);
    assert.ok(
        decisions.some(decision => decision.kind === "throttle" && decision.share === 1),
        JSON.stringify(decisions),
    );
});

Then(
    "{int} of {int} new tasks of {string} are placed on an empty worker",
    function(this: LearningWorld, count: number, offered: number, rule: string) {
        const waiting = Array.from(
            { length: offered },
            (unused, index) =>
                pending(`new-${index}`, { rule, resources: size(4, 8), submittedAtMilliseconds: this.now }),
        );
        const decisions = this.policy.decide(cell([worker("worker-9")], { pending: waiting }), this.now);
        assert.equal(decisions.filter(decision => decision.kind === "place").length, count);
    },
);

Then(
    "evictions stay within the caps for an hour and for a task in {int} arbitrary histories",
    function(this: LearningWorld, runs: number) {
        const mitigation = {
            evictionsPerHour: 5,
            urgentEvictionsPerHour: 3,
            evictionsPerTask: 2,
            reactionMilliseconds: 0,
        };
        const settings = PolicySettings.parse({ mitigation });
        let total = 0;
        const step = fc.record({
            factor: fc.constantFrom(1, 3, 8),
            seconds: fc.integer({ min: 5, max: 300 }),
            urgent: fc.boolean(),
        });
        fc.assert(
            fc.property(fc.array(step, { minLength: 20, maxLength: 80, size: "max" }), history => {
                const policy = createPolicy({ settings, random: createRandom(2) });
                total += replay(policy, history, mitigation);
            }),
            { numRuns: runs, seed: PROPERTY_SEED },
        );
        assert.ok(total > runs, `only ${total} evictions in all`);
    },
);

interface Caps {
    readonly evictionsPerHour: number;
    readonly urgentEvictionsPerHour: number;
    readonly evictionsPerTask: number;
}

/** Replays a history on one crowded worker, checks the caps after each decision and returns the evictions. */
function replay(
    policy: Policy,
    history: readonly { factor: number; seconds: number; urgent: boolean; }[],
    caps: Caps,
): number {
    const service = placed("desk-0", { kind: "service", rule: "rental-desk", resources: size(2, 4), priority: 0 });
    let tasks = Array.from(
        { length: 7 },
        (unused, index) => placed(`noisy-${index}`, { rule: "noisy", progress: 0.1, checkpointProgress: 0.1 }),
    );
    const interferenceTimes: number[] = [];
    const urgentTimes: number[] = [];
    let now = NOW;
    for (const [index, { factor, seconds, urgent }] of history.entries()) {
        now += seconds * 1_000;
        policy.observeReport(createReport("worker-0", [service], now - 6_000), now);
        policy.observeReport(
            createReport("worker-0", [service, ...tasks], now - 3_000, BASELINE_TAIL_MILLISECONDS * factor),
            now,
        );
        const waiting = urgent ? [pending(`urgent-${index}`, { priority: 0, resources: size(8, 8) })] : [];
        const view = cell([worker("worker-0", { tasks: [service, ...tasks] })], { pending: waiting });
        for (const decision of policy.decide(view, now)) {
            if (decision.kind === "evict") {
                (decision.reason.startsWith("makes room") ? urgentTimes : interferenceTimes).push(now);
                const victim = tasks.find(task => task.taskId === decision.taskId);
                assert.ok(victim !== undefined && victim.evictions < caps.evictionsPerTask, decision.taskId);
                // The task restarts at once, so that there is always a task to evict.
                tasks = tasks.map(task =>
                    task === victim
                        ? { ...task, attempt: task.attempt + 1, evictions: task.evictions + 1, throttleShare: 1 }
                        : task
                );
            }
            else if (decision.kind === "throttle") {
                tasks = tasks.map(task =>
                    task.taskId === decision.taskId ? { ...task, throttleShare: decision.share } : task
                );
            }
        }
        const recent = (times: readonly number[]) => times.filter(time => time > now - HOUR_MILLISECONDS).length;
        assert.ok(
            recent(interferenceTimes) <= caps.evictionsPerHour,
            `${recent(interferenceTimes)} evictions for harm`,
        );
        assert.ok(recent(urgentTimes) <= caps.urgentEvictionsPerHour, `${recent(urgentTimes)} evictions for urgency`);
    }
    return interferenceTimes.length + urgentTimes.length;
}
