/**
 * Steps for more ends than one report of a worker lists.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { byTask, ownerOf, runsOf, submit, waitUntil } from "./world.js";
import type { PathWorld } from "./world.js";

const LIMIT = { timeout: 60_000 };
const TASK_MILLICORES = 10;
/** Long enough for all tasks to start before the first one ends, and too short to count as standing still. */
const TASK_MILLISECONDS = 1_700;

When(
    "a caller submits job {string} of {int} small tasks, and they end while the store does not answer",
    LIMIT,
    async function(this: PathWorld, id: string, count: number) {
        await submit(this, id, {
            spec: JSON.stringify({ milliseconds: TASK_MILLISECONDS, millicores: TASK_MILLICORES }),
            steps: [{ count, cpu: TASK_MILLICORES, memMb: 1, estimateMs: TASK_MILLISECONDS }],
        });
        await waitUntil(() => runsOf(this, id).length === count, "all tasks have started");
        assert.ok(runsOf(this, id).every(({ endedAt }) => endedAt === undefined), "a task has ended early");
        this.usersPlatform.store.fault = () => "silent";
        await waitUntil(
            () => runsOf(this, id).every(({ endedAt }) => endedAt !== undefined),
            "all tasks have ended",
        );
    },
);

When(
    "the owner is killed, and the store answers its successor's claim, but nothing more for {int} ms",
    LIMIT,
    async function(this: PathWorld, milliseconds: number) {
        const owner = await ownerOf(this);
        await owner.kill();
        const { store } = this.usersPlatform;
        let claimedAt: number | undefined;
        store.fault = path => {
            if (path !== "/kv-txn") {
                return "none";
            }
            const isClaim = claimedAt === undefined;
            claimedAt ??= performance.now();
            return isClaim || performance.now() - claimedAt > milliseconds ? "none" : "silent";
        };
        await waitUntil(() => claimedAt !== undefined, "a successor claims the cell");
    },
);

Then("every task of job {string} has run once", function(this: PathWorld, id: string) {
    const repeated = [...byTask(runsOf(this, id)).values()].filter(({ length }) => length > 1);
    assert.equal(repeated.length, 0, `${repeated.length} tasks have run again: ${JSON.stringify(repeated[0])}`);
});
