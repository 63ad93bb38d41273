/**
 * Most machines of the system are lost for good together with a worker. The instances that are left pass the cell to and fro, and
 * the tasks of the lost worker wait.
 */
import { setTimeout as delay } from "node:timers/promises";
import { runCase, waitUntil } from "../support/run-case.js";

const INSTANCES = 9;
/** Instances that are left; and whether a worker is lost, too. */
const LEFT = Number(process.env["LEFT"] ?? "2");
const LOSES_WORKER = process.env["WORKER"] !== "0";
const JOB = "1501a7ed1501a7ed";
/** LOST holds for a task that lasts from 6 s after its last run, for 3 s, if these and the 4 s before them are calm. */
const IDLE_MILLISECONDS = 9_000;
const JUDGED_MILLISECONDS = 30_000;

void runCase({
    folder: "review/trials",
    options: { workers: 4, behave: () => ({ kind: "lasts" }) },
    async play(deployment, recorder, isTroubled) {
        const instances = [];
        for (let index = 1; index <= INSTANCES; index++) {
            instances.push(await deployment.startInstance(`edge-${index}`));
        }
        await waitUntil("an owner", 10_000, () => deployment.owner() !== undefined);
        await delay(3_000);
        const [first] = instances;
        const steps = [{ count: 4, cpu: 12_000, memMb: 13_000, estimateMs: 500, longRunning: true }];
        const accepted = first === undefined
            ? undefined
            : await deployment.call(first, "POST", JOB, { spec: "tally", steps });
        if (accepted?.status !== 200) {
            throw new Error("the job was not accepted");
        }
        await delay(4_000);
        const owner = deployment.owner();
        const lost = instances.filter(({ name }) => name === owner)
            .concat(instances.filter(({ name }) => name !== owner).slice(0, INSTANCES - LEFT - 1));
        const lostWorker = deployment.runs()[0]?.worker;
        if (isTroubled) {
            recorder.write("lost", { instances: lost.map(({ name }) => name), worker: lostWorker });
            if (LOSES_WORKER) {
                void deployment.workers.find(({ id }) => id === lostWorker)?.losePower(600_000);
            }
            await Promise.all(lost.map(instance => instance.kill()));
        }
        const lostAt = performance.now();
        let owners = "";
        while (performance.now() - lostAt < JUDGED_MILLISECONDS) {
            await delay(100);
            const now = deployment.owner() ?? "none";
            if (!owners.endsWith(now)) {
                owners += ` ${Math.round(performance.now() - lostAt)}:${now}`;
            }
        }
        recorder.write("owners", { owners });
        const runs = deployment.runs();
        const breaches: string[] = [];
        for (const task of new Set(runs.map(run => run.task))) {
            const own = runs.filter(run => run.task === task);
            own.forEach((run, index) => {
                const until = own[index + 1]?.startedAt ?? performance.now();
                const idle = run.endedAt === undefined ? 0 : until - run.endedAt;
                recorder.write("idle", { task, worker: run.worker, how: run.how, milliseconds: Math.round(idle) });
                if (idle >= IDLE_MILLISECONDS) {
                    breaches.push(`${task} has not run for ${(idle / 1_000).toFixed(1)} s`);
                }
            });
        }
        return breaches;
    },
});
