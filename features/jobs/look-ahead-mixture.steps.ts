/**
 * Steps that compare what callers of large and of small jobs get, with and without placement ahead.
 */
import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRandom } from "../../src/core/random.js";
import { QUEUE } from "./builders.js";
import { createPlay } from "./look-ahead-play.js";
import type { Play, PlayedOutcome } from "./look-ahead-play.js";

interface MixtureWorld {
    large: Comparison;
    small: Comparison;
}

/** Mean wait, in milliseconds, and share on time of one kind of jobs. */
interface Summary {
    readonly wait: number;
    readonly onTime: number;
}

interface Comparison {
    readonly ahead: Summary;
    readonly plain: Summary;
}

/** The kinds of jobs that compete: cores, mean run and mean time between two jobs. */
const SMALL = { cores: 4, milliseconds: 500, gapMilliseconds: 11.5 };
const LARGE = { cores: 20, milliseconds: 2_000, gapMilliseconds: 870 };

const FLOOD_RUN_MILLISECONDS = 540;
const SEED = 7;
const LIMIT = { timeout: 30_000 };

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Plays large and small jobs at random; those that come too late to end on time within the play are left out. */
function playMixture(seconds: number, looksAhead: boolean, seed: number): PlayedOutcome[] {
    const play = createPlay({ workers: 8, cores: 32, looksAhead });
    const random = createRandom(seed);
    const drawGap = (milliseconds: number): number => -Math.log(1 - random()) * milliseconds;
    let nextSmallAt = 0;
    let nextLargeAt = 0;
    play.advance(seconds * 1_000, () => {
        for (; nextSmallAt <= play.elapsed(); nextSmallAt += drawGap(SMALL.gapMilliseconds)) {
            submitOne(play, "small", SMALL, random());
        }
        for (; nextLargeAt <= play.elapsed(); nextLargeAt += drawGap(LARGE.gapMilliseconds)) {
            submitOne(play, "large", LARGE, random());
        }
    });
    const limit = seconds * 1_000 - objectiveOf(LARGE.milliseconds);
    return [...play.outcomes.values()].filter(({ submittedAt }) => submittedAt <= limit);
}

function submitOne(
    play: Play,
    kind: string,
    { cores, milliseconds }: Pick<typeof SMALL, "cores" | "milliseconds">,
    drawn: number,
): void {
    play.submit({
        id: `${kind}-${play.outcomes.size}`,
        fields: { cores, estimateMilliseconds: milliseconds },
        runMilliseconds: milliseconds * (0.5 + drawn),
    });
}

function objectiveOf(milliseconds: number): number {
    return milliseconds * QUEUE.stretchFactor + QUEUE.latencyObjectiveMilliseconds;
}

function summarize(outcomes: readonly PlayedOutcome[], kind: string): Summary {
    const chosen = outcomes.filter(({ job }) => job.id.startsWith(kind));
    const onTime = chosen.filter(({ endedAt = Infinity, job, submittedAt }) =>
        endedAt - submittedAt <= objectiveOf(job.fields.estimateMilliseconds ?? 0)
    );
    return {
        wait: mean(
            chosen.map(({ firstStartAt = Infinity, submittedAt }) => Math.min(firstStartAt - submittedAt, 10_000)),
        ),
        onTime: onTime.length / chosen.length,
    };
}

/** Plays the same jobs with and without placement ahead, with different seeds. */
function compare(
    world: MixtureWorld,
    times: number,
    playOne: (looksAhead: boolean, seed: number) => readonly PlayedOutcome[],
): void {
    const [ahead, plain] = [true, false].map(looksAhead =>
        Array.from({ length: times }, (_, index) => playOne(looksAhead, SEED + index)).flat()
    );
    assert.ok(ahead !== undefined && plain !== undefined);
    world.large = { ahead: summarize(ahead, "large"), plain: summarize(plain, "large") };
    world.small = { ahead: summarize(ahead, "small"), plain: summarize(plain, "small") };
}

Given(
    "the same large and small jobs, played for {int} s with and without placement ahead, {int} times",
    LIMIT,
    function(this: MixtureWorld, seconds: number, times: number) {
        compare(this, times, (looksAhead, seed) => playMixture(seconds, looksAhead, seed));
    },
);

Then(
    "large jobs wait less than half as long with it, and less than half as many of them are late",
    function(this: MixtureWorld) {
        const { ahead, plain } = this.large;
        assert.ok(ahead.wait < plain.wait / 2, `${ahead.wait} ms against ${plain.wait} ms`);
        assert.ok(1 - ahead.onTime < (1 - plain.onTime) / 2, `${ahead.onTime} against ${plain.onTime}`);
    },
);

Then(
    "small jobs are as often on time with it as without, and wait {int} ms longer at most",
    function(this: MixtureWorld, milliseconds: number) {
        const { ahead, plain } = this.small;
        assert.ok(ahead.onTime >= plain.onTime, `${ahead.onTime} against ${plain.onTime}`);
        assert.ok(ahead.wait <= plain.wait + milliseconds, `${ahead.wait} ms against ${plain.wait} ms`);
    },
);

/** Plays short jobs of two sizes on a pool that lasting tasks fill within ten seconds. */
function playFlood(seconds: number, looksAhead: boolean, seed: number): PlayedOutcome[] {
    const play = createPlay({ workers: 16, cores: 37, looksAhead });
    const random = createRandom(seed);
    const drawGap = (milliseconds: number): number => -Math.log(1 - random()) * milliseconds;
    const drawCores = (least: number, most: number): number =>
        Math.round(10 * (least + (most - least) * random())) / 10;
    const nextAt = { small: 0, large: 0, lasting: 0 };
    play.advance(seconds * 1_000, () => {
        for (; nextAt.small <= play.elapsed(); nextAt.small += drawGap(14)) {
            submitOne(play, "small", { cores: drawCores(2, 4), milliseconds: FLOOD_RUN_MILLISECONDS }, random());
        }
        for (; nextAt.large <= play.elapsed(); nextAt.large += drawGap(120)) {
            submitOne(play, "large", { cores: drawCores(8, 12), milliseconds: FLOOD_RUN_MILLISECONDS }, random());
        }
        for (; nextAt.lasting <= play.elapsed(); nextAt.lasting += 600) {
            const fields = { cores: drawCores(2, 5), taskCount: 8, isLasting: true, latencyObjectiveMilliseconds: 50 };
            const id = `lasting-${play.outcomes.size}`;
            play.submit({ id, fields: { ...fields, image: id }, runMilliseconds: Infinity });
        }
    });
    const limit = seconds * 1_000 - objectiveOf(FLOOD_RUN_MILLISECONDS);
    return [...play.outcomes.values()].filter(({ submittedAt }) => submittedAt <= limit);
}

Given(
    "small and large jobs beside a flood of lasting tasks, played for {int} s with and without placement ahead, {int} times",
    LIMIT,
    function(this: MixtureWorld, seconds: number, times: number) {
        compare(this, times, (looksAhead, seed) => playFlood(seconds, looksAhead, seed));
    },
);

Then(
    "of the large jobs, as of the small ones, at most {int} percent more are late with it",
    function(this: MixtureWorld, percent: number) {
        for (const { ahead, plain } of [this.large, this.small]) {
            assert.ok(ahead.onTime >= plain.onTime - percent / 100, `${ahead.onTime} against ${plain.onTime}`);
        }
    },
);
