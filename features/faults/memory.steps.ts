/**
 * Steps for the trend of resident memory, on samples made by rule.
 */
import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { findTrend, MEMORY_LIMIT_MEGABYTES, MOST_GROWTH_MEGABYTES_PER_HOUR } from "../../bench/support/memory.js";
import type { MemorySample } from "../../bench/support/memory.js";

interface MemoryWorld {
    samples: MemorySample[];
}

const SAMPLE_SECONDS = 5;
const SECONDS_PER_HOUR = 3_600;
/** Samples from one collection to the next. */
const COLLECTION_SAMPLES = 4;
const TOLERANCE_MEGABYTES = 1;

Given("{int} s of samples from {int} MB that swing by {int} MB and grow by {int} MB an hour", function(
    this: MemoryWorld,
    seconds: number,
    from: number,
    swing: number,
    growth: number,
) {
    this.samples = Array.from({ length: seconds / SAMPLE_SECONDS }, (unused, index) => {
        const atSeconds = index * SAMPLE_SECONDS;
        const swung = swing * (index % COLLECTION_SAMPLES) / COLLECTION_SAMPLES;
        return { atSeconds, megabytes: from + swung + growth * atSeconds / SECONDS_PER_HOUR };
    });
});

Given("the first {int} s are {int} MB lower", function(this: MemoryWorld, seconds: number, lower: number) {
    this.samples = this.samples.map(({ atSeconds, megabytes }) => ({
        atSeconds,
        megabytes: atSeconds < seconds ? megabytes - lower : megabytes,
    }));
});

Then("the process is flat and stays below {int} MB for an hour", function(this: MemoryWorld, limit: number) {
    const trend = findTrend(this.samples);
    assert.ok(trend.growthMegabytesPerHour <= MOST_GROWTH_MEGABYTES_PER_HOUR, JSON.stringify(trend));
    assert.ok(trend.afterAnHourMegabytes <= limit, JSON.stringify(trend));
});

Then("the process grows by {int} MB an hour", function(this: MemoryWorld, growth: number) {
    const { growthMegabytesPerHour } = findTrend(this.samples);
    assert.ok(Math.abs(growthMegabytesPerHour - growth) <= TOLERANCE_MEGABYTES, String(growthMegabytesPerHour));
    assert.ok(growthMegabytesPerHour > MOST_GROWTH_MEGABYTES_PER_HOUR);
});

Then("it passes {int} MB within an hour", function(this: MemoryWorld, limit: number) {
    assert.equal(limit, MEMORY_LIMIT_MEGABYTES);
    assert.ok(findTrend(this.samples).afterAnHourMegabytes > limit);
});
