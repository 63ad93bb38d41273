/**
 * LOST: most machines of the system are lost for good together with a worker. Those that are left pass the cell to and fro, and the
 * lasting tasks of the lost worker wait.
 */
import { expectThat, runCase } from "../support-2/case.js";
import { HOST, POOL } from "../support-2/deployment.js";

const JOB = "41c8d7f20b9e653a";
const PROCESSES = 9;
/** Machines that are left. */
const LEFT = 2;
const WORKERS = 8;
const TASKS = 8;
/** From this time after its last run on, a lasting task counts as not running. */
const REST_MILLISECONDS = 6_000;
/** It is lost when it does not run for this long, if this time and the four seconds before it are calm. */
const IDLE_MILLISECONDS = 3_000;
const WATCHED_MILLISECONDS = 30_000;

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
    }],
    async play({ addWorker, call, now, pause, processes, record, startProcess, workers }, hasTrouble) {
        for (let index = 0; index < WORKERS; index++) {
            await addWorker(`worker-${index}`, { labels: ["a", "r1"], millicores: 32_000 });
        }
        for (let index = 1; index <= PROCESSES; index++) {
            await startProcess(`edge-${index}`);
        }
        await pause(3_000);
        const [first] = processes;
        expectThat(first !== undefined, "no process runs");
        const accepted = first === undefined ? undefined : await call(first, "POST", `/watch/${JOB}`, {
            spec: JSON.stringify({}),
            steps: [{ count: TASKS, cpu: 6_400, memMb: 13_000, estimateMs: 500, longRunning: true }],
        });
        expectThat(accepted?.status === 200, "the job is not accepted");
        await pause(4_000);
        const runs = () => workers.flatMap(worker => worker.runs);
        expectThat(runs().filter(({ endedAt }) => endedAt === undefined).length === TASKS, "the tasks do not run");
        const isOwner = ({ events }: { readonly events: readonly { readonly event: string; }[]; }): boolean =>
            events.some(({ event }) => event === "cell-owned");
        const owners = processes.filter(isOwner);
        const others = processes.filter(process => !isOwner(process));
        const lost = [...owners, ...others].slice(0, PROCESSES - LEFT);
        if (hasTrouble) {
            record("lost", { processes: lost.map(({ name }) => name) });
            await Promise.all([
                workers.find(worker => worker.runs.length > 0)?.crash(),
                ...lost.map(process => process.kill()),
            ]);
        }
        const lostAt = now();
        await pause(WATCHED_MILLISECONDS);
        const handOvers = processes.filter(process => process.isRunning())
            .flatMap(({ events, name }) => events.filter(({ event }) => event === "cell-owned").map(() => name));
        record("hand-overs", { handOvers });
        const tasks = [...new Set(runs().map(({ task }) => task))];
        return tasks.flatMap(task => {
            const own = runs().filter(run => run.task === task);
            const endedAt = Math.min(...own.map(run => run.endedAt ?? Infinity));
            const nextAt = Math.min(now(), ...own.map(({ startedAt }) => startedAt).filter(at => at > endedAt));
            const idleMilliseconds = endedAt < Infinity ? nextAt - Math.max(endedAt, lostAt) : 0;
            return idleMilliseconds >= REST_MILLISECONDS + IDLE_MILLISECONDS
                ? [`lasting task ${task} did not run for ${Math.round(idleMilliseconds)} ms`]
                : [];
        });
    },
});
