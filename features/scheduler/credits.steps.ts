/**
 * Steps for exchanges of credits between a gateway and the bank of a cell's owner.
 */
import { Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { createLogger } from "../../src/core/log.js";
import { exchangeCredits } from "../../src/core/messages/credits.js";
import type { CreditHolding } from "../../src/core/messages/credits.js";
import { createMetrics } from "../../src/core/metrics.js";
import { diffHoldings, mergeGrants } from "../../src/gateway/credits/baseline.js";
import type { Baseline } from "../../src/gateway/credits/baseline.js";
import { createCreditAllocator } from "../../src/scheduler/credits/allocator.js";
import type { CreditAllocator } from "../../src/scheduler/credits/allocator.js";

const SEED = 5;
const CELL = "levi-0";
const WORKERS = ["levi-1", "levi-2", "levi-3"];
const STEP_MILLISECONDS = 700;
const LONGEST_HISTORY = 30;

interface CreditsWorld {
    differences: string[];
    emptyRequests: number;
    failure: string;
    reserved: number;
}

/** What happens before or after an exchange. */
type Incident = "none" | "answer lost" | "new owner";

interface Exchange {
    readonly holdings: readonly CreditHolding[];
    readonly incident: Incident;
}

const arbitraryHolding = fc.record({
    worker: fc.constantFrom(...WORKERS),
    held: fc.integer({ min: 0, max: 2 }),
    wanted: fc.integer({ min: 2, max: 40 }),
});
const arbitraryExchange: fc.Arbitrary<Exchange> = fc.record({
    holdings: fc.uniqueArray(arbitraryHolding, { selector: ({ worker }) => worker }),
    incident: fc.constantFrom<Incident>("none", "none", "none", "answer lost", "new owner"),
});

function createAllocator(clock: () => number): CreditAllocator {
    const allocator = createCreditAllocator({
        clock,
        metrics: createMetrics({}),
        logger: createLogger("scheduler", {}),
        isOwner: () => true,
    });
    addCell(allocator, 1);
    return allocator;
}

function addCell(allocator: CreditAllocator, epoch: number): void {
    allocator.addCell(CELL, epoch, WORKERS.map(worker => ({ worker, connections: 64 })), 0);
}

async function exchange(allocator: CreditAllocator, sequence: number, change: object) {
    const params = { gateway: "entry-1", incarnation: "first", cell: CELL, sequence, ...change };
    const answer = await allocator.handlers[0]?.handle(params);
    return exchangeCredits.answer.parse(answer);
}

async function playHistory(world: CreditsWorld, history: readonly Exchange[]): Promise<void> {
    let now = 0;
    const short = createAllocator(() => now);
    const whole = createAllocator(() => now);
    let baseline: Baseline | undefined;
    for (const [index, { holdings, incident }] of history.entries()) {
        now += STEP_MILLISECONDS;
        if (incident === "new owner") {
            addCell(short, index + 2);
            addCell(whole, index + 2);
            baseline = undefined;
        }
        const change = diffHoldings(baseline, holdings);
        world.emptyRequests += change.sameAs !== undefined && change.holdings.length === 0 ? 1 : 0;
        const expected = await exchange(whole, index, { holdings });
        const answer = await exchange(short, index, change);
        if (incident === "answer lost") {
            baseline = undefined;
            continue;
        }
        const grants = mergeGrants(baseline, holdings, answer.grants);
        baseline = {
            sequence: index,
            origin: "owner",
            holdings: new Map(holdings.map(holding => [holding.worker, holding])),
            grants,
        };
        const wanted = JSON.stringify(expected.grants.map(({ worker, granted }) => [worker, granted]));
        const got = JSON.stringify([...grants]);
        world.differences.push(...(wanted === got ? [] : [`exchange ${index}: ${got}, not ${wanted}`]));
    }
}

When("{int} random histories of exchanges are played short and whole", async function(
    this: CreditsWorld,
    count: number,
) {
    this.differences = [];
    this.emptyRequests = 0;
    const arbitraryHistory = fc.array(arbitraryExchange, { minLength: 1, maxLength: LONGEST_HISTORY });
    for (const history of fc.sample(arbitraryHistory, { numRuns: count, seed: SEED })) {
        await playHistory(this, history);
    }
});

Then("both granted the same each time", function(this: CreditsWorld) {
    assert.deepEqual(this.differences, []);
});

Then("some exchanges named no worker at all", function(this: CreditsWorld) {
    assert.ok(this.emptyRequests > 0);
});

When("an exchange builds on one that the owner has not answered", async function(this: CreditsWorld) {
    const allocator = createAllocator(() => 0);
    try {
        await exchange(allocator, 5, { sameAs: 4, holdings: [{ worker: "levi-1", held: 0, wanted: 8 }] });
        this.failure = "none";
    }
    catch (thrown) {
        this.failure = String((thrown as { data?: { code?: unknown; }; }).data?.code);
    }
    this.reserved = allocator.reserved("levi-1", 0);
});

Then("it fails with {string} and no credits are taken", function(this: CreditsWorld, code: string) {
    assert.equal(this.failure, code);
    assert.equal(this.reserved, 0);
});
