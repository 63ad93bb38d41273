/**
 * Steps that call methods of a process with one invalid value in the parameters.
 */
import { Then } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import * as z from "zod";
import { Failure } from "../../src/core/errors.js";
import { probePeer } from "../../src/membership/messages.js";
import { applyRules, planRules, readSpread, showRules } from "../../src/operator/messages.js";
import { areRelated, spoil } from "../core/fuzz.js";
import { describeMember } from "../membership/network.js";
import { STEP_LIMIT_MILLISECONDS } from "./fleet.steps.js";
import type { FleetWorld } from "./fleet.steps.js";

const SEED = 20_261_204;
const TOKEN = "fleet-token";

/** Text without a valid rule, so that no apply is accepted whichever other value is changed. */
const text = "nothing that is a rule";

const calls = [
    { port: "operators", method: showRules.name, params: { team: "rental-desk" } },
    { port: "operators", method: readSpread.name, params: { team: "rental-desk", revision: 1 } },
    { port: "operators", method: planRules.name, params: { team: "rental-desk", file: "desk.rules", text } },
    {
        port: "operators",
        method: applyRules.name,
        params: { team: "rental-desk", file: "desk.rules", text, baseRevision: 0, applyId: "first", by: "Aino" },
    },
    {
        port: "peers",
        method: probePeer.name,
        params: { self: describeMember("entry-9"), changes: [describeMember("entry-8")] },
    },
];

const Answer = z.object({
    result: z.unknown().optional(),
    error: z.object({ data: Failure }).optional(),
});

Then(
    "{int} calls of methods of instance {int} with one bad place are carried out or refused for that place",
    { timeout: STEP_LIMIT_MILLISECONDS },
    async function(this: FleetWorld, runs: number, instance: number) {
        const node = this.nodeFleet.nodes.find(candidate => candidate.name === `entry-${instance}/gateway`);
        const spoilt = fastCheck.constantFrom(...calls)
            .chain(call => spoil(call.params).map(spoiling => ({ ...call, ...spoiling })));
        await fastCheck.assert(
            fastCheck.asyncProperty(spoilt, async ({ port, method, document, path }) => {
                const response = await fetch(`${node?.process.announcement[port] ?? ""}/rpc`, {
                    method: "POST",
                    headers: { authorization: `Bearer ${TOKEN}` },
                    body: JSON.stringify({ jsonrpc: "2.0", id: 1, method, params: document }),
                });
                const { result, error } = Answer.parse(await response.json());
                assert.notEqual(error === undefined, result === undefined);
                if (error?.data.code === "invalid-input") {
                    assert.equal(error.data.step, method);
                    assert.ok(areRelated(error.data.path ?? [], path), JSON.stringify(error));
                    assert.match(error.data.message, /expected|allowed are|use /);
                }
                assert.ok(error !== undefined || !path.includes("unheardOf"), "an unknown key was accepted");
            }),
            { seed: SEED, numRuns: runs },
        );
    },
);
