/**
 * Steps for a backlog that forms while the room of workers has shrunk, in simulated time.
 */
import { When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { isLate } from "../../src/jobs/policy/order.js";
import { NOW, QUEUE } from "./builders.js";
import type { Play, PlayedJob } from "./look-ahead-play.js";

interface ShrunkBacklogWorld {
    play: Play;
    /** The jobs that are handed in without end, and the time between two of them. */
    arrivals: { readonly job: Omit<PlayedJob, "id">; readonly intervalMilliseconds: number; };
}

const SECOND = 1_000;

When(
    "a job of {int} fillers of {int} cores that each run for {int} ms is handed in each {int} ms",
    function(
        this: ShrunkBacklogWorld,
        taskCount: number,
        cores: number,
        runMilliseconds: number,
        intervalMilliseconds: number,
    ) {
        const fields = { cores, taskCount, isFiller: true, image: "booking", estimateMilliseconds: runMilliseconds };
        this.arrivals = { job: { fields, runMilliseconds }, intervalMilliseconds };
    },
);

When(
    "{int} of the workers shrink from {int} to {int} cores from {int} to {int} seconds, which leaves more than {int} jobs late",
    function(
        this: ShrunkBacklogWorld,
        workers: number,
        cores: number,
        coresLeft: number,
        from: number,
        until: number,
        limit: number,
    ) {
        const { play } = this;
        play.advance(from * SECOND, () => handIn(this));
        assert.deepEqual(listLateJobs(play), [], "the workers keep up before they shrink");
        play.resize(workers, coresLeft);
        play.advance((until - from) * SECOND, () => handIn(this));
        play.resize(workers, cores);
        const late = listLateJobs(play).length;
        assert.ok(late > limit, `${late} jobs are late`);
    },
);

function handIn({ arrivals: { intervalMilliseconds, job }, play }: ShrunkBacklogWorld): void {
    if (play.elapsed() % intervalMilliseconds === 0) {
        play.submit({ ...job, id: play.outcomes.size.toString(16).padStart(16, "0") });
    }
}

/** Lists the jobs with ready tasks that cannot be on time. */
function listLateJobs(play: Play): string[] {
    const queues = new Map([[QUEUE.name, QUEUE]]);
    const durations = createDurations();
    const lateTasks = [...play.jobTable.readyTasks].filter(task =>
        isLate(task, queues, durations, NOW + play.elapsed())
    );
    return [...new Set(lateTasks.map(({ entry }) => entry.id))];
}
