/**
 * Steps for claims of partitions: decisions on records, without a store.
 */
import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createClaim, findClaimReason } from "../../src/gateway/exclusive/claim.js";
import type { Claimant } from "../../src/gateway/exclusive/claim.js";
import { chooseLongestAttempt } from "../../src/gateway/exclusive/longest-attempt.js";
import type { LongestAttempt } from "../../src/gateway/exclusive/longest-attempt.js";
import type { PartitionRecord } from "../../src/gateway/exclusive/partition.js";
import { ExclusiveSettings } from "../../src/gateway/exclusive/settings.js";

const NOW = 1_000_000;
const LONGEST_ATTEMPT_MILLISECONDS = 2_000;
const settings = ExclusiveSettings.parse({});
const claimant: Claimant = {
    instance: "entry-1",
    incarnation: "second",
    origin: "http://127.0.0.1:7000",
    startedAtMilliseconds: NOW - 700,
};

interface ClaimWorld {
    record: PartitionRecord | undefined;
    longest: LongestAttempt;
}

const held: PartitionRecord = {
    holder: "entry-2",
    incarnation: "other",
    origin: "http://127.0.0.1:7001",
    horizonMilliseconds: NOW + 60_000,
    longestAttemptMilliseconds: LONGEST_ATTEMPT_MILLISECONDS,
    released: false,
    quietUntilMilliseconds: 0,
};

const states: Readonly<Record<string, PartitionRecord | undefined>> = {
    "held by nobody": undefined,
    "released": { ...held, released: true },
    "held by the process itself": {
        ...held,
        holder: claimant.instance,
        incarnation: "second",
        origin: claimant.origin,
    },
    "held by the process's own predecessor": {
        ...held,
        holder: claimant.instance,
        incarnation: "first",
        origin: claimant.origin,
    },
    "held by another until a horizon in reach": held,
    "held by another until a horizon long past": { ...held, horizonMilliseconds: NOW - 60_000 },
};

Given(/^a partition that is (held by .*|released)$/, function(this: ClaimWorld, state: string) {
    assert.ok(state in states, state);
    this.record = states[state];
});

Then("the claim's reason is {string}", function(this: ClaimWorld, reason: string) {
    assert.equal(findClaimReason(this.record, claimant, settings, NOW) ?? "none", reason);
});

function findQuietUntil(record: PartitionRecord | undefined): number {
    const previous = record === undefined ? undefined : { body: record, revision: 1, leaseId: "" };
    return createClaim(claimant, previous, LONGEST_ATTEMPT_MILLISECONDS, settings, NOW).quietUntilMilliseconds;
}

Then("the claim is quiet until {int} ms after the process began to listen", function(this: ClaimWorld, wait: number) {
    assert.equal(findQuietUntil(this.record), claimant.startedAtMilliseconds + wait);
});

Then("the claim is quiet until {int} ms after the claim", function(this: ClaimWorld, wait: number) {
    assert.equal(findQuietUntil(this.record), NOW + wait);
});

Given("rules that have allowed attempts of {int} ms for {int} ms", function(
    this: ClaimWorld,
    longestMilliseconds: number,
    unchangedMilliseconds: number,
) {
    this.longest = {
        current: () => longestMilliseconds,
        unchangedMilliseconds: () => unchangedMilliseconds,
    };
});

Then("the record keeps attempts of {int} ms", function(this: ClaimWorld, milliseconds: number) {
    assert.equal(chooseLongestAttempt(this.record, claimant, this.longest, NOW), milliseconds);
});
