/**
 * Steps for exclusive requests, with real processes.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { runExclusiveScenario } from "../../bench/exclusive/scenario.js";
import type { ExclusiveFault, ExclusiveOutcome } from "../../bench/exclusive/scenario.js";
import { judgeAll } from "../../bench/support/checker/index.js";
import type { Verdict } from "../../bench/support/checker/index.js";

const STEP_LIMIT_MILLISECONDS = 90_000;
const FAULT_AT_MILLISECONDS = 1_500;
const FAULT_LASTS_MILLISECONDS = 2_500;
const DURATION_MILLISECONDS = 9_000;
const CALLS_PER_SECOND = 50;
const KEYS = 6;
const SEED = 3;

const faults: Readonly<Record<string, ExclusiveFault>> = {
    "a crash": { kind: "crash", atMilliseconds: FAULT_AT_MILLISECONDS, restartMilliseconds: 500 },
    "a silence": {
        kind: "silence",
        atMilliseconds: FAULT_AT_MILLISECONDS,
        lastsMilliseconds: FAULT_LASTS_MILLISECONDS,
    },
    "an outage": {
        kind: "outage",
        atMilliseconds: FAULT_AT_MILLISECONDS,
        lastsMilliseconds: FAULT_LASTS_MILLISECONDS,
    },
    "a planned stop": { kind: "stop", atMilliseconds: FAULT_AT_MILLISECONDS },
};

interface ExclusiveWorld {
    outcome: ExclusiveOutcome;
}

async function run(exclusive: boolean, injected: readonly ExclusiveFault[]): Promise<ExclusiveOutcome> {
    return runExclusiveScenario({
        seed: SEED,
        durationMilliseconds: DURATION_MILLISECONDS,
        callsPerSecond: CALLS_PER_SECOND,
        keys: KEYS,
        settings: {},
        exclusive,
        faults: injected,
    });
}

function findVerdict(outcome: ExclusiveOutcome): Verdict {
    const verdict = judgeAll(outcome.evidence).find(({ promise }) => promise === "exclusive requests never overlap");
    assert.ok(verdict);
    assert.ok(verdict.opportunities > 0, "no two callers wanted one key at the same time");
    return verdict;
}

When(
    /^callers use an exclusive service while there is (a crash|a silence|an outage|a planned stop)$/,
    { timeout: STEP_LIMIT_MILLISECONDS },
    async function(this: ExclusiveWorld, fault: string) {
        const injected = faults[fault];
        assert.ok(injected);
        this.outcome = await run(true, [injected]);
    },
);

When("callers use a service that is not exclusive", { timeout: STEP_LIMIT_MILLISECONDS }, async function(
    this: ExclusiveWorld,
) {
    this.outcome = await run(false, []);
});

Then("no two requests of one key overlapped", function(this: ExclusiveWorld) {
    assert.deepEqual(findVerdict(this.outcome).violations, []);
});

Then("requests of one key overlapped", function(this: ExclusiveWorld) {
    assert.ok(findVerdict(this.outcome).violations.length > 0);
});

Then("requests were answered after the fault", function(this: ExclusiveWorld) {
    const after = this.outcome.startedAtMilliseconds + FAULT_AT_MILLISECONDS + FAULT_LASTS_MILLISECONDS;
    const { calls } = this.outcome.evidence;
    assert.ok(calls.some(call => call.sentAt > after && call.outcome === "answered"));
});
