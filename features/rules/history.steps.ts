/**
 * Steps for ended rules and for the retention of history, with a clock that the scenario sets.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import type { DataTable } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { z } from "zod";
import { MILLISECONDS_PER_DAY } from "../../src/core/time.js";
import { applyRules, listHistory } from "../../src/operator/messages.js";
import { createStore } from "../../src/platform/adapters/store.js";
import { waitFor } from "../membership/fleet.js";
import { STEP_LIMIT_MILLISECONDS } from "./fleet.steps.js";
import type { FleetWorld } from "./fleet.steps.js";
import { createSurface } from "./surface.js";
import type { SurfaceCall } from "./surface.js";

interface HistoryWorld extends FleetWorld {
    historyDay: number;
    historyCall: SurfaceCall;
    historySeen: string[];
}

Given("a surface of its own that keeps history for {int} days", function(this: HistoryWorld, days: number) {
    this.historyDay = 0;
    const store = createStore({ origins: [this.nodeFleet.store.origin], timeoutMilliseconds: 1_000 });
    this.historyCall = createSurface({
        store,
        settings: { historyDays: days },
        clock: () => this.historyDay * MILLISECONDS_PER_DAY,
    });
});

When("rules are applied on days 0, 4, 9, 13 and 30", async function(this: HistoryWorld) {
    this.historySeen = [];
    let baseRevision = 0;
    for (const day of [0, 4, 9, 13, 30]) {
        this.historyDay = day;
        const answer = await this.historyCall(applyRules.name, {
            team: "rental-desk",
            text: `service desk --replicas ${day + 1} --cores 2 --memory 4GiB --until 2999-05-31 # Aino`,
            baseRevision,
            applyId: String(day),
            by: "Aino",
        }) as z.output<typeof applyRules.answer>;
        assert.ok(answer.outcome === "accepted", JSON.stringify(answer));
        baseRevision = answer.revision;
        const history = await this.historyCall(listHistory.name, { team: "rental-desk" }) as z.output<
            typeof listHistory.answer
        >;
        const days = history.entries.map(({ version }) => version.appliedAtMilliseconds / MILLISECONDS_PER_DAY);
        this.historySeen.push(days.reverse().join(", "));
    }
});

Then("after each apply the versions are of days:", function(this: HistoryWorld, table: DataTable) {
    assert.deepEqual(this.historySeen, table.raw().map(([days]) => days));
});

Then(
    "a process reports within its next check that {int} rules have ended",
    { timeout: STEP_LIMIT_MILLISECONDS },
    async function(this: HistoryWorld, count: number) {
        const [node] = this.nodeFleet.nodes;
        assert.ok(node !== undefined);
        await this.nodeFleet.kill(node);
        await this.nodeFleet.restart(node);
        await waitFor(
            "the metric counts the ended rules",
            async () => await this.nodeFleet.readMetric(node, "flamingowell_rules_ending", '"ended"') === count,
        );
    },
);
