/**
 * Steps for placement rules between cells.
 */
import { Then, When } from "@cucumber/cucumber";
import type { PlacementRule } from "../../src/rules/rule.js";
import { listRunning } from "./support/check.js";
import { waitUntil } from "./support/fleet.js";
import type { Fleet } from "./support/fleet.js";
import { createBatch } from "./support/rules.js";

const LIMIT = { timeout: 60_000 };

interface PlacementsWorld {
    fleet: Fleet;
}

function createPlacement(kind: "allow" | "deny", name: string, dataCentre: string): PlacementRule {
    return { kind, name, dataCentres: [dataCentre], requester: "Aino, rental desk", line: 3, end: { feature: "desk" } };
}

function countRunning(fleet: Fleet, rule: string, dataCentre: string): number {
    return listRunning(fleet.records).filter(running =>
        running.rule === rule && running.worker.startsWith(`${dataCentre}-`)
    ).length;
}

When(
    "{string} with {int} tasks is allowed in {string} only",
    function(this: PlacementsWorld, name: string, tasks: number, dataCentre: string) {
        this.fleet.configuration.apply([createBatch(name, { tasks }), createPlacement("allow", name, dataCentre)]);
    },
);

When(
    "{string} with {int} tasks is denied in {string}",
    function(this: PlacementsWorld, name: string, tasks: number, dataCentre: string) {
        this.fleet.configuration.apply([createBatch(name, { tasks }), createPlacement("deny", name, dataCentre)]);
    },
);

When(
    "the allow line has gone and {string} with {int} tasks is added",
    function(this: PlacementsWorld, name: string, tasks: number) {
        const rules = this.fleet.configuration.current()?.documents.flatMap(document => document.rules) ?? [];
        this.fleet.configuration.apply([
            ...rules.filter(({ kind }) => kind !== "allow"),
            createBatch(name, { tasks, line: 4 }),
        ]);
    },
);

Then(
    "{int} tasks of {string} run in {string} and {int} in {string}",
    LIMIT,
    async function(
        this: PlacementsWorld,
        count: number,
        rule: string,
        dataCentre: string,
        otherCount: number,
        other: string,
    ) {
        await waitUntil("tasks run", () =>
            countRunning(this.fleet, rule, dataCentre) === count
            && countRunning(this.fleet, rule, other) === otherCount);
    },
);

Then("tasks of {string} run in both data centres", LIMIT, async function(this: PlacementsWorld, rule: string) {
    await waitUntil(
        "tasks run in both",
        () => ["levi", "rovaniemi"].every(dataCentre => countRunning(this.fleet, rule, dataCentre) > 0),
    );
});
