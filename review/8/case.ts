/**
 * BUDGET: a job whose tasks crash their workers. They start at the same time on several workers, which crash together.
 */
import { expectThat, runCase } from "../support-2/case.js";
import type { Violations } from "../support-2/case.js";
import { HOST, POOL } from "../support-2/deployment.js";
import type { Run } from "../support-2/worker.js";

const JOB = "6f1c20a94be87d35";
const BYSTANDER = "1b7de05c92f3a846";
const TASKS = 12;
const WORKERS = 33;
/** Crashes after which a task that is started this many times more breaks the rule. */
const CRASHES = 3;
const FURTHER_STARTS = 3;
const WATCHED_SECONDS = 45;

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
    }],
    async play({ addWorker, call, pause, record, startProcess, workers }, hasTrouble) {
        for (let index = 0; index < WORKERS; index++) {
            await addWorker(`worker-${index}`, { labels: ["a", "r1"], millicores: 32_000 });
        }
        const first = await startProcess("edge-1");
        const second = await startProcess("edge-2");
        await startProcess("edge-3");
        await pause(3_000);
        const bystander = await call(second, "POST", `/handover/${BYSTANDER}`, {
            spec: JSON.stringify({ milliseconds: 5_000 }),
            steps: [{ count: WORKERS, cpu: 3_100, memMb: 6_200, estimateMs: 5_000, maxPerServer: 1 }],
        });
        const accepted = await call(first, "POST", `/handover/${JOB}`, {
            spec: JSON.stringify({ milliseconds: 640, crashes: hasTrouble }),
            steps: [{ count: TASKS, cpu: 3_100, memMb: 6_200, estimateMs: 640, maxPerServer: 1 }],
        });
        expectThat(bystander.status === 200 && accepted.status === 200, "the jobs are not accepted");
        for (let second = 0; second < WATCHED_SECONDS; second++) {
            await pause(1_000);
            const { state } = await call(first, "GET", `/handover/${JOB}`);
            if (state === "failed" || state === "completed") {
                break;
            }
        }
        await call(second, "GET", `/handover/${BYSTANDER}`);
        const runs = workers.flatMap(worker => worker.runs).filter(({ task }) => task.startsWith(JOB));
        record("starts", { starts: runs.length });
        return judge(runs);
    },
});

/** Counts the starts of each task after three different workers have crashed under it. */
function judge(runs: readonly Run[]): Violations {
    const tasks = [...new Set(runs.map(({ task }) => task))];
    return tasks.flatMap(task => {
        const starts = runs.filter(run => run.task === task).sort((left, right) => left.startedAt - right.startedAt);
        const crashed = new Set<string>();
        let crashedAt = Infinity;
        for (const { endedAt = Infinity, how, worker } of starts) {
            if (how === "crashed" && crashed.size < CRASHES) {
                crashed.add(worker);
                crashedAt = crashed.size === CRASHES ? endedAt : Infinity;
            }
        }
        const further = starts.filter(({ startedAt }) => startedAt > crashedAt).length;
        return further >= FURTHER_STARTS
            ? [`${task} was started ${further} times more after ${CRASHES} workers had crashed under it`]
            : [];
    });
}
