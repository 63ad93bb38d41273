/**
 * Steps for placement that looks ahead, played in simulated time.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRandom } from "../../src/core/random.js";
import { recordRunningAttempt } from "../../src/jobs/job-table/attempts.js";
import type { Attempt } from "../../src/jobs/job-table/task.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { expectedEndOf } from "../../src/jobs/policy/forecast.js";
import { addTask, createEmptyJobTable, NOW, runTask } from "./builders.js";
import { createPlay, URGENT_QUEUE } from "./look-ahead-play.js";
import type { Play } from "./look-ahead-play.js";

interface LookAheadWorld {
    play: Play;
    /** Begins the scenario's load again without placement ahead. */
    playWithout: () => void;
    /** Keeps the stream of small tasks going. */
    stream: () => void;
    /** The job that the scenario watches, and when it came. */
    watched: string;
    later: string;
    attempt: Attempt;
}

const SEED = 7;
const SMALL_CORES = 4;
const NEVER = 1_000_000;
const WARM_UP_MILLISECONDS = 2_000;

/** Keeps some small tasks waiting, each of its own length. */
function createStream(play: Play, estimateFactor: number): () => void {
    const random = createRandom(SEED);
    let count = 0;
    return () => {
        while (play.jobTable.readyTasks.size < SMALL_CORES) {
            const runMilliseconds = 300 + 400 * random();
            count += 1;
            const fields = { cores: SMALL_CORES, estimateMilliseconds: runMilliseconds * estimateFactor };
            play.submit({ id: `small-${count}`, fields, runMilliseconds });
        }
    };
}

function startOf({ play }: LookAheadWorld, id: string): number | undefined {
    const outcome = play.outcomes.get(id);
    return outcome?.firstStartAt === undefined ? undefined : outcome.firstStartAt - outcome.submittedAt;
}

/** Lets time pass until `milliseconds` after the submission of a job, and tells whether it has started. */
function startsWithin(world: LookAheadWorld, id: string, milliseconds: number): boolean {
    const { play } = world;
    const submittedAt = play.outcomes.get(id)?.submittedAt ?? 0;
    play.advance(submittedAt + milliseconds - play.elapsed(), world.stream);
    const wait = startOf(world, id);
    return wait !== undefined && wait <= milliseconds;
}

Given(
    "{int} workers of {int} cores, full of small tasks of {int} cores that are estimated at {float} times their run",
    function(this: LookAheadWorld, workers: number, cores: number, small: number, estimateFactor: number) {
        assert.equal(small, SMALL_CORES);
        const begin = (looksAhead: boolean): void => {
            this.play = createPlay({ workers, cores, looksAhead });
            this.stream = createStream(this.play, estimateFactor);
            this.play.advance(WARM_UP_MILLISECONDS, this.stream);
        };
        begin(true);
        this.playWithout = () => begin(false);
    },
);

Given("no placement ahead", function(this: LookAheadWorld) {
    this.playWithout();
});

function fill(world: LookAheadWorld, workers: number, cores: number, estimate: number, run: number): void {
    world.play = createPlay({ workers, cores, looksAhead: true });
    world.stream = () => undefined;
    for (let number = 0; number < workers; number++) {
        world.play.submit({
            id: `held-${number}`,
            fields: { cores: 8, estimateMilliseconds: estimate },
            runMilliseconds: run,
        });
        // Started after, so that it is known that small tasks take gaps.
        world.play.submit({
            id: `short-${number}`,
            fields: { cores: 2, estimateMilliseconds: NEVER },
            runMilliseconds: NEVER,
        });
    }
    world.play.advance(20);
}

Given(
    "{int} workers of {int} cores, with a task of 8 cores that ends after {int} ms, and one of 2 cores",
    function(this: LookAheadWorld, workers: number, cores: number, run: number) {
        fill(this, workers, cores, run, run);
    },
);

Given(
    "{int} workers of {int} cores, with a task of 8 cores that is estimated at {int} ms and never ends, and one of 2 cores",
    function(this: LookAheadWorld, workers: number, cores: number, estimate: number) {
        fill(this, workers, cores, estimate, NEVER);
    },
);

When(
    "a task of {int} cores comes that runs for {int} ms",
    function(this: LookAheadWorld, cores: number, runMilliseconds: number) {
        this.watched = "large";
        const fields = { cores, estimateMilliseconds: runMilliseconds };
        this.play.submit({ id: this.watched, fields, runMilliseconds });
    },
);

When("a gang of {int} tasks of {int} cores comes", function(this: LookAheadWorld, taskCount: number, cores: number) {
    this.watched = "gang";
    this.play.submit({ id: this.watched, fields: { cores, taskCount, isGang: true }, runMilliseconds: 1_000 });
});

When(
    /^a task of (\d+) cores( of the urgent queue)? comes (\d+) ms later that is estimated at (\d+) ms$/,
    function(this: LookAheadWorld, cores: string, urgent: string | null, after: string, estimate: string) {
        this.play.advance(Number(after));
        this.later = "later";
        this.play.submit({
            id: this.later,
            fields: { cores: Number(cores), estimateMilliseconds: Number(estimate) },
            runMilliseconds: Number(estimate),
            ...(urgent === null ? {} : { queue: URGENT_QUEUE.name }),
        });
    },
);

