/**
 * Steps for the decisions on who owns a cell.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { isBetterConnected } from "../../src/jobs/ownership/candidate.js";

interface OwnershipWorld {
    failingMilliseconds: number;
    answerMilliseconds: number;
}

Given("an owner that has been unable to commit for {int} ms", function(this: OwnershipWorld, milliseconds: number) {
    this.failingMilliseconds = milliseconds;
});

When("the store answers another instance within {int} ms", function(this: OwnershipWorld, milliseconds: number) {
    this.answerMilliseconds = milliseconds;
});

Then(/^that instance (replaces|does not replace) the owner$/, function(this: OwnershipWorld, outcome: string) {
    assert.equal(isBetterConnected(this.answerMilliseconds, this.failingMilliseconds), outcome === "replaces");
});
