/**
 * Steps for replicas that fail.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { explainTask } from "../../src/core/messages/operator.js";
import type { WorkerBehaviour } from "../../stand-ins/worker/index.js";
import { RuleProfile } from "../../stand-ins/worker/settings.js";
import { createFleet, waitUntil } from "./support/fleet.js";
import type { Fleet } from "./support/fleet.js";
import { createService } from "./support/rules.js";

const LIMIT = { timeout: 60_000 };
const FAILS_AFTER_MILLISECONDS = 10;

interface RestartsWorld {
    dataCentres: Record<string, number>;
    behaviour: Partial<WorkerBehaviour>;
    fleet?: Fleet;
}

function fleetOf(world: RestartsWorld): Fleet {
    assert.ok(world.fleet !== undefined);
    return world.fleet;
}

async function explain(fleet: Fleet, taskId: string): Promise<string> {
    const [running] = fleet.schedulers;
    const handler = running?.scheduler.handlers.find(({ name }) => name === explainTask.name);
    const { task } = explainTask.answer.parse(await handler?.handle({ taskId }));
    return task?.reason ?? "";
}

Given("every attempt of {string} fails", function(this: RestartsWorld, rule: string) {
    const profile = RuleProfile.parse({ failsAfterMilliseconds: FAILS_AFTER_MILLISECONDS });
    this.behaviour = { profiles: { [rule]: profile } };
});

Given(
    "a scheduler {string} in {string} that backs off from {int} milliseconds",
    LIMIT,
    async function(this: RestartsWorld, instance: string, dataCentre: string, backOffMilliseconds: number) {
        this.fleet = await createFleet(this.dataCentres, this.behaviour);
        this.fleet.startScheduler(instance, dataCentre, { backOffMilliseconds });
    },
);

When("the only rule is {string} with 1 replica", function(this: RestartsWorld, service: string) {
    fleetOf(this).configuration.apply([createService(service, { replicas: 1 })]);
});

Then("explain says of {string} that it {string}", LIMIT, async function(
    this: RestartsWorld,
    taskId: string,
    reason: string,
) {
    await waitUntil(reason, async () => (await explain(fleetOf(this), taskId)).startsWith(reason));
});
