/**
 * Steps for jobs that are cancelled while a worker gives no answer, on the stand-in of the users' platform.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { QUEUE_PREFIX } from "../../stand-ins/users-platform/deployment.js";
import { now, wait } from "./takeover-path-world.js";
import { describeLastingJob, firstRunningProcess, ownerOf, runsOf, submit, waitUntil } from "./world.js";
import type { PathWorld } from "./world.js";

interface SilentWorkerWorld extends PathWorld {
    /** Resolves when the worker answers again. */
    silence: Promise<void> | undefined;
    /** Start orders that have reached the worker after its silence. */
    laterStarts: number;
}

const LIMIT = { timeout: 60_000 };
const JOB = "00000000000000f5";
const STATUS_OK = 200;

Given(
    "a worker gives no answer for {int} ms from its first start order on, and none to stops for {int} ms more",
    LIMIT,
    async function(this: SilentWorkerWorld, milliseconds: number, stopMilliseconds: number) {
        await ownerOf(this);
        this.silence = undefined;
        this.laterStarts = 0;
        let silentWorker: string | undefined;
        let silentUntil = Infinity;
        for (const worker of this.usersPlatform.workers) {
            worker.fault = path => {
                if (path === "/run-start" && silentWorker === undefined) {
                    silentWorker = worker.id;
                    silentUntil = now() + milliseconds;
                    this.silence = wait(milliseconds);
                }
                if (worker.id !== silentWorker) {
                    return "none";
                }
                if (now() < silentUntil + (path === "/run-stop" ? stopMilliseconds : 0)) {
                    return "silent";
                }
                this.laterStarts += path === "/run-start" ? 1 : 0;
                return "none";
            };
        }
    },
);

When("a lasting job of {int} tasks is submitted, and cancelled at once", LIMIT, async function(
    this: SilentWorkerWorld,
    count: number,
) {
    await submit(this, JOB, describeLastingJob(count));
    assert.equal(this.callerAnswer.status, STATUS_OK);
    await waitUntil(() => this.silence !== undefined, "a start order has reached a worker");
    const answer = await this.usersPlatform.call(firstRunningProcess(this), "DELETE", QUEUE_PREFIX + JOB);
    assert.deepEqual([answer.status, answer.state], [STATUS_OK, "cancelled"]);
});

When("the worker has answered for {int} ms", LIMIT, async function(this: SilentWorkerWorld, milliseconds: number) {
    await this.silence;
    await wait(milliseconds);
});

Then("no later start order has reached the worker", function(this: SilentWorkerWorld) {
    assert.equal(this.laterStarts, 0);
});

Then("the job's starts that took place have been stopped", function(this: SilentWorkerWorld) {
    const unstopped = runsOf(this, JOB).filter(({ how }) => how !== "stopped");
    assert.deepEqual(unstopped, []);
});
