/**
 * A worker loses power for less than a second as the first start reaches it. The repeated start gives its next life a longer
 * lease than the owner counts, so that the task runs twice when the worker is cut off then.
 */
import { setTimeout as delay } from "node:timers/promises";
import { runCase, waitUntil } from "../support/run-case.js";

const JOB = "2e57a27ed2e57a27";
const DOWN_MILLISECONDS = 800;
/** `node_cut` of workers of the site: 5.5 s. */
const CUT_MILLISECONDS = 5_500;
/** `holdMaxMs` of the site. */
const LONGEST_LEASE_MILLISECONDS = 10_000;

let starts = 0;
let isArmed = false;

void runCase({
    folder: "review/4",
    options: {
        workers: 8,
        longestLeaseMilliseconds: LONGEST_LEASE_MILLISECONDS,
        behave: () => ({ kind: "lasts" }),
        onOrder(worker, path) {
            if (isArmed && path === "/run-start") {
                starts += 1;
                if (starts === 1) {
                    void worker.losePower(DOWN_MILLISECONDS);
                }
                else if (starts === 2) {
                    worker.cut(CUT_MILLISECONDS);
                }
            }
        },
    },
    async play(deployment, recorder, isTroubled) {
        const first = await deployment.startInstance("edge-1");
        await deployment.startInstance("edge-2");
        await waitUntil("an owner", 10_000, () => deployment.owner() !== undefined);
        await delay(8_000);
        isArmed = isTroubled;
        const accepted = await deployment.call(first, "POST", JOB, {
            spec: "tally",
            steps: [{ count: 1, cpu: 6_400, memMb: 13_000, estimateMs: 500, longRunning: true }],
        });
        if (accepted.status !== 200) {
            throw new Error(`the job was not accepted: ${accepted.status}`);
        }
        await delay(15_000);
        const runs = deployment.runs();
        runs.forEach(({ attempt, endedAt, how, startedAt, task, worker }) =>
            recorder.write("run", { task, attempt, worker, how, startedAt: Math.round(startedAt), endedAt })
        );
        return runs.flatMap(run =>
            runs.filter(other =>
                other.task === run.task && other.startedAt < run.startedAt
                && (other.endedAt ?? Infinity) > run.startedAt
            ).map(other => {
                const milliseconds = Math.round((other.endedAt ?? performance.now()) - run.startedAt);
                return `${run.task} ran as attempt ${other.attempt} on ${other.worker} and as attempt ${run.attempt} on `
                    + `${run.worker} at the same time, for ${milliseconds} ms`;
            })
        );
    },
});
