/**
 * Fault: a job with many tasks ends each process that becomes the owner of the cell, one after the other.
 */
import { expectThat, runCase } from "../support-2/case.js";
import { HOST, POOL } from "../support-2/deployment.js";

const EARLIER_JOB = "5d81f0c6a3e7924b";
const LARGE_JOB = "e07b36d94ca1f852";
const PROCESSES = ["edge-1", "edge-2", "edge-3"];
const WORKERS = 6;
const LARGE_STEPS = 6;
/** The product's own limit for the tasks of a step. */
const LARGE_COUNT = 100_000;
/** A process is restarted this long after its end, as the platform does. */
const RESTART_MILLISECONDS = 500;
const WATCHED_MILLISECONDS = 70_000;
/** This many ends of a process by itself, on two machines, are a fault. */
const ENDS = 3;
const MACHINES = 2;

await runCase({
    routes: [{
        name: "guide-booking",
        host: HOST,
        prefix: "/booking/",
        service: POOL,
        priority: 2,
        maxAttempts: 3,
        stretchFactor: 2,
        targetLatencyMs: 1_000,
    }],
    async play({ addWorker, call, now, pause, processes, record, startProcess }, hasTrouble) {
        for (let index = 0; index < WORKERS; index++) {
            await addWorker(`worker-${index}`, { labels: ["a", "r1"], millicores: 32_000 });
        }
        for (const name of PROCESSES) {
            await startProcess(name);
        }
        await pause(3_000);
        const submit = async (id: string, steps: number, count: number): Promise<number> => {
            const [process] = processes;
            const body = {
                spec: JSON.stringify({ milliseconds: 2_200 }),
                steps: Array.from({ length: steps }, () => ({ count, cpu: 3_500, memMb: 6_400, estimateMs: 2_200 })),
            };
            return process === undefined ? 0 : (await call(process, "POST", `/booking/${id}`, body)).status;
        };
        expectThat(await submit(EARLIER_JOB, 1, 8) === 200, "the earlier job is not accepted");
        await pause(1_000);
        await submit(LARGE_JOB, hasTrouble ? LARGE_STEPS : 1, hasTrouble ? LARGE_COUNT : 8);
        const ends = new Map<string, number>();
        const isFault = (): boolean => [...ends.values()].filter(count => count >= ENDS).length >= MACHINES;
        const startedAt = now();
        let answers = 0;
        while (now() < startedAt + WATCHED_MILLISECONDS && !isFault()) {
            await pause(RESTART_MILLISECONDS);
            for (const process of [...processes]) {
                if (!process.isRunning()) {
                    ends.set(process.name, (ends.get(process.name) ?? 0) + 1);
                    await startProcess(process.name);
                }
            }
            const [process] = processes;
            const answer = process === undefined ? undefined : await call(process, "GET", `/booking/${EARLIER_JOB}`);
            answers += answer?.status === 200 ? 1 : 0;
            if (!hasTrouble && answer?.state === "completed" && now() > startedAt + 10_000) {
                break;
            }
        }
        record("ends", { ends: Object.fromEntries(ends), answers });
        return isFault()
            ? [`processes ended by themselves: ${
                JSON.stringify(Object.fromEntries(ends))
            }; ${answers} answers about the earlier job`]
            : [];
    },
});
