/**
 * A queue's route is removed while the last run that a task is allowed is going on, and comes back later. The task is started
 * once more.
 */
import { setTimeout as delay } from "node:timers/promises";
import { MAXIMUM_ATTEMPTS, ROUTE } from "../support/deployment.js";
import { runCase, waitUntil } from "../support/run-case.js";

const JOB = "b0d9e7b0d9e7b0d9";
const OTHER_ROUTE = { ...ROUTE, name: "other", prefix: "/other/" };

void runCase({
    folder: "review/trials",
    options: { workers: 2, behave: () => ({ kind: "ends", how: "failed", milliseconds: 1_000 }) },
    async play(deployment, recorder, isTroubled) {
        const first = await deployment.startInstance("edge-1");
        await deployment.startInstance("edge-2");
        await waitUntil("an owner", 10_000, () => deployment.owner() !== undefined);
        await delay(1_000);
        const steps = [{ count: 1, cpu: 1_000, memMb: 100, estimateMs: 1_000 }];
        await deployment.call(first, "POST", JOB, { spec: "settle", steps });
        await waitUntil("the last run", 10_000, () => deployment.runs().length >= MAXIMUM_ATTEMPTS);
        await delay(200);
        if (isTroubled) {
            deployment.publish(2, [OTHER_ROUTE]);
            await delay(5_000);
            deployment.publish(5, [ROUTE, OTHER_ROUTE]);
        }
        await delay(5_000);
        await deployment.call(first, "GET", JOB);
        const runs = deployment.runs();
        const failed = runs.filter(({ acknowledgedAt, how }) => how === "failed" && acknowledgedAt !== undefined);
        recorder.write("summary", { starts: runs.length, failed: failed.length });
        const last = failed[MAXIMUM_ATTEMPTS - 1]?.acknowledgedAt ?? Infinity;
        return runs.filter(({ startedAt }) => startedAt > last)
            .map(({ attempt, task }) =>
                `${task} was started as attempt ${attempt} after ${MAXIMUM_ATTEMPTS} failed runs`
            );
    },
});
