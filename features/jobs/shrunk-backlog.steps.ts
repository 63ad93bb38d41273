/**
 * Steps for a backlog that forms while the room of workers has shrunk, in simulated time.
 */
import { Given, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { isLate } from "../../src/jobs/policy/order.js";
import { addTask, createEmptyJobTable, describeWorker, NOW, QUEUE, runTask } from "./builders.js";
import type { Play, PlayedJob } from "./look-ahead-play.js";

interface ShrunkBacklogWorld {
    play: Play;
    jobTable: JobTable;
    candidates: Candidate[];
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

Given("a worker that has shrunk to {int} cores under a task of {int}", function(
    this: ShrunkBacklogWorld,
    coresLeft: number,
    cores: number,
) {
    const id = "worker-0";
    this.jobTable = createEmptyJobTable();
    runTask(this.jobTable, addTask(this.jobTable, "large", { cores }, NOW), id, NOW);
    this.candidates = [{ worker: describeWorker(id, coresLeft), load: this.jobTable.occupancy.load(id) }];
});

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