When(
    "a lasting task of {int} cores comes {int} ms later",
    function(this: LookAheadWorld, cores: number, after: number) {
        this.play.advance(after);
        this.later = "later";
        this.play.submit({ id: this.later, fields: { cores, isLasting: true }, runMilliseconds: NEVER });
    },
);

When(
    "a task of the urgent queue comes that needs {int} cores and nearly all memory",
    function(this: LookAheadWorld, cores: number) {
        this.watched = "large";
        const size = { millicores: cores * 1_000, memoryMegabytes: 63_750, accelerators: 0 };
        const fields = { size, estimateMilliseconds: 2_000 };
        this.play.submit({ id: this.watched, fields, runMilliseconds: 2_000, queue: URGENT_QUEUE.name });
        this.play.advance(20);
    },
);

When("a filler comes that is estimated at {int} ms", function(this: LookAheadWorld, estimateMilliseconds: number) {
    const fields = { isFiller: true, image: "booking", estimateMilliseconds };
    this.play.submit({ id: "filler", fields, runMilliseconds: estimateMilliseconds });
});

When("such a filler of the urgent queue comes {int} ms later", function(this: LookAheadWorld, after: number) {
    this.play.advance(after);
    const { fields, runMilliseconds } = this.play.outcomes.get("filler")?.job ?? assert.fail("no filler came");
    this.play.submit({ id: "urgent-filler", fields, runMilliseconds, queue: URGENT_QUEUE.name });
});

When("a successor takes over after {int} ms", function(this: LookAheadWorld, milliseconds: number) {
    this.play.advance(milliseconds, this.stream);
    this.play.takeOver();
});

Then("it starts within {int} ms", function(this: LookAheadWorld, milliseconds: number) {
    assert.ok(startsWithin(this, this.watched, milliseconds));
});

Then("it does not start within {int} ms", function(this: LookAheadWorld, milliseconds: number) {
    assert.ok(!startsWithin(this, this.watched, milliseconds));
});

Then("it starts within {int} ms, all members at once", function(this: LookAheadWorld, milliseconds: number) {
    assert.ok(startsWithin(this, this.watched, milliseconds));
    const outcome = this.play.outcomes.get(this.watched);
    assert.equal(outcome?.firstStartAt, outcome?.lastStartAt);
    assert.equal(outcome?.startedTasks, outcome?.job.fields.taskCount);
});

Then("the large one starts within {int} ms", function(this: LookAheadWorld, milliseconds: number) {
    assert.ok(startsWithin(this, this.watched, milliseconds));
});

Then("the later one starts within {int} ms", function(this: LookAheadWorld, milliseconds: number) {
    assert.ok(startsWithin(this, this.later, milliseconds));
});

Then(
    "the first filler starts within {int} ms, and the one of the urgent queue does not",
    function(this: LookAheadWorld, milliseconds: number) {
        assert.ok(startsWithin(this, "filler", milliseconds), "the filler that is about to be late starts");
        assert.equal(startOf(this, "urgent-filler"), undefined);
    },
);

Then("the later one does not start within {int} ms", function(this: LookAheadWorld, milliseconds: number) {
    assert.ok(!startsWithin(this, this.later, milliseconds));
});

Then(
    "at least {int} small tasks start within {int} ms",
    function(this: LookAheadWorld, count: number, milliseconds: number) {
        const submittedAt = this.play.outcomes.get(this.watched)?.submittedAt ?? 0;
        startsWithin(this, this.watched, milliseconds);
        const started = [...this.play.outcomes.values()].filter(({ firstStartAt = -1, job }) =>
            job.id !== this.watched && firstStartAt >= submittedAt
        );
        assert.ok(started.length >= count, `${started.length} started`);
    },
);

Then("each small task has started once", function(this: LookAheadWorld) {
    const started = [...this.play.outcomes.values()].filter(({ firstStartAt }) => firstStartAt !== undefined);
    assert.ok(started.every(({ startedTasks }) => startedTasks === 1));
});

Given(
    "an attempt estimated at {int} ms that has run for {int} ms and done {int} percent",
    function(this: LookAheadWorld, estimateMilliseconds: number, ran: number, percent: number) {
        const jobTable = createEmptyJobTable();
        const task = addTask(jobTable, "job", { estimateMilliseconds }, NOW - ran);
        this.attempt = runTask(jobTable, task, "worker", NOW - ran, 0, 0);
        recordRunningAttempt(jobTable, "worker", {
            task: task.key,
            attempt: this.attempt.number,
            checkpoint: "",
            percent,
            measurement: 0,
        }, NOW);
    },
);

Then("it is expected to end in {int} ms", function(this: LookAheadWorld, rest: number) {
    assert.equal(expectedEndOf(this.attempt, createDurations(), NOW) - NOW, rest);
});
