/**
 * Steps for jobs that are cancelled around takeovers, on the stand-in of the users' platform.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { QUEUE_PREFIX } from "../../stand-ins/users-platform/deployment.js";
import type { JobsProcess } from "../../stand-ins/users-platform/deployment.js";
import type { RequestFault } from "../../stand-ins/users-platform/http.js";
import type { RunRecord, UsersWorker } from "../../stand-ins/users-platform/worker.js";
import { now, STATUS_ACCEPTED, submitAtAnyProcess, wait } from "./takeover-path-world.js";
import { describeJob, describeLastingJob, ownerOf, runningProcesses, runsOf, waitUntil } from "./world.js";
import type { PathWorld } from "./world.js";

interface CancelledTakeoverWorld extends PathWorld {
    /** The owner that has sent the first start. */
    formerOwner: JobsProcess;
    formerEpoch: number;
    /** The worker of the first start. */
    silentWorker: UsersWorker | undefined;
    isSilent: boolean;
    /** Workers that get no orders of later epochs. */
    unaware: ReadonlySet<UsersWorker>;
    /** Latest epoch of the report orders that each worker has received. */
    heardEpochs: Map<UsersWorker, number>;
    cutAt: number;
    /** When the cancelling was answered. */
    cancelledAt: number;
    paused: Set<JobsProcess>;
    pauses: Promise<void>[];
}

const LIMIT = { timeout: 90_000 };
const SECOND = 1_000;
const JOB = "00000000000000f6";
const LATER_JOB = "00000000000000f7";
/** Longer than all repetitions of a start. */
const LATER_TASK_MILLISECONDS = 1_000;
const GAP_MILLISECONDS = 50;

After(LIMIT, async function(this: Partial<CancelledTakeoverWorld>) {
    await Promise.all(this.pauses ?? []);
});

/** Epochs in which a process has owned the cell, oldest first. */
function epochsOf({ events }: JobsProcess): number[] {
    return events.filter(({ event }) => event === "cell-owned").map(({ epoch }) => Number(epoch));
}

/** Epoch of the present owner. */
function newestEpoch({ usersPlatform }: PathWorld): number {
    return Math.max(...usersPlatform.processes.flatMap(epochsOf));
}

/** Lets every worker follow the state of the world; the first start leads to the given fault, and to silence. */
async function prepare(world: CancelledTakeoverWorld, firstFault: RequestFault | undefined): Promise<void> {
    world.formerOwner = await ownerOf(world);
    world.formerEpoch = newestEpoch(world);
    world.silentWorker = undefined;
    world.isSilent = false;
    world.unaware = new Set();
    world.heardEpochs = new Map();
    world.paused = new Set();
    world.pauses = [];
    for (const worker of world.usersPlatform.workers) {
        worker.fault = (path, epoch) => {
            if (path === "/run-start" && world.silentWorker === undefined && firstFault !== undefined) {
                world.silentWorker = worker;
                world.isSilent = true;
                return firstFault;
            }
            if (worker === world.silentWorker && world.isSilent) {
                return "silent";
            }
            if (epoch > world.formerEpoch && world.unaware.has(worker)) {
                return "silent";
            }
            if (path === "/hold") {
                world.heardEpochs.set(worker, Math.max(epoch, world.heardEpochs.get(worker) ?? 0));
            }
            return "none";
        };
    }
}

function reachableProcesses(world: CancelledTakeoverWorld): JobsProcess[] {
    return runningProcesses(world).filter(process => process !== world.formerOwner && !world.paused.has(process));
}

async function submitLastingJob(world: CancelledTakeoverWorld, count: number): Promise<void> {
    const isAccepted = (status: number): boolean => status === STATUS_ACCEPTED;
    await submitAtAnyProcess(world, () => reachableProcesses(world), JOB, describeLastingJob(count), isAccepted);
}

/** Pauses a process, and lets it go on after the time. */
function pauseProcess(world: CancelledTakeoverWorld, process: JobsProcess, seconds: number): void {
    process.child.kill("SIGSTOP");
    world.paused.add(process);
    world.pauses.push(
        wait(seconds * SECOND).then(() => {
            process.child.kill("SIGCONT");
            world.paused.delete(process);
        }),
    );
}

/** Makes that worker and others unaware of later epochs. */
function hideSuccessors(world: CancelledTakeoverWorld, others: number): void {
    const { silentWorker, usersPlatform: { workers } } = world;
    assert.ok(silentWorker !== undefined);
    world.unaware = new Set([silentWorker, ...workers.filter(worker => worker !== silentWorker).slice(0, others)]);
}

Given(
    /^a lasting job of (\d+) tasks is submitted, and a worker (leaves its first start unanswered|carries out its first start late)$/,
    LIMIT,
    async function(this: CancelledTakeoverWorld, count: string, way: string) {
        await prepare(this, way.startsWith("leaves") ? "silent" : "late");
        await submitLastingJob(this, Number(count));
        await waitUntil(() => this.silentWorker !== undefined, "a start order has reached a worker");
    },
);

Given("a worker's link is cut as a lasting job of {int} tasks is submitted", LIMIT, async function(
    this: CancelledTakeoverWorld,
    count: number,
) {
    await prepare(this, undefined);
    [this.silentWorker] = this.usersPlatform.workers;
    this.silentWorker?.disconnect();
    this.cutAt = now();
    await submitLastingJob(this, count);
    await waitUntil(() => runsOf(this, JOB).length === count - 1, "the other workers run their tasks");
});

