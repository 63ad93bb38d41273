/**
 * Steps for submitted jobs on the users' platform in small.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { QUEUE_PREFIX, startUsersDeployment } from "../../stand-ins/users-platform/deployment.js";
import { WORKER_MILLICORES } from "../../stand-ins/users-platform/worker.js";
import {
    byTask,
    describeJob,
    firstRunningProcess,
    ownerOf,
    runningProcesses,
    runsOf,
    startAll,
    submit,
    waitUntil,
} from "./world.js";
import type { PathWorld } from "./world.js";

const LIMIT = { timeout: 60_000 };
/** `graceS` of the settings that the stand-in writes. */
const GRACE_MILLISECONDS = 6_000;

After(LIMIT, async function(this: Partial<PathWorld>) {
    await this.usersPlatform?.close();
});

Given(
    "the users' platform with {int} workers and {int} processes",
    LIMIT,
    async function(this: PathWorld, workers: number, processes: number) {
        this.usersPlatform = await startUsersDeployment(workers);
        await startAll(this.usersPlatform, processes, "");
        await waitUntil(
            async () => {
                const answers = await Promise.all(
                    runningProcesses(this).map(process =>
                        this.usersPlatform.call(process, "GET", `${QUEUE_PREFIX}0000000000000000`)
                    ),
                );
                return answers.every(({ status }) => status === 410);
            },
            "every process reaches the owner",
        );
    },
);

When(
    "a caller submits job {string} of {int} steps with {int} tasks of {int} ms each",
    LIMIT,
    async function(this: PathWorld, id: string, steps: number, tasks: number, milliseconds: number) {
        await submit(this, id, describeJob(steps, tasks, milliseconds));
    },
);

When("a caller submits job {string} whose only task always fails", LIMIT, async function(this: PathWorld, id: string) {
    await submit(this, id, describeJob(1, 1, 30, true));
});

When("a caller submits job {string} until it is accepted", LIMIT, async function(this: PathWorld, id: string) {
    await waitUntil(async () => {
        await submit(this, id, this.submittedBody);
        return this.callerAnswer.status === 200;
    }, `job ${id} is accepted`);
});

When("the same job is handed in again at the other process", LIMIT, async function(this: PathWorld) {
    const other = runningProcesses(this).at(-1) ?? firstRunningProcess(this);
    const path = QUEUE_PREFIX + this.submittedId;
    const answer = await this.usersPlatform.call(other, "POST", path, this.submittedBody);
    assert.equal(answer.status, 200);
});

When("the caller cancels job {string}", LIMIT, async function(this: PathWorld, id: string) {
    await waitUntil(() => runsOf(this, id).length > 0, "a first task has started");
    const { status } = await this.usersPlatform.call(firstRunningProcess(this), "DELETE", QUEUE_PREFIX + id);
    assert.equal(status, 200);
});

When("all processes are killed and started again", LIMIT, async function(this: PathWorld) {
    await waitUntil(() => runsOf(this, this.submittedId).length > 0, "a first task has started");
    const { length } = runningProcesses(this);
    await Promise.all(runningProcesses(this).map(process => process.kill()));
    await startAll(this.usersPlatform, length, "-again");
});

When("the owner of the cell is killed", LIMIT, async function(this: PathWorld) {
    await waitUntil(() => runsOf(this, this.submittedId).length > 0, "a first task has started");
    await (await ownerOf(this)).kill();
});

When("the owner of the cell is told to stop", LIMIT, async function(this: PathWorld) {
    await waitUntil(() => runsOf(this, this.submittedId).length > 0, "a first task has started");
    this.leavingProcess = await ownerOf(this);
    this.leavingProcess.child.kill("SIGTERM");
});

When("the owner of the cell is told to stop at once", LIMIT, async function(this: PathWorld) {
    this.leavingProcess = await ownerOf(this);
    this.leavingProcess.child.kill("SIGTERM");
});

When("{int} jobs of {int} tasks of {int} ms are submitted", LIMIT, async function(
    this: PathWorld,
    jobs: number,
    tasks: number,
    milliseconds: number,
) {
    this.submissions = new Map();
    for (let index = 0; index < jobs; index++) {
        const id = `00000000000000c${index.toString(16)}`;
        await submit(this, id, describeJob(1, tasks, milliseconds));
        this.submissions.set(id, this.callerAnswer);
    }
});

