/**
 * Steps for submissions that arrive after their cancelling, on the stand-in of the users' platform.
 */
import { When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { QUEUE_PREFIX } from "../../stand-ins/users-platform/deployment.js";
import { describeJob, firstRunningProcess, ownerOf, runningProcesses, waitUntil } from "./world.js";
import type { PathWorld } from "./world.js";

const LIMIT = { timeout: 60_000 };
const STATUS_GONE = 410;
const STATUS_OK = 200;

When("job {string} is cancelled before its submission has arrived", LIMIT, async function(this: PathWorld, id: string) {
    this.submittedId = id;
    this.submittedBody = describeJob(1, 2, 50);
    const answer = await this.usersPlatform.call(firstRunningProcess(this), "DELETE", QUEUE_PREFIX + id);
    assert.equal(answer.status, STATUS_GONE);
});

When("the process that owns the cell is killed", LIMIT, async function(this: PathWorld) {
    await (await ownerOf(this)).kill();
});

When("the submission arrives at the last process", LIMIT, async function(this: PathWorld) {
    const process = runningProcesses(this).at(-1) ?? firstRunningProcess(this);
    // Without an owner, the submission is refused and arrives again.
    await waitUntil(async () => {
        const path = QUEUE_PREFIX + this.submittedId;
        this.callerAnswer = await this.usersPlatform.call(process, "POST", path, this.submittedBody);
        return this.callerAnswer.status === STATUS_OK;
    }, "the submission is accepted");
});
