/**
 * More than 500 tasks end on one worker while the store is down. The worker lists 500 ends at a time; the tasks whose ends
 * are not on that list are taken for lost, and run again.
 */
import { setTimeout as delay } from "node:timers/promises";
import { runCase, waitUntil } from "../support/run-case.js";

/** A burst of small jobs: within the site's largest width of a step (36). */
const JOBS = 25;
const TASKS_PER_JOB = 32;
const TASKS = JOBS * TASKS_PER_JOB;
const TASK_MILLISECONDS = 3_000;
/** `platform_down` of the site: 4.5 s. */
const OUTAGE_MILLISECONDS = 4_500;
const SETTLING_MILLISECONDS = 10_000;

const jobs = Array.from({ length: JOBS }, (_, index) => (0x5c0e7a21d94b0000n + BigInt(index)).toString(16));

void runCase({
    folder: "review/1",
    options: {
        workers: 2,
        behave: () => ({ kind: "ends", how: "done", milliseconds: TASK_MILLISECONDS }),
    },
    async play(deployment, recorder, isTroubled) {
        const first = await deployment.startInstance("edge-1");
        await deployment.startInstance("edge-2");
        await waitUntil("an owner", 10_000, () => deployment.owner() !== undefined);
        await delay(1_000);
        const answers = await Promise.all(jobs.map(job =>
            deployment.call(first, "POST", job, {
                spec: "settle",
                steps: [{ count: TASKS_PER_JOB, cpu: 40, memMb: 32, estimateMs: TASK_MILLISECONDS }],
            })
        ));
        if (answers.some(({ status }) => status !== 200)) {
            throw new Error("a job was not accepted");
        }
        await waitUntil("the start of all tasks", 10_000, () => deployment.runs().length >= TASKS);
        if (isTroubled) {
            recorder.write("store-down", { milliseconds: OUTAGE_MILLISECONDS });
            deployment.store.fault = () => ({ kind: "silent" });
            await delay(OUTAGE_MILLISECONDS);
            deployment.store.fault = () => ({ kind: "none" });
            recorder.write("store-back");
        }
        await delay(SETTLING_MILLISECONDS);
        await Promise.all(jobs.map(job => deployment.call(first, "GET", job)));
        const runs = deployment.runs();
        const breaches = runs.flatMap(run => {
            const earlier = runs.find(other =>
                other.task === run.task && other.how === "done" && other.endedAt !== undefined
                && other.endedAt < run.startedAt && other.acknowledgedAt !== undefined && !other.hasLapsedSince
            );
            return earlier === undefined ? [] : [
                `${run.task} was started as attempt ${run.attempt} on ${run.worker} after attempt ${earlier.attempt} on `
                + `${earlier.worker} had ended done, and that end was acknowledged`,
            ];
        });
        recorder.write("summary", { tasks: TASKS, starts: runs.length, breaches: breaches.length });
        return breaches;
    },
});
