/**
 * Steps for the stateful property of the scheduler.
 */
import { Then, When } from "@cucumber/cucumber";
import createDebug from "debug";
import assert from "node:assert/strict";
import { checkProperty } from "./model/property.js";
import type { PropertyOutcome } from "./model/property.js";

const STEP_LIMIT_MILLISECONDS = 600_000;

interface PropertyWorld {
    outcome: PropertyOutcome;
}

When(
    "{int} random histories of a small deployment are played from seed {int}",
    { timeout: STEP_LIMIT_MILLISECONDS },
    async function(this: PropertyWorld, runs: number, seed: number) {
        // Avoids thousands of log lines about faults; a failure prints the seed, the commands and the violations.
        const namespaces = createDebug.disable();
        try {
            this.outcome = await checkProperty(seed, runs);
        }
        finally {
            createDebug.enable(namespaces);
        }
    },
);

Then("no invariant was broken while tasks were started and resumed", function(this: PropertyWorld) {
    assert.ok(this.outcome.starts >= this.outcome.runs, `only ${this.outcome.starts} attempts were started`);
    assert.ok(this.outcome.resumptions > 0, "no task was ever resumed from a checkpoint");
});
