/**
 * Steps for quotas over cells.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { QuotaRule, Rule } from "../../src/rules/rule.js";
import { createShares, QUOTA_UNITS, reviseShares, reviseSurplus } from "../../src/scheduler/jobs/shares.js";
import type { WorkerBehaviour } from "../../stand-ins/worker/index.js";
import { listRunning } from "./support/check.js";
import { createFleet, waitUntil } from "./support/fleet.js";
import type { Fleet } from "./support/fleet.js";
import { createBatch } from "./support/rules.js";

const LIMIT = { timeout: 60_000 };
const PROPERTY_SEED = 11;
const CELLS = ["levi-0", "levi-1", "rovaniemi-0", "rovaniemi-1"];
const WAVES = 4;
const TASKS_PER_WAVE = 8;

interface QuotasWorld {
    dataCentres: Record<string, number>;
    behaviour: Partial<WorkerBehaviour>;
    fleet?: Fleet;
    expected?: number;
}

function fleetOf(world: QuotasWorld): Fleet {
    assert.ok(world.fleet !== undefined, "no fleet has been started");
    return world.fleet;
}

function createQuota(cores: number): QuotaRule {
    return { kind: "quota", name: "desk", requester: "Aino, rental desk", line: 9, end: { feature: "desk" }, cores };
}

function createWork(name: string, tasks: number, cores: number, dataCentre: string): Rule {
    const resources = { cores, memoryBytes: 1_000_000_000, accelerators: 0 };
    return createBatch(name, { tasks, resources, dataCentres: [dataCentre] });
}

function listFinished(fleet: Fleet): Set<string> {
    return new Set(
        fleet.records.flatMap(record =>
            record.event === "attempt-ended" && record.state === "finished" ? [record.taskId] : []
        ),
    );
}

Given("schedulers in both data centres", LIMIT, async function(this: QuotasWorld) {
    this.fleet = await createFleet(this.dataCentres, this.behaviour);
    this.fleet.startScheduler("entry-1", "levi");
    this.fleet.startScheduler("entry-2", "rovaniemi");
});

When(
    "the team may hold {int} cores, and {string} waits with {int} tasks of {int} cores in {string} only",
    function(this: QuotasWorld, quota: number, name: string, tasks: number, cores: number, dataCentre: string) {
        fleetOf(this).configuration.apply([createQuota(quota), createWork(name, tasks, cores, dataCentre)]);
    },
);

When(
    "{string} ends and {string} waits with {int} tasks of {int} cores in {string} only",
    function(this: QuotasWorld, ending: string, name: string, tasks: number, cores: number, dataCentre: string) {
        const { configuration } = fleetOf(this);
        const rules = configuration.current()?.documents.flatMap(document => document.rules) ?? [];
        configuration.apply([
            ...rules.filter(rule => rule.name !== ending),
            createWork(name, tasks, cores, dataCentre),
        ]);
    },
);

When(
    "the team may hold {int} cores, and work of {int} cores comes and goes in both data centres",
    LIMIT,
    async function(this: QuotasWorld, quota: number, cores: number) {
        const fleet = fleetOf(this);
        const rules: Rule[] = [createQuota(quota)];
        for (let wave = 0; wave < WAVES; wave += 1) {
            const dataCentre = wave % 2 === 0 ? "levi" : "rovaniemi";
            rules.push(createWork(`wave-${wave}`, TASKS_PER_WAVE, cores, dataCentre));
            fleet.configuration.apply(rules);
            this.expected = (wave + 1) * TASKS_PER_WAVE;
            // The next wave starts while half of this one still runs or waits.
            const half = this.expected - TASKS_PER_WAVE / 2;
            await waitUntil("half of the wave has run", () => listFinished(fleet).size >= half);
        }
    },
);

When(
    "the scheduler {string} ends without a word while work comes and goes",
    LIMIT,
    async function(this: QuotasWorld, instance: string) {
        const fleet = fleetOf(this);
        const rules = fleet.configuration.current()?.documents.flatMap(document => document.rules) ?? [];
        fleet.configuration.apply([
            ...rules,
            createWork("late-levi", TASKS_PER_WAVE, 2, "levi"),
            createWork("late-rovaniemi", TASKS_PER_WAVE, 2, "rovaniemi"),
        ]);
        this.expected = (this.expected ?? 0) + 2 * TASKS_PER_WAVE;
        const scheduler = fleet.schedulers.find(candidate => candidate.instance === instance);
        await waitUntil("late work runs", () => listRunning(fleet.records).some(({ rule }) => rule === "late-levi"));
        scheduler?.abort();
        await scheduler?.finished;
    },
);

Then("all of that work has run", LIMIT, async function(this: QuotasWorld) {
    const fleet = fleetOf(this);
    await waitUntil("all work has run", () => listFinished(fleet).size === this.expected);
});

Then("at no time more than {int} tasks ran", function(this: QuotasWorld, limit: number) {
    const running = new Set<string>();
    let most = 0;
    for (const record of fleetOf(this).records) {
        if (record.event === "attempt-started") {
            running.add(`${record.taskId}#${record.attempt} on ${record.worker}`);
        }
        if (record.event === "attempt-ended") {
            running.delete(`${record.taskId}#${record.attempt} on ${record.worker}`);
        }
        most = Math.max(most, running.size);
    }
    assert.ok(most > 0, "nothing ran");
    assert.ok(most <= limit, `${most} tasks ran at once`);
});

Then(
    "shares after {int} arbitrary series of needs of {int} cells never exceed the quota nor fall below what is held",
    function(this: QuotasWorld, runs: number, cells: number) {
        const names = CELLS.slice(0, cells);
        const units = fc.integer({ min: 0, max: QUOTA_UNITS });
        const step = fc.record({ cell: fc.nat(cells - 1), ending: units, starting: units, waiting: units });
        let moves = 0;
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), steps => {
                let shares = createShares("desk", names);
                const held = new Map<string, number>();
                for (const { cell: index, ending, starting, waiting } of steps) {
                    const cell = names[index] ?? "";
                    // A cell ends some of its tasks, and starts no more than its share allows.
                    const kept = Math.max(0, (held.get(cell) ?? 0) - ending);
                    const used = Math.max(kept, Math.min(kept + starting, shares.shares[cell] ?? 0));
                    held.set(cell, used);
                    const need = { cell, used, wanted: Math.min(QUOTA_UNITS, used + waiting) };
                    const next = reviseSurplus(shares, need) ?? reviseShares(shares, need);
                    moves += next === undefined ? 0 : 1;
                    shares = next ?? shares;
                    const total = Object.values(shares.shares).reduce((sum, share) => sum + share, 0);
                    assert.ok(total <= QUOTA_UNITS, `shares of ${total} units`);
                    assert.ok((shares.shares[cell] ?? 0) >= used, `${cell} holds ${used} units`);
                }
            }),
            { numRuns: runs, seed: PROPERTY_SEED },
        );
        assert.ok(moves > runs, `only ${moves} moves`);
    },
);
