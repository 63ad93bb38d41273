/**
 * Steps for failing commits, with a simulated ledger.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import type { Failure, FailureCode } from "../../src/core/errors.js";
import type { EventLog } from "../../src/core/event-log.js";
import { createMetrics } from "../../src/core/metrics.js";
import { pause, systemClock } from "../../src/core/time.js";
import type { Cell } from "../../src/jobs/cell/cell.js";
import { createCommits } from "../../src/jobs/cell/commits.js";
import type { Commits } from "../../src/jobs/cell/commits.js";
import { createRequestHandler } from "../../src/jobs/cell/request-handler.js";
import type { Ledger } from "../../src/jobs/ledger/ledger.js";
import { createJobsMetrics } from "../../src/jobs/metrics.js";
import type { JobReference, StateAnswer, SubmitAnswer, SubmitRequest } from "../../src/jobs/model/requests.js";
import { createJobRequestRouter } from "../../src/jobs/routing/job-request-router.js";
import { CellSettings } from "../../src/jobs/settings.js";
import { createEmptyJobTable, describeStep } from "./builders.js";

interface CommitsWorld {
    askOwner: (request: "show" | "cancel", reference: JobReference) => Promise<Result<StateAnswer, Failure>>;
    stateAnswer: Result<StateAnswer, Failure>;
    submitToOwner: (request: SubmitRequest) => Promise<Result<SubmitAnswer, Failure>>;
    submitAnswer: Result<SubmitAnswer, Failure>;
    /** Longest time for which the owner's commits counted as failing. */
    failingMilliseconds: number;
    commits: Commits;
    /** Leases of the writes that the owner's ledger has taken alongside a commit. */
    leasesWritten: (string | undefined)[];
    isReleased: boolean;
    /** Jobs that the owner's snapshots contain. */
    snapshotJobs: string[];
    submitAnswers: Map<string, Result<SubmitAnswer, Failure>>;
}

const WATCH_MILLISECONDS = 20;
const LIMIT = { timeout: 20_000 };
const REQUEST: SubmitRequest = {
    queue: "checks",
    id: "00000000000000b1",
    submission: { payload: "", steps: [describeStep({})] },
};
const silentLog: EventLog = { write: () => undefined, flush: async () => undefined };

/** A ledger that answers with this outcome after this time. */
function answerAfter(
    milliseconds: number,
    outcome: Result<void, Failure>,
    partMilliseconds = milliseconds,
): Ledger["commit"] {
    return async ({ onChunkWritten: onProgress }) => {
        for (let waited = 0; waited < milliseconds; waited += partMilliseconds) {
            await pause(partMilliseconds);
            onProgress?.(systemClock() - partMilliseconds);
        }
        return outcome;
    };
}

/** Runs the commits and the request handler of an owner with this ledger. */
function openOwner(world: CommitsWorld, commit: Ledger["commit"]): void {
    world.failingMilliseconds = 0;
    const jobTable = createEmptyJobTable();
    const stopped = new AbortController();
    const journal: Ledger = {
        epoch: 1,
        predecessor: undefined,
        formerOwners: [],
        settleFormerOwners: () => undefined,
        load: async () => Result.ok([]),
        commit,
    };
    const commits: Commits = createCommits({
        jobTable,
        journal,
        workers: new Map(),
        workersInUse: new Set(),
        claimSentAtMilliseconds: systemClock(),
        settings: CellSettings.parse({}),
        clock: systemClock,
        log: silentLog,
        metrics: createJobsMetrics(createMetrics({}, "usage")),
        signal: stopped.signal,
        onCommitted: () => undefined,
        onFailed: failing => requestHandler.refuseUncommitted(failing),
        onConflict: () => stopped.abort(),
    });
    const requestHandler = createRequestHandler({
        jobTable,
        clock: systemClock,
        log: silentLog,
        epoch: 1,
        commits: () => commits,
        requestDispatch: () => undefined,
    });
    world.commits = commits;
    const running = commits.run();
    const watch = setInterval(() => {
        const now = systemClock();
        const failing = now - (commits.failingSinceMilliseconds(now) ?? now);
        world.failingMilliseconds = Math.max(world.failingMilliseconds, failing);
    }, WATCH_MILLISECONDS);
    const untilAnswered = async <Answer>(answer: Promise<Answer>): Promise<Answer> => {
        const answered = await answer;
        clearInterval(watch);
        stopped.abort();
        await running;
        return answered;
    };
    world.submitToOwner = request => untilAnswered(requestHandler.submit(request));
    world.askOwner = (request, reference) =>
        untilAnswered(request === "show" ? requestHandler.state(reference) : requestHandler.cancel(reference));
}

Given(
    "an owner whose commit takes {int} ms and ends as {string}",
    function(this: CommitsWorld, milliseconds: number, code: FailureCode) {
        openOwner(this, answerAfter(milliseconds, Result.err(createFailure(code, "commit", "as the scenario says"))));
    },
);

Given(
    "an owner whose commit takes {int} ms, of which the store takes a part every {int} ms",
    function(this: CommitsWorld, milliseconds: number, partMilliseconds: number) {
        openOwner(this, answerAfter(milliseconds, Result.ok(undefined), partMilliseconds));
    },
);

Given("an owner whose commits write snapshots and take {int} ms", function(this: CommitsWorld, milliseconds: number) {
    this.snapshotJobs = [];
    openOwner(this, async commit => {
        this.snapshotJobs.push(...commit.createSnapshot().accepted.map(({ id }) => id));
        await pause(milliseconds);
        return Result.ok(undefined);
    });
});