When("the owner is paused for {float} s, and its successors do not reach that worker or {int} others", function(
    this: CancelledTakeoverWorld,
    seconds: number,
    others: number,
) {
    hideSuccessors(this, others);
    pauseProcess(this, this.formerOwner, seconds);
});

When("the owner stays", () => {
    // Nothing happens to it.
});

When("the owner is killed", LIMIT, async function(this: CancelledTakeoverWorld) {
    await this.formerOwner.kill();
});

When("the owner is paused for {int} s", function(this: CancelledTakeoverWorld, seconds: number) {
    pauseProcess(this, this.formerOwner, seconds);
});

When("the present owner is paused for {int} s as well", LIMIT, async function(
    this: CancelledTakeoverWorld,
    seconds: number,
) {
    const find = () => reachableProcesses(this).find(process => epochsOf(process).includes(newestEpoch(this)));
    await waitUntil(() => find() !== undefined, "a process that is not paused owns the cell");
    const owner = find();
    assert.ok(owner !== undefined);
    pauseProcess(this, owner, seconds);
});

When(/^the store (ignores|refuses) the owner, and its successors do not reach that worker or (\d+) others$/, function(
    this: CancelledTakeoverWorld,
    way: string,
    others: string,
) {
    hideSuccessors(this, Number(others));
    const { formerOwner: { name, store: address }, usersPlatform: { store } } = this;
    if (way === "ignores") {
        address.disconnect();
    }
    else {
        store.fault = (_, client) => client === name ? "refused" : "none";
    }
});

When("the store answers the former owner again", function(this: CancelledTakeoverWorld) {
    this.formerOwner.store.reconnect();
    this.usersPlatform.store.fault = () => "none";
});

When("the job is cancelled at another process", LIMIT, async function(this: CancelledTakeoverWorld) {
    for (let turn = 0;; turn++) {
        const processes = reachableProcesses(this);
        const process = processes[turn % processes.length];
        assert.ok(process !== undefined);
        const { state, status } = await this.usersPlatform.call(process, "DELETE", QUEUE_PREFIX + JOB);
        if (status === STATUS_ACCEPTED) {
            assert.equal(state, "cancelled");
            this.cancelledAt = now();
            return;
        }
        await wait(GAP_MILLISECONDS);
    }
});

When("the owner has gone on", LIMIT, async function(this: CancelledTakeoverWorld) {
    await this.pauses[0];
});

When("the worker answers orders again", function(this: CancelledTakeoverWorld) {
    this.isSilent = false;
});

When("the late start has taken place, and the worker answers orders again", LIMIT, async function(
    this: CancelledTakeoverWorld,
) {
    await waitUntil(
        () => runsOf(this, JOB).some(({ worker }) => worker === this.silentWorker?.id),
        "the start has been carried out",
    );
    this.isSilent = false;
});

When("the link is whole again {float} s after it was cut", LIMIT, async function(
    this: CancelledTakeoverWorld,
    seconds: number,
) {
    await wait(Math.max(0, this.cutAt + seconds * SECOND - now()));
    this.silentWorker?.reconnect();
});

When("no process is paused, and the present owner reaches every worker", LIMIT, async function(
    this: CancelledTakeoverWorld,
) {
    await Promise.all(this.pauses);
    this.unaware = new Set();
    const { workers } = this.usersPlatform;
    await waitUntil(
        () => workers.every(worker => this.heardEpochs.get(worker) === newestEpoch(this)),
        "every worker has heard the present owner",
    );
});

When("a later job is completed", LIMIT, async function(this: CancelledTakeoverWorld) {
    const isAccepted = (status: number): boolean => status === STATUS_ACCEPTED;
    const job = describeJob(2, 1, LATER_TASK_MILLISECONDS);
    await submitAtAnyProcess(this, () => reachableProcesses(this), LATER_JOB, job, isAccepted);
    await waitUntil(async () => {
        const [process = this.formerOwner] = reachableProcesses(this);
        const { state } = await this.usersPlatform.call(process, "GET", QUEUE_PREFIX + LATER_JOB);
        return state === "completed";
    }, "the later job is completed");
});

Then("no task of the job has started later than {int} ms after its cancelling was answered", function(
    this: CancelledTakeoverWorld,
    milliseconds: number,
) {
    const late = runsOf(this, JOB).filter(({ startedAt }) => startedAt > this.cancelledAt + milliseconds);
    assert.deepEqual(describeRuns(this, late), []);
});

Then("each run of the job has ended within {int} ms of its start or the cancelling's answer", function(
    this: CancelledTakeoverWorld,
    milliseconds: number,
) {
    const late = runsOf(this, JOB).filter(({ endedAt = Infinity, startedAt }) =>
        endedAt > Math.max(startedAt, this.cancelledAt) + milliseconds
    );
    assert.deepEqual(describeRuns(this, late), []);
});

Then("nothing of the job runs on", LIMIT, async function(this: CancelledTakeoverWorld) {
    await waitUntil(() => runsOf(this, JOB).every(({ endedAt }) => endedAt !== undefined), "the job's runs have ended");
});

function describeRuns({ cancelledAt }: CancelledTakeoverWorld, runs: readonly RunRecord[]): object[] {
    return runs.map(({ attempt, endedAt, how, startedAt, task, worker }) => ({
        task,
        attempt,
        worker,
        startedAfterCancelling: Math.round(startedAt - cancelledAt),
        endedAfterCancelling: endedAt === undefined ? undefined : Math.round(endedAt - cancelledAt),
        how,
    }));
}
