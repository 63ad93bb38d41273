/**
 * Steps for takeovers with real processes on the stand-in of the users' platform.
 */
import { After, Given, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { JobsProcess } from "../../stand-ins/users-platform/deployment.js";
import type { RequestFault } from "../../stand-ins/users-platform/http.js";
import type { UsersWorker } from "../../stand-ins/users-platform/worker.js";
import {
    idleTasks,
    isCompleted,
    LASTING_JOB,
    namesOfTasks,
    now,
    STATUS_ACCEPTED,
    SUBMISSION_GAP_MILLISECONDS,
    submitAtAnyProcess,
    wait,
    waitForSuccessor,
} from "./takeover-path-world.js";
import type { TakeoverPathWorld } from "./takeover-path-world.js";
import { describeJob, describeLastingJob, ownerOf, runningProcesses, submit, waitUntil } from "./world.js";

const LIMIT = { timeout: 60_000 };
const SECOND = 1_000;
const SHORT_TASK_MILLISECONDS = 150;
/** Time without power; shorter than the wait of a start for its answer. */
const RESTART_MILLISECONDS = 100;
const FILLING_JOB = "00000000000000f3";
const NOT_ACCEPTED: ReadonlySet<number> = new Set([429, 503]);

After(LIMIT, async function(this: Partial<TakeoverPathWorld>) {
    this.callersEnd?.abort();
    await this.callers;
});

Given("a lasting job of {int} tasks runs", LIMIT, async function(this: TakeoverPathWorld, count: number) {
    this.formerOwner = await ownerOf(this);
    this.lastingTasks = namesOfTasks(count);
    const isAccepted = (status: number): boolean => status === STATUS_ACCEPTED;
    await submitAtAnyProcess(this, () => runningProcesses(this), LASTING_JOB, describeLastingJob(count), isAccepted);
    await waitUntil(() => idleTasks(this).length === 0, "every lasting task runs");
});

Given("callers submit jobs at all processes", function(this: TakeoverPathWorld) {
    this.submissions = new Map();
    this.acceptances = [];
    this.callersEnd = new AbortController();
    const { processes } = this.usersPlatform;
    const submitJobs = async (start: number): Promise<void> => {
        const listProcesses = (): JobsProcess[] => {
            const running = runningProcesses(this);
            return [...running.slice(start), ...running.slice(0, start)];
        };
        for (let index = 0; !this.callersEnd.signal.aborted; index++) {
            const id = `00000000000${(0xe0_000 + start * 0x1_000 + index).toString(16)}`;
            const submittedAt = now();
            const told: number[] = [];
            const isSettled = (answer: number): boolean => {
                told.push(answer);
                return answer === STATUS_ACCEPTED || NOT_ACCEPTED.has(answer) || this.callersEnd.signal.aborted;
            };
            const process = await submitAtAnyProcess(
                this,
                listProcesses,
                id,
                describeJob(1 + index % 2, 1, SHORT_TASK_MILLISECONDS),
                isSettled,
            );
            // A refusal says nothing of an earlier try that had no answer.
            const isKnown = told.at(-1) === STATUS_ACCEPTED || told.every(answer => NOT_ACCEPTED.has(answer));
            const status = isKnown ? told.at(-1) ?? 0 : 0;
            this.submissions.set(id, { status, state: undefined, retryAfter: null });
            if (status === STATUS_ACCEPTED) {
                this.acceptances.push({ process, submittedAt, acceptedAt: now() });
            }
            await wait(SUBMISSION_GAP_MILLISECONDS);
        }
    };
    this.callers = Promise.all(processes.map((_, index) => submitJobs(index))).then(() => undefined);
});

When("the owner is paused", async function(this: TakeoverPathWorld) {
    this.formerOwner = await ownerOf(this);
    this.formerOwner.child.kill("SIGSTOP");
    this.cutOffAt = now();
});

When("the owner goes on {int} s after it was paused", LIMIT, async function(this: TakeoverPathWorld, seconds: number) {
    await wait(Math.max(0, this.cutOffAt + seconds * SECOND - now()));
    this.formerOwner.child.kill("SIGCONT");
    this.restoredAt = now();
});

When(
    "the owner is paused as soon as {int} starts of a lasting job of {int} tasks have reached workers",
    LIMIT,
    async function(this: TakeoverPathWorld, starts: number, count: number) {
        this.formerOwner = await ownerOf(this);
        this.lastingTasks = namesOfTasks(count);
        let reached = 0;
        const { workers } = this.usersPlatform;
        workers.forEach(worker => {
            worker.fault = path => {
                if (path === "/run-start" && ++reached === starts) {
                    this.formerOwner.child.kill("SIGSTOP");
                    this.cutOffAt = now();
                    this.silentWorker = worker;
                    worker.disconnect();
                }
                return "none";
            };
        });
        const others = runningProcesses(this).filter(process => process !== this.formerOwner);
        const isAccepted = (status: number): boolean => status === STATUS_ACCEPTED;
        await submitAtAnyProcess(this, () => others, LASTING_JOB, describeLastingJob(count), isAccepted);
        await waitUntil(() => reached >= starts, `${starts} starts have reached workers`);
        workers.forEach(worker => {
            worker.fault = () => "none";
        });
    },
);

When("the worker that got the latest start is silent for {int} s", LIMIT, async function(
    this: TakeoverPathWorld,
    seconds: number,
) {
    await wait(Math.max(0, this.cutOffAt + seconds * SECOND - now()));
    this.silentWorker.reconnect();
});

Given("a job of {int} tasks that fill all workers is completed", LIMIT, async function(
    this: TakeoverPathWorld,
    count: number,
) {
    await submit(this, FILLING_JOB, describeJob(1, count, SHORT_TASK_MILLISECONDS));
    await waitUntil(() => isCompleted(this, FILLING_JOB), "the job is completed");
    const idle = this.usersPlatform.workers.filter(({ runs }) => !runs.some(({ isAcknowledged }) => isAcknowledged));
    assert.deepEqual(idle.map(({ id }) => id), []);
});

/** Cuts a worker's power as the first start reaches it, and starts it again; returns the fault of each later start. */
function strikeAtFirstStart(world: TakeoverPathWorld, onLaterStart: (starts: number) => RequestFault): void {
    world.startsAtLostWorker = 0;
    const strike = (worker: UsersWorker): RequestFault => {
        world.startsAtLostWorker += 1;
        if (world.startsAtLostWorker > 1) {
            return onLaterStart(world.startsAtLostWorker);
        }
        worker.cutPower();
        setTimeout(() => worker.restart(), RESTART_MILLISECONDS);
        return "silent";
    };
    world.usersPlatform.workers.forEach(worker => {
        worker.fault = path => {
            world.lostWorker ??= path === "/run-start" ? worker : undefined;
            return path === "/run-start" && worker === world.lostWorker ? strike(worker) : "none";
        };
    });
}

When("a worker loses power as the first start reaches it, and starts again", function(this: TakeoverPathWorld) {
    strikeAtFirstStart(this, () => "none");
});

When(
    "a worker loses power as the first start reaches it, starts again, and refuses the start once",
    function(this: TakeoverPathWorld) {
        strikeAtFirstStart(this, starts => starts === 2 ? "refused" : "none");
    },
);

When(
    "a worker loses power as the first start reaches it, starts again, and is silent for {int} s from the next start on",
    function(this: TakeoverPathWorld, seconds: number) {
        strikeAtFirstStart(this, starts => {
            const { lostWorker: worker } = this;
            if (starts === 2 && worker !== undefined) {
                worker.disconnect();
                this.silence = wait(seconds * SECOND).then(() => worker.reconnect());
            }
            return "none";
        });
    },
);

Given("the workers have been up for {int} s", LIMIT, async function(this: TakeoverPathWorld, seconds: number) {
    this.formerOwner = await ownerOf(this);
    await wait(seconds * SECOND);
});

When("a hold reaches a worker late, after it has started again", LIMIT, async function(this: TakeoverPathWorld) {
    const [worker] = this.usersPlatform.workers;
    assert.ok(worker !== undefined);
    this.lostWorker = worker;
    let hasRestarted = false;
    worker.fault = path => {
        if (path !== "/hold" || hasRestarted) {
            return "none";
        }
        hasRestarted = true;
        worker.cutPower();
        setTimeout(() => worker.restart(), RESTART_MILLISECONDS);
        return "late";
    };
    const owner = await ownerOf(this);
    await waitUntil(() => owner.events.some(({ event }) => event === "worker-reborn"), "the worker has started again");
    await wait(SECOND);
});

When("a lasting job of {int} tasks runs on that worker", LIMIT, async function(this: TakeoverPathWorld, count: number) {
    this.lastingTasks = namesOfTasks(count);
    const { lostWorker, usersPlatform: { workers } } = this;
    const others = workers.filter(worker => worker !== lostWorker);
    others.forEach(worker => {
        worker.fault = path => path === "/run-start" ? "refused" : "none";
    });
    await submit(this, LASTING_JOB, describeLastingJob(count));
    await waitUntil(() => idleTasks(this).length === 0, "every lasting task runs");
    others.forEach(worker => {
        worker.fault = () => "none";
    });
    assert.ok(lostWorker?.runs.some(({ endedAt }) => endedAt === undefined));
});

When(
    /^the owner is killed, and the worker is cut off (before|after) its successor has reached it for (\d+) s$/,
    LIMIT,
    async function(this: TakeoverPathWorld, when: string, seconds: string) {
        this.formerOwner = await ownerOf(this);
        const { lostWorker } = this;
        assert.ok(lostWorker !== undefined);
        if (when === "before") {
            lostWorker.disconnect();
        }
        await this.formerOwner.kill();
        if (when === "after") {
            await waitForSuccessor(this);
            await wait(SECOND);
            lostWorker.disconnect();
        }
        this.silence = wait(Number(seconds) * SECOND).then(() => lostWorker.reconnect());
    },
);

When("the silence is over", LIMIT, async function(this: TakeoverPathWorld) {
    await this.silence;
});

When("a worker that runs a task is lost for good", function(this: TakeoverPathWorld) {
    this.lostWorker = this.usersPlatform.workers.find(({ runs }) => runs.some(({ endedAt }) => endedAt === undefined));
    assert.ok(this.lostWorker !== undefined);
    this.lostWorker.cutPower();
});

When("the lost worker starts again under its id", function(this: TakeoverPathWorld) {
    this.lostWorker?.restart();
});

When(/^the store (ignores|refuses) the owner for (\d+) s$/, LIMIT, async function(
    this: TakeoverPathWorld,
    way: string,
    seconds: string,
) {
    this.formerOwner = await ownerOf(this);
    const { formerOwner: { name, store: address }, usersPlatform: { store } } = this;
    this.cutOffAt = now();
    if (way === "ignores") {
        address.disconnect();
    }
    else {
        store.fault = (_, client) => client === name ? "refused" : "none";
    }
    await wait(Number(seconds) * SECOND);
    this.restoredAt = now();
    address.reconnect();
    store.fault = () => "none";
});

When("the store ignores the owner", async function(this: TakeoverPathWorld) {
    this.formerOwner = await ownerOf(this);
    this.formerOwner.store.disconnect();
});

When("the owner is killed at once", LIMIT, async function(this: TakeoverPathWorld) {
    await this.formerOwner.kill();
});

When("all other processes but one are killed", LIMIT, async function(this: TakeoverPathWorld) {
    this.formerOwner = await ownerOf(this);
    const [, ...killed] = runningProcesses(this).filter(process => process !== this.formerOwner);
    await Promise.all(killed.map(process => process.kill()));
});

When("the owner is killed together with all other processes but two", LIMIT, async function(this: TakeoverPathWorld) {
    this.formerOwner = await ownerOf(this);
    const [, , ...killed] = runningProcesses(this).filter(process => process !== this.formerOwner);
    await Promise.all([this.formerOwner, ...killed].map(process => process.kill()));
});

When("another process owns the cell", LIMIT, async function(this: TakeoverPathWorld) {
    await waitForSuccessor(this);
});

When("another process owns the cell, and is killed {int} s later", LIMIT, async function(
    this: TakeoverPathWorld,
    seconds: number,
) {
    const successor = await waitForSuccessor(this);
    await wait(seconds * SECOND);
    await successor.kill();
});

When("the callers have had jobs accepted at all processes, and stop", LIMIT, async function(this: TakeoverPathWorld) {
    const since = now();
    await waitUntil(
        () =>
            runningProcesses(this).every(process =>
                this.acceptances.some(acceptance => acceptance.process === process && acceptance.submittedAt >= since)
            ),
        "jobs are accepted at every process",
    );
    this.callersEnd.abort();
    await this.callers;
});