When("callers submit {int} jobs of {int} bytes to it at once", LIMIT, async function(
    this: CommitsWorld,
    count: number,
    bytes: number,
) {
    this.submitAnswers = new Map();
    const submission = { payload: "x".repeat(bytes), steps: [describeStep({})] };
    const ids = Array.from({ length: count }, (_, index) => `00000000000000c${index}`);
    await Promise.all(ids.map(async id => {
        this.submitAnswers.set(id, await this.submitToOwner({ ...REQUEST, id, submission }));
    }));
});

Then("some of the jobs are refused, and the snapshots contain none of these", function(this: CommitsWorld) {
    const refused = [...this.submitAnswers].filter(([, answer]) => answer.isOk && answer.value.kind === "refused");
    assert.notDeepEqual(refused, []);
    assert.deepEqual(refused.map(([id]) => id).filter(id => this.snapshotJobs.includes(id)), []);
});

Given("an owner whose commits work", function(this: CommitsWorld) {
    openOwner(this, answerAfter(0, Result.ok(undefined)));
});

Given("an owner whose lease {string} has ended", function(this: CommitsWorld, endedLease: string) {
    this.leasesWritten = [];
    openOwner(this, async ({ alongside = [] }) => {
        const leases = alongside.map(write => write.kind === "put" ? write.leaseId : undefined);
        if (leases.includes(endedLease)) {
            return Result.err(createFailure("not-found", "commit", `lease ${endedLease} has ended`));
        }
        this.leasesWritten.push(...leases);
        return Result.ok(undefined);
    });
});

When("its record is attached under the leases {string}", async function(this: CommitsWorld, leases: string) {
    for (const leaseId of leases.split(",")) {
        this.commits.attachWrite({ kind: "put", key: "owner", value: "self", leaseId });
    }
    await this.commits.confirmOwnership();
});

When("it is released right after its record was attached under the lease {string}", async function(
    this: CommitsWorld,
    leaseId: string,
) {
    this.commits.attachWrite({ kind: "put", key: "owner", value: "self", leaseId });
    this.commits.attachWrite({ kind: "put", key: "other", value: "kept" });
    this.isReleased = await this.commits.release();
});

Then("its record is written under the lease {string} only", function(this: CommitsWorld, leaseId: string) {
    assert.deepEqual(this.leasesWritten, [leaseId]);
});

Then("it has released the cell, with the writes that need no lease", function(this: CommitsWorld) {
    assert.ok(this.isReleased);
    assert.deepEqual(this.leasesWritten, [undefined]);
});

Given("a front whose first owner gives no answer and whose second one refuses", function(this: CommitsWorld) {
    const answers: Result<SubmitAnswer, Failure>[] = [
        Result.err(createFailure("ambiguous", "commit", "the cell has lost its owner meanwhile")),
        Result.ok({ kind: "refused", reason: "jobs cannot be stored now", retryAfterMilliseconds: 1_000 }),
    ];
    const owner = {
        submit: async () => answers.length > 1 ? answers.shift() : answers[0],
    };
    const front = createJobRequestRouter({
        cell: "main",
        links: { find: () => undefined, run: async () => undefined },
        clock: systemClock,
        findOwnedCell: () => owner as unknown as Cell,
    });
    this.submitToOwner = request => front.submit(request, systemClock() + 700);
});

When("a caller submits a job to it", LIMIT, async function(this: CommitsWorld) {
    this.submitAnswer = await this.submitToOwner(REQUEST);
});

When("a caller submits a job to the front", LIMIT, async function(this: CommitsWorld) {
    this.submitAnswer = await this.submitToOwner(REQUEST);
});

Then("the caller is not told that the job was refused", function(this: CommitsWorld) {
    assert.ok(this.submitAnswer.isErr, JSON.stringify(this.submitAnswer));
    assert.equal(this.submitAnswer.error.code, "ambiguous");
});

Then("the caller is told that the job was accepted", function(this: CommitsWorld) {
    assert.ok(this.submitAnswer.isOk, JSON.stringify(this.submitAnswer));
    assert.equal(this.submitAnswer.value.kind, "accepted");
});

Then("the owner has never counted as in trouble", function(this: CommitsWorld) {
    assert.equal(this.failingMilliseconds, 0);
});

Then("the caller is told that the job was refused", function(this: CommitsWorld) {
    assert.ok(this.submitAnswer.isOk, JSON.stringify(this.submitAnswer));
    assert.equal(this.submitAnswer.value.kind, "refused");
});

When(
    /^a caller asks it to (show|cancel) a job that (?:its successor has taken in|it has never been given)$/,
    LIMIT,
    async function(this: CommitsWorld, request: "show" | "cancel") {
        this.stateAnswer = await this.askOwner(request, REQUEST);
    },
);

Then("the caller is not told that there is no such job", function(this: CommitsWorld) {
    assert.ok(this.stateAnswer.isErr, JSON.stringify(this.stateAnswer));
    assert.equal(this.stateAnswer.error.code, "ambiguous");
});

Then("the caller is told that there is no such job", function(this: CommitsWorld) {
    assert.ok(this.stateAnswer.isOk, JSON.stringify(this.stateAnswer));
    assert.equal(this.stateAnswer.value.state, undefined);
});
