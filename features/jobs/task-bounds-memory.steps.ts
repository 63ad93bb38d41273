/**
 * Steps for the bounds of inherited jobs that wait for memory.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { estimateFootprint } from "../../src/jobs/job-table/footprint.js";
import { hasRoomFor, releaseEndedJobs } from "../../src/jobs/job-table/held-jobs.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { JobEntry } from "../../src/jobs/job-table/job.js";
import { acceptJob, cancelJob, confirmJob, openDeferredJobs } from "../../src/jobs/job-table/lifecycle.js";
import { replaySegment } from "../../src/jobs/job-table/restore.js";
import { createChanges } from "../../src/jobs/ledger/segment.js";
import type { Submission } from "../../src/jobs/model/job.js";
import { createEmptyJobTable, describeStep, NOW, QUEUE } from "./builders.js";

interface MemoryWorld {
    jobTable: JobTable;
    largest: JobEntry;
    endedWhenOpened: number;
}

const LARGEST = "00000000000000aa";
const ROUNDS = 100;
const SMALL: Submission = describeWideJob(1);
const LARGE: Submission = describeWideJob(60);

function describeWideJob(taskCount: number): Submission {
    return { payload: "", steps: [describeStep({ taskCount })] };
}

function bytesOf(submission: Submission): number {
    const { definitionBytes, progressBytes } = estimateFootprint(submission);
    return definitionBytes + progressBytes;
}

function inherit(heldBytesLimit: number, submissions: ReadonlyMap<string, Submission>): JobTable {
    const jobTable = createEmptyJobTable(heldBytesLimit);
    const changes = createChanges();
    submissions.forEach((submission, id) =>
        changes.accepted.push({ id, queue: QUEUE.name, submission, acceptedAtMilliseconds: NOW })
    );
    replaySegment(jobTable, changes, new Set(), NOW);
    return jobTable;
}

function describeId(index: number): string {
    return index.toString(16).padStart(16, "0");
}

function endJobOf(jobTable: JobTable, entry: JobEntry): void {
    assert.ok(cancelJob(jobTable, entry.id, NOW));
    entry.reportedState = entry.state;
    releaseEndedJobs(jobTable, NOW + 1);
}

function openJobs({ jobs }: JobTable): JobEntry[] {
    return [...jobs.values()].filter(({ isDeferred, state }) => !isDeferred && state !== "cancelled");
}

Given("an owner that has no memory for the largest of its {int} inherited jobs", function(
    this: MemoryWorld,
    count: number,
) {
    const submissions = new Map([[LARGEST, LARGE]]);
    for (let index = 1; index < count; index++) {
        submissions.set(describeId(index), LARGE);
    }
    // The large job has room once one of the others has given its memory back.
    this.jobTable = inherit(bytesOf(LARGE) * (count - 1) + bytesOf(SMALL), submissions);
    const [deferred, ...others] = this.jobTable.deferredJobs;
    assert.ok(deferred !== undefined && others.length === 0);
    this.largest = deferred;
});

When("a caller hands in a new job whenever there is memory for it, and the oldest job ends each second", function(
    this: MemoryWorld,
) {
    const { jobTable, largest } = this;
    let next = 1_000;
    const submitAll = (): void => {
        while (hasRoomFor(jobTable, SMALL)) {
            const id = describeId(next++);
            acceptJob(jobTable, { id, queue: QUEUE.name, submission: SMALL, acceptedAtMilliseconds: NOW });
            confirmJob(jobTable, id, NOW);
        }
    };
    this.endedWhenOpened = Infinity;
    for (let ended = 0; ended < ROUNDS; ended++) {
        submitAll();
        openDeferredJobs(jobTable, NOW);
        const [oldest] = openJobs(jobTable);
        assert.ok(oldest !== undefined);
        if (!jobTable.deferredJobs.has(largest)) {
            this.endedWhenOpened = ended;
            return;
        }
        endJobOf(jobTable, oldest);
    }
});

Then("the largest inherited job is opened before {int} more jobs have ended", function(
    this: MemoryWorld,
    count: number,
) {
    assert.ok(!this.largest.isDeferred, `still waits after ${ROUNDS} ends`);
    assert.ok(this.endedWhenOpened < count, `opened after ${this.endedWhenOpened} ends`);
});

Given("an owner whose memory is taken by the definitions of its {int} inherited jobs", function(
    this: MemoryWorld,
    count: number,
) {
    const submissions = new Map(Array.from({ length: count }, (_, index) => [describeId(index + 1), LARGE]));
    const { definitionBytes } = estimateFootprint(LARGE);
    this.jobTable = inherit(definitionBytes * count, submissions);
    openDeferredJobs(this.jobTable, NOW);
});

Given("an owner with an inherited job that lasts, and memory for nine tenths of another one besides", function(
    this: MemoryWorld,
) {
    const lasting: Submission = { payload: "", steps: [describeStep({ taskCount: 4, isLasting: true })] };
    const submissions = new Map([[describeId(1), lasting], [LARGEST, LARGE]]);
    this.jobTable = inherit(bytesOf(lasting) + bytesOf(LARGE) * 0.9, submissions);
});

Then("the other one is opened", function(this: MemoryWorld) {
    openDeferredJobs(this.jobTable, NOW);
    assert.equal(this.jobTable.deferredJobs.size, 0);
    assert.ok(openJobs(this.jobTable).some(({ id }) => id === LARGEST));
});

Then(/^one of (?:them|the others) is opened$/, function(this: MemoryWorld) {
    openDeferredJobs(this.jobTable, NOW);
    assert.equal(openJobs(this.jobTable).length, 1);
});

When("it has ended", function(this: MemoryWorld) {
    const [open] = openJobs(this.jobTable);
    assert.ok(open !== undefined);
    endJobOf(this.jobTable, open);
});
