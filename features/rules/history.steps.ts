/**
 * Steps for what is reported and kept over days; the clock of the surface is the scenario's.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import type { DataTable } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import type { z } from "zod";
import { createLogger } from "../../src/core/log.js";
import { createMetrics } from "../../src/core/metrics.js";
import { createRpcClient } from "../../src/core/rpc.js";
import { MILLISECONDS_PER_DAY } from "../../src/core/time.js";
import { applyRules, listHistory } from "../../src/operator/messages.js";
import { createOperatorSurface } from "../../src/operator/operator.js";
import { OperatorSettings } from "../../src/operator/settings.js";
import { createStore } from "../../src/platform/adapters/store.js";
import { waitFor } from "../membership/fleet.js";
import { STEP_LIMIT_MILLISECONDS } from "./fleet.steps.js";
import type { FleetWorld } from "./fleet.steps.js";

interface HistoryWorld extends FleetWorld {
    historyDay: number;
    historyCall(name: string, params: unknown): Promise<unknown>;
    historySeen: string[];
}

Given("a surface of its own that keeps history for {int} days", function(this: HistoryWorld, days: number) {
    this.historyDay = 0;
    const self = {
        instance: "entry-9",
        role: "gateway" as const,
        dataCentre: "levi",
        origin: "http://127.0.0.1:1",
        incarnation: 1,
        state: "alive" as const,
        configurationRevision: 0,
    };
    const surface = createOperatorSurface({
        settings: OperatorSettings.parse({ historyDays: days }),
        store: createStore({ origins: [this.nodeFleet.store.origin], timeoutMilliseconds: 1_000 }),
        instanceList: { list: async () => Result.ok([]) },
        feed: {
            source: { current: () => undefined, onChange: () => () => undefined },
            accept: () => undefined,
            revisionOf: () => 0,
            handlers: [],
            run: () => Promise.resolve(),
        },
        membership: { members: () => [], self: () => self, onChange: () => () => undefined },
        rpc: createRpcClient({ token: "unused", timeoutMilliseconds: 1_000 }),
        clock: () => this.historyDay * MILLISECONDS_PER_DAY,
        metrics: createMetrics({}),
        logger: createLogger("history"),
    });
    this.historyCall = async (name, params) =>
        await surface.handlers.find(handler => handler.name === name)?.handle(params);
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
    "a process tells within its next look that {int} rules have ended",
    { timeout: STEP_LIMIT_MILLISECONDS },
    async function(this: HistoryWorld, count: number) {
        const [node] = this.nodeFleet.nodes;
        assert.ok(node !== undefined);
        await this.nodeFleet.kill(node);
        await this.nodeFleet.restart(node);
        await waitFor(
            "the metric tells",
            async () => await this.nodeFleet.readMetric(node, "flamingowell_rules_ending", '"ended"') === count,
        );
    },
);
