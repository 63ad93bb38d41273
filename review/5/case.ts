/**
 * A task of a lasting job ends `done`. It is never started again, and the job is shown as completed.
 */
import { setTimeout as delay } from "node:timers/promises";
import { runCase, waitUntil } from "../support/run-case.js";

const TASKS = 2;
const JOB = "77aa0c41e2b95d03";
/** When the first run of each task ends. */
const END_MILLISECONDS = 3_000;
/** LOST holds for a task that lasts from 6 s after its last run, for 3 s. */
const GRACE_MILLISECONDS = 6_000;
const IDLE_MILLISECONDS = 3_000;

const isTroubled = process.env["TROUBLE"] !== "0";

void runCase({
    folder: "review/5",
    options: {
        workers: 2,
        // Without the disruption the first run ends as well, but as failed.
        behave: (_task, _spec, attempt) =>
            attempt === 1
                ? { kind: "ends", how: isTroubled ? "done" : "failed", milliseconds: END_MILLISECONDS, lasts: true }
                : { kind: "lasts" },
    },
    async play(deployment, recorder) {
        const first = await deployment.startInstance("edge-1");
        await deployment.startInstance("edge-2");
        await waitUntil("an owner", 10_000, () => deployment.owner() !== undefined);
        await delay(1_000);
        const accepted = await deployment.call(first, "POST", JOB, {
            spec: "tally",
            steps: [{ count: TASKS, cpu: 6_400, memMb: 13_000, estimateMs: 500, longRunning: true }],
        });
        if (accepted.status !== 200) {
            throw new Error(`the job was not accepted: ${accepted.status}`);
        }
        await waitUntil(
            "the first runs' ends",
            15_000,
            () => deployment.runs().filter(({ endedAt }) => endedAt !== undefined).length >= TASKS,
        );
        await delay(GRACE_MILLISECONDS + 2 * IDLE_MILLISECONDS);
        const shown = await deployment.call(first, "GET", JOB);
        const now = performance.now();
        const breaches: string[] = [];
        for (let index = 0; index < TASKS; index++) {
            const task = `${JOB}.0.0.${index}`;
            const runs = deployment.runs().filter(run => run.task === task);
            const last = runs.at(-1);
            recorder.write("task", { task, runs: runs.length, how: last?.how });
            if (last?.endedAt !== undefined && now - last.endedAt >= GRACE_MILLISECONDS + IDLE_MILLISECONDS) {
                const seconds = ((now - last.endedAt) / 1_000).toFixed(1);
                breaches.push(
                    `${task} lasts, and nothing of it has run for ${seconds} s since a run ended ${last.how}`,
                );
            }
        }
        if (shown.state !== "in_progress") {
            recorder.write("shown", { state: shown.state, note: "nobody has cancelled the job" });
        }
        return breaches;
    },
});
