/**
 * Steps for the turns of late jobs in queues of different priority: in simulated time, and by single orders.
 */
import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { describeStep } from "../../bench/colocation/jobs.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob } from "../../src/jobs/job-table/lifecycle.js";
import type { Task } from "../../src/jobs/job-table/task.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { orderTasks } from "../../src/jobs/policy/order.js";
import { isIdle } from "../../src/jobs/policy/starvation.js";
import { createEmptyJobTable, NOW, QUEUE, runTask, tasksOfStep } from "./builders.js";
import { URGENT_QUEUE } from "./look-ahead-play.js";
import type { Play } from "./look-ahead-play.js";

interface TurnsWorld {
    play: Play;
    jobTable: JobTable;
    isPoolHalfEmpty: boolean;
}

/** How long ago the late jobs were handed in. */
const AGE_MILLISECONDS = 60_000;
const PLAIN_QUEUE = { ...QUEUE, priority: 1 };
const QUEUES = new Map([URGENT_QUEUE, PLAIN_QUEUE].map(queue => [queue.name, queue]));
const STARVING = "starving";

Given(
    "{int} jobs of {int} fillers of {int} cores that each run for {int} ms are handed in at once in each of two queues of different priority",
    function(this: TurnsWorld, jobs: number, taskCount: number, cores: number, runMilliseconds: number) {
        const fields = { cores, taskCount, isFiller: true, image: "booking", estimateMilliseconds: runMilliseconds };
        [...QUEUES.keys()].forEach((queue, place) => {
            for (let index = 0; index < jobs; index++) {
                const id = (place * jobs + index + 1).toString(16).padStart(16, "0");
                this.play.submit({ id, fields, runMilliseconds, queue });
            }
        });
    },
);

interface AddedJob {
    readonly id: string;
    readonly queue: string;
    readonly fields: Parameters<typeof describeStep>[0];
    readonly acceptedAt: number;
}

function addJob(jobTable: JobTable, { acceptedAt, fields, id, queue }: AddedJob): Task[] {
    const submission = { payload: "", steps: [describeStep(fields)] };
    acceptJob(jobTable, { id, queue, submission, acceptedAtMilliseconds: acceptedAt });
    confirmJob(jobTable, id, acceptedAt);
    return tasksOfStep(jobTable, id);
}

/** Adds a late job of two fillers; an attempt of it runs, or ended so long ago. */
function addLateJob(jobTable: JobTable, id: string, queue: string, idleMilliseconds?: number): void {
    const fields = { taskCount: 2, isFiller: true, image: "booking" };
    const [first] = addJob(jobTable, { id, queue, fields, acceptedAt: NOW - AGE_MILLISECONDS });
    assert.ok(first !== undefined);
    if (idleMilliseconds === undefined) {
        runTask(jobTable, first, "worker-0", NOW - 100);
    }
    else {
        first.occurrence.lastEndedAtMilliseconds = NOW - idleMilliseconds;
    }
}

Given(
    /^a late job that has stood still for (\d+) ms in a (half empty|full) pool$/,
    function(this: TurnsWorld, milliseconds: string, pool: string) {
        this.jobTable = createEmptyJobTable();
        this.isPoolHalfEmpty = pool === "half empty";
        addLateJob(this.jobTable, STARVING, PLAIN_QUEUE.name, Number(milliseconds));
    },
);

function queueNameOf(place: string): string {
    return place === "its own queue" ? PLAIN_QUEUE.name : URGENT_QUEUE.name;
}

Given(
    /^a late job of which something runs in (a queue of higher priority|its own queue)$/,
    function(this: TurnsWorld, place: string) {
        addLateJob(this.jobTable, "late", queueNameOf(place));
    },
);

Given(
    /^a late job that has stood still for (\d+) ms in (a queue of higher priority|its own queue)$/,
    function(this: TurnsWorld, milliseconds: string, place: string) {
        addLateJob(this.jobTable, "late", queueNameOf(place), Number(milliseconds));
    },
);

Given(
    /^a job that can be on time in (a queue of higher priority|its own queue)$/,
    function(this: TurnsWorld, place: string) {
        addJob(this.jobTable, { id: "timely", queue: queueNameOf(place), fields: {}, acceptedAt: NOW });
    },
);

Given(
    /^a lasting task that has waited (\d+) ms in (a queue of higher priority|its own queue)$/,
    function(this: TurnsWorld, milliseconds: string, place: string) {
        const acceptedAt = NOW - Number(milliseconds);
        addJob(this.jobTable, { id: "lasting", queue: queueNameOf(place), fields: { isLasting: true }, acceptedAt });
    },
);

/** Places in the order of the tasks of the starving job and of the first tasks of the others. */
function findPlaces({ isPoolHalfEmpty, jobTable }: TurnsWorld): { readonly own: number[]; readonly others: number[]; } {
    const ordered = orderTasks(jobTable.readyTasks, {
        queue: ({ entry }) => QUEUES.get(entry.queue),
        durations: createDurations(),
        isStandingStill: ({ occurrence }) => isPoolHalfEmpty && isIdle(occurrence, NOW),
    }, NOW);
    const placesOf = (id: string) => ordered.flatMap((task, place) => task.entry.id === id ? [place] : []);
    const others = [...jobTable.jobs.keys()].filter(id => id !== STARVING);
    return { own: placesOf(STARVING), others: others.map(id => placesOf(id)[0] ?? NaN) };
}

Then(/^its first task goes (before|after) that, and its second one after that$/, function(
    this: TurnsWorld,
    place: string,
) {
    const { others: [other = NaN], own: [first = NaN, second = NaN] } = findPlaces(this);
    assert.equal(first < other, place === "before");
    assert.ok(second > other, `the second one goes before, at ${second} and ${other}`);
});

Then("its first task goes after both", function(this: TurnsWorld) {
    const { others, own: [first = NaN] } = findPlaces(this);
    assert.equal(others.length, 2);
    assert.ok(others.every(other => first > other), `${first} after ${others.join(" and ")}`);
});
