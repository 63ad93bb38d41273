/**
 * Bytes of heap that an owner's jobs take: for each task that waits, each step and each job.
 *
 * The estimate that decides which jobs are refused has to be above what is measured, whatever a job takes its memory for.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { addAttempt } from "../../src/jobs/job-table/attempts.js";
import { createJobTable } from "../../src/jobs/job-table/job-table.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob, openDueOccurrences } from "../../src/jobs/job-table/lifecycle.js";
import { Submission } from "../../src/jobs/model/job.js";
import { describeStep } from "../colocation/jobs.js";
import type { Check, Experiment } from "../support/experiment.js";
import { checkAtMost } from "../support/experiment.js";

/** Jobs of one shape. */
interface Shape {
    readonly name: string;
    readonly jobs: number;
    readonly steps: number;
    readonly taskCount: number;
    readonly isGang: boolean;
    readonly occurrences: number;
    /** Whether all open tasks have an attempt. */
    readonly isRunning: boolean;
}

const PLAIN: Shape = {
    name: "plain",
    jobs: 1,
    steps: 1,
    taskCount: 1,
    isGang: false,
    occurrences: 1,
    isRunning: false,
};

const SHAPES: readonly Shape[] = [
    { ...PLAIN, name: "small jobs", jobs: 4_000, taskCount: 6 },
    { ...PLAIN, name: "small jobs that run", jobs: 2_000, taskCount: 6, isRunning: true },
    { ...PLAIN, name: "wide steps", jobs: 20, steps: 6, taskCount: 100_000 },
    { ...PLAIN, name: "many steps", jobs: 20, steps: 1_000 },
    { ...PLAIN, name: "gangs", jobs: 4, taskCount: 5_000, isGang: true },
    { ...PLAIN, name: "schedules", jobs: 20, taskCount: 4, occurrences: 300 },
];

/** A waiting task beyond the next ones of its step is a bit in a set; the bound leaves room for the step itself. */
const MOST_BYTES_PER_WAITING_TASK = 2;

const NOW = 1_000_000;

export const experiment: Experiment = {
    name: "held-jobs",
    summary: "bytes of heap that an owner's jobs take, by waiting task, step and job, beside the estimate",
    options: {},
    run: async context => {
        setFlagsFromString("--expose-gc");
        const collect = runInNewContext("gc") as () => void;
        return SHAPES.flatMap(shape => measure(shape, collect, line => context.progress(line)));
    },
};

function measure(shape: Shape, collect: () => void, report: (line: string) => void): Check[] {
    const { jobs, name, occurrences, steps, taskCount } = shape;
    const before = measureUse(collect);
    const jobTable = fill(shape);
    const bytes = measureUse(collect) - before;
    const tasks = jobs * steps * taskCount * occurrences;
    report(
        `${name}: ${Math.round(bytes / jobs)} bytes a job, ${Math.round(bytes / jobs / occurrences / steps)} a step, `
            + `${(bytes / tasks).toFixed(2)} a task; estimated ${Math.round(jobTable.heldBytes / jobs)} a job`,
    );
    const checks = [checkAtMost(`${name}: measured of the estimate`, bytes / jobTable.heldBytes, "share", 1)];
    return taskCount > 10_000
        ? [checkAtMost(`${name}: a waiting task`, bytes / tasks, "bytes", MOST_BYTES_PER_WAITING_TASK), ...checks]
        : checks;
}

/** Fills a job table; the submissions are parsed from JSON, as those of callers are. */
function fill({ isGang, isRunning, jobs, occurrences, steps, taskCount }: Shape): JobTable {
    const jobTable = createJobTable({ epoch: 1, heldBytesLimit: Infinity, maximumAttempts: () => 1 });
    const text = JSON.stringify({
        payload: "x".repeat(200),
        steps: Array.from({ length: steps }, () => describeStep({ taskCount, isGang, image: "check" })),
        ...(occurrences === 1 ? {} : {
            schedule: { firstAtMilliseconds: NOW, intervalMilliseconds: 0, occurrences },
        }),
    });
    for (let job = 0; job < jobs; job++) {
        const id = `job-${job}`;
        const submission = Submission.parse(JSON.parse(text));
        acceptJob(jobTable, { id, queue: "queue", submission, acceptedAtMilliseconds: NOW });
        confirmJob(jobTable, id, NOW);
    }
    openDueOccurrences(jobTable, NOW);
    if (isRunning) {
        [...jobTable.readyTasks].forEach((task, index) => addAttempt(jobTable, task, `worker-${index % 100}`, 1, NOW));
    }
    jobTable.changes.accepted = [];
    return jobTable;
}

/** Bytes in use after garbage collection; the memory of arrays is given back by a second one. */
function measureUse(collect: () => void): number {
    collect();
    collect();
    const { arrayBuffers, heapUsed } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}