When("the store answers again", function(this: PathWorld) {
    this.usersPlatform.store.fault = () => "none";
});

When(
    "the store forgets its history and a configuration without the queue follows",
    function(this: PathWorld) {
        this.usersPlatform.publish(2, []);
        this.usersPlatform.store.compact();
    },
);

Then("the caller is told status {int}", function(this: PathWorld, status: number) {
    assert.equal(this.callerAnswer.status, status);
});

Then(
    "the caller is told status {int}, when to come back, and no later than {int} ms",
    function(this: PathWorld, status: number, milliseconds: number) {
        assert.equal(this.callerAnswer.status, status);
        assert.ok(Number(this.callerAnswer.retryAfter) >= 1, "no Retry-After");
        assert.ok(this.answeredAfterMilliseconds <= milliseconds, `${this.answeredAfterMilliseconds} ms`);
    },
);

async function isShown(world: PathWorld, id: string, state: string): Promise<boolean> {
    const answers = await Promise.all(
        runningProcesses(world).map(process => world.usersPlatform.call(process, "GET", QUEUE_PREFIX + id)),
    );
    return answers.length > 0 && answers.every(answer => answer.state === state);
}

Then(
    /^job "([^"]*)" is shown as "([^"]*)" by (?:every process|the other processes)$/,
    LIMIT,
    async function(this: PathWorld, id: string, state: string) {
        await waitUntil(() => isShown(this, id, state), `job ${id} is shown as ${state}`);
    },
);

Then("no task of step {int} began before all tasks of step {int} had ended", function(
    this: PathWorld,
    later: number,
    earlier: number,
) {
    const runs = runsOf(this, this.submittedId);
    const ofStep = (step: number) => runs.filter(({ task }) => task.split(".")[2] === String(step));
    const lastEnd = Math.max(...ofStep(earlier).map(({ endedAt = Infinity }) => endedAt));
    assert.ok(ofStep(later).every(({ startedAt }) => startedAt >= lastEnd));
});

Then("each task of job {string} ran exactly once", function(this: PathWorld, id: string) {
    const grouped = byTask(runsOf(this, id));
    assert.ok(grouped.size > 0);
    grouped.forEach((runs, task) => assert.equal(runs.length, 1, `${task} ran ${runs.length} times`));
});

Then("no task of job {string} ran again after its end was acknowledged", function(this: PathWorld, id: string) {
    byTask(runsOf(this, id)).forEach((runs, task) => {
        const done = runs.findIndex(run => run.how === "done" && run.isAcknowledged);
        assert.ok(done < 0 || done === runs.length - 1, `${task} ran again`);
    });
});

Then("no task of job {string} ran twice at the same time", function(this: PathWorld, id: string) {
    byTask(runsOf(this, id)).forEach((runs, task) =>
        runs.forEach((run, index) => {
            const former = runs.slice(0, index);
            assert.ok(
                former.every(({ endedAt = Infinity }) => endedAt <= run.startedAt),
                `${task} ran twice at the same time`,
            );
        })
    );
});

Then("nothing of job {string} runs or starts any more", LIMIT, async function(this: PathWorld, id: string) {
    await waitUntil(
        () => runsOf(this, id).every(({ endedAt }) => endedAt !== undefined),
        "everything has been stopped",
    );
    const before = runsOf(this, id).length;
    // A later job is accepted and ends; by then the cancelled one would have started something.
    await submit(this, "00000000000000fe", describeJob(1, 2, 50));
    await waitUntil(() => isShown(this, "00000000000000fe", "completed"), "a later job is completed");
    assert.equal(runsOf(this, id).length, before);
});

Then("no worker ever held more than its cores", function(this: PathWorld) {
    this.usersPlatform.workers.forEach(({ id, peakMillicores }) =>
        assert.ok(peakMillicores <= WORKER_MILLICORES, `${id} held ${peakMillicores}`)
    );
});

Then("a caller who asks for {string} is told {int}", LIMIT, async function(
    this: PathWorld,
    path: string,
    status: number,
) {
    assert.equal((await this.usersPlatform.call(firstRunningProcess(this), "GET", path)).status, status);
});

Then("a caller who submits a job whose step comes after itself is told {int}", LIMIT, async function(
    this: PathWorld,
    status: number,
) {
    await submit(this, "00000000000000fd", { spec: "", steps: [{ count: 1, after: [0] }] });
    assert.equal(this.callerAnswer.status, status);
});

Then("every process soon answers 404 for {string}", LIMIT, async function(this: PathWorld, path: string) {
    await waitUntil(async () => {
        const answers = await Promise.all(
            runningProcesses(this).map(process => this.usersPlatform.call(process, "GET", path)),
        );
        return answers.every(({ status }) => status === 404);
    }, "the new configuration is in force");
});

Then(
    "every job that was accepted is completed, and no job that was refused ever ran",
    LIMIT,
    async function(this: PathWorld) {
        const accepted = [...this.submissions].filter(([, { status }]) => status === 200);
        assert.ok(accepted.length > 0, "no job was accepted");
        for (const [id] of accepted) {
            await waitUntil(() => isShown(this, id, "completed"), `job ${id} is completed`);
        }
        for (const [id, { status }] of this.submissions) {
            if (status === 503 || status === 429) {
                assert.deepEqual(runsOf(this, id), [], `job ${id} was refused and ran`);
            }
        }
    },
);

Then("no task of job {string} ever ran", function(this: PathWorld, id: string) {
    assert.deepEqual(runsOf(this, id), []);
});

Then("the task of job {string} was started {int} times", function(this: PathWorld, id: string, times: number) {
    assert.equal(runsOf(this, id).length, times);
});

Then("the worker's reports told of ends at most {int} times", function(this: PathWorld, times: number) {
    const [worker] = this.usersPlatform.workers;
    const reports = worker?.reportsWithEnds ?? Infinity;
    assert.ok(reports <= times, `${reports} reports told of ends`);
});

Then("it ends by itself within the time for a stop", LIMIT, async function(this: PathWorld) {
    const { child } = this.leavingProcess;
    if (child.exitCode === null) {
        const [code] = await Promise.race([
            once(child, "exit") as Promise<[number | null]>,
            new Promise<[string]>(resolve => setTimeout(() => resolve(["still there"]), GRACE_MILLISECONDS)),
        ]);
        assert.equal(code, 0);
    }
});

When(
    "{int} jobs are submitted {int} ms apart, without waiting for the answers",
    LIMIT,
    async function(this: PathWorld, jobs: number, gap: number) {
        const process = firstRunningProcess(this);
        const waiting: Promise<void>[] = [];
        this.submissions = new Map();
        this.answerMilliseconds = new Map();
        for (let index = 0; index < jobs; index++) {
            const id = `00000000000000d${index}`;
            const startedAt = performance.now();
            waiting.push(
                this.usersPlatform.call(process, "POST", QUEUE_PREFIX + id, describeJob(1, 1, 50)).then(answer => {
                    this.submissions.set(id, answer);
                    this.answerMilliseconds.set(id, performance.now() - startedAt);
                }),
            );
            await new Promise(resolve => setTimeout(resolve, gap));
        }
        await Promise.all(waiting);
    },
);

Then("all but the first are told status {int} within {int} ms", function(
    this: PathWorld,
    status: number,
    milliseconds: number,
) {
    for (const [id, answer] of this.submissions) {
        if (id !== "00000000000000d0") {
            assert.equal(answer.status, status, `job ${id}`);
            assert.ok((this.answerMilliseconds.get(id) ?? Infinity) <= milliseconds, `job ${id}`);
        }
    }
});

Then("no job that was refused ever runs after the store has come back", LIMIT, async function(this: PathWorld) {
    this.usersPlatform.store.fault = () => "none";
    await waitUntil(async () => {
        await submit(this, "00000000000000df", describeJob(1, 1, 50));
        return this.callerAnswer.status === 200;
    }, "a later job is accepted");
    await waitUntil(() => isShown(this, "00000000000000df", "completed"), "a later job is completed");
    for (const [id, { status }] of this.submissions) {
        if (status === 503) {
            assert.deepEqual(runsOf(this, id), [], `job ${id} was refused and ran`);
        }
    }
});
