/**
 * LOST: after one crash of a worker, ordinary jobs are not started, because a gang that waits blocks all workers for them.
 */
import { expectThat, runCase } from "../support-2/case.js";
import { HOST, POOL } from "../support-2/deployment.js";

const JOB = "27d0b6ae914f53c8";
const ORDINARY_JOBS = ["b7c1d2e3f4051620", "b7c1d2e3f4051621", "b7c1d2e3f4051622"];
const TASKS = 36;
const WORKERS = 33;
/** The crash comes this long after the first start. */
const CRASH_AFTER_MILLISECONDS = 300;
const DOWN_MILLISECONDS = 3_000;
/** `finish_s`: jobs are asked for this long after the end of the traffic; here, after the worker is back. */
const FINISH_MILLISECONDS = 14_000;
/** A job that has nothing running for this long while there is room for it twice over is lost. */
const IDLE_MILLISECONDS = 3_000;
const LIFE = { labels: ["a", "r1"], millicores: 32_000 };

await runCase({
    routes: [{
        name: "handover-check",
        host: HOST,
        prefix: "/handover/",
        service: POOL,
        priority: 0,
        maxAttempts: 3,
        stretchFactor: 1.5,
        targetLatencyMs: 250,
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
            await addWorker(`worker-${index}`, LIFE);
        }
        const first = await startProcess("edge-1");
        const second = await startProcess("edge-2");
        await startProcess("edge-3");
        await pause(3_000);
        const accepted = await call(first, "POST", `/handover/${JOB}`, {
            spec: JSON.stringify({ milliseconds: 2_200 }),
            steps: [{ count: TASKS, cpu: 850, memMb: 1_500, estimateMs: 2_200, gang: true }],
        });
        expectThat(accepted.status === 200, "the job is not accepted");
        const runs = () => workers.flatMap(worker => worker.runs);
        while (runs().length < TASKS) {
            await pause(20);
        }
        if (hasTrouble) {
            await pause(CRASH_AFTER_MILLISECONDS);
            const used = workers.filter(worker => worker.runs.length > 0);
            record("workers-used", { workers: used.map(({ id }) => id) });
            await used[0]?.crash();
            await pause(DOWN_MILLISECONDS);
            await used[0]?.restart(LIFE);
        }
        // Ordinary jobs come after the worker is back; most of the room is free.
        await pause(1_500);
        for (const id of ORDINARY_JOBS) {
            const { status } = await call(first, "POST", `/booking/${id}`, {
                spec: JSON.stringify({ milliseconds: 2_200 }),
                steps: [{ count: 8, cpu: 3_500, memMb: 6_400, estimateMs: 2_200 }],
            });
            expectThat(status === 200, "an ordinary job is not accepted");
        }
        await pause(FINISH_MILLISECONDS);
        await call(second, "GET", `/handover/${JOB}`);
        const lost: string[] = [];
        for (const id of ORDINARY_JOBS) {
            const { state } = await call(second, "GET", `/booking/${id}`);
            const idleSince = Math.max(
                ...runs().filter(({ task }) => task.startsWith(id)).map(run => run.endedAt ?? now()),
                0,
            );
            const idleMilliseconds = Math.min(now() - idleSince, FINISH_MILLISECONDS);
            if (state !== "completed" && idleMilliseconds >= IDLE_MILLISECONDS) {
                lost.push(
                    `job ${id} is ${state ?? "unknown"} and has had nothing running for ${
                        Math.round(idleMilliseconds)
                    } ms or more`,
                );
            }
        }
        const running = runs().filter(({ endedAt }) => endedAt === undefined).length;
        record("judged", { lost, running, workers: workers.length });
        return lost;
    },
});
