/**
 * LOST: a lasting task whose worker is lost for good is not started again while batch work of lower priority fills the service.
 */
import { expectThat, runCase } from "../support-2/case.js";
import { HOST, POOL } from "../support-2/deployment.js";

const LASTING_JOB = "83e61fb0d7294ac5";
const BATCH_JOB = "d94a07c15e6b2f38";
const WORKERS = 8;
const LASTING_TASKS = 4;
const LASTING_MILLICORES = 6_400;
const BATCH_MILLICORES = 3_500;
const WORKER_MILLICORES = 32_000;
/** Enough tasks to fill all workers, and more that wait. */
const BATCH_TASKS = 130;
/** Work of a batch task; the pages set no limit for it. */
const BATCH_MILLISECONDS = 20_000;
/** From this time after its last run on, a lasting task counts as not running. */
const REST_MILLISECONDS = 6_000;
/** It is lost when it does not run for this long, if this time and the four seconds before it are calm. */
const IDLE_MILLISECONDS = 3_000;

await runCase({
    routes: [{
        name: "kit-watch",
        host: HOST,
        prefix: "/watch/",
        service: POOL,
        priority: 0,
        maxAttempts: 3,
        stretchFactor: 2.2,
        targetLatencyMs: 2_500,
    }, {
        name: "guide-booking",
        host: HOST,
        prefix: "/booking/",
        service: POOL,
        priority: 2,
        maxAttempts: 3,
        stretchFactor: 2,
        targetLatencyMs: 1_000,
    }],
    async play({ addWorker, call, now, pause, record, startProcess, workers }, hasTrouble) {
        for (let index = 0; index < WORKERS; index++) {
            await addWorker(`worker-${index}`, { labels: ["a", `r${index}`], millicores: WORKER_MILLICORES });
        }
        const first = await startProcess("edge-1");
        const second = await startProcess("edge-2");
        await startProcess("edge-3");
        await pause(3_000);
        const lasting = await call(first, "POST", `/watch/${LASTING_JOB}`, {
            spec: JSON.stringify({}),
            steps: [{
                count: LASTING_TASKS,
                cpu: LASTING_MILLICORES,
                memMb: 13_000,
                estimateMs: 500,
                longRunning: true,
            }],
        });
        await pause(1_500);
        const batch = await call(second, "POST", `/booking/${BATCH_JOB}`, {
            spec: JSON.stringify({ milliseconds: BATCH_MILLISECONDS }),
            steps: [{ count: BATCH_TASKS, cpu: BATCH_MILLICORES, memMb: 2_000, estimateMs: BATCH_MILLISECONDS }],
        });
        expectThat(lasting.status === 200 && batch.status === 200, "the jobs are not accepted");
        await pause(2_000);
        const runs = () => workers.flatMap(worker => worker.runs);
        expectThat(
            runs().filter(run => run.isLasting && run.endedAt === undefined).length === LASTING_TASKS,
            "the lasting tasks do not run",
        );
        if (hasTrouble) {
            // The worker with a lasting task leaves for good; the others have room enough for it, were it not for batch tasks.
            await workers.find(worker => worker.runs.some(({ isLasting }) => isLasting))?.crash();
        }
        const crashedAt = now();
        const tasks = new Set(runs().filter(({ isLasting }) => isLasting).map(({ task }) => task));
        while (now() < crashedAt + REST_MILLISECONDS + 2 * IDLE_MILLISECONDS) {
            await pause(200);
        }
        const absent = [...tasks].filter(task =>
            !runs().some(run => run.task === task && (run.endedAt ?? Infinity) > crashedAt + REST_MILLISECONDS)
        );
        const batchRuns = runs().filter(run => !run.isLasting && run.endedAt === undefined).length;
        record("lasting-tasks", { absent, batchRuns });
        return absent.map(task =>
            `lasting task ${task} has not run for ${
                Math.round(now() - crashedAt)
            } ms, beside ${batchRuns} tasks of priority 2`
        );
    },
});
