/**
 * The only instance left is killed and restarted while the store executes some writes late. If its claim of the cell is one
 * of these, it repeats the claim with a lease that has ended, for ever.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { Deployment, Instance } from "../support/deployment.js";
import { runCase, waitUntil } from "../support/run-case.js";

const JOB = "1f00ba5e1f00ba5e";
/** `platform_lost` of the site: a share of 0.35 of the writes for 4.5 s, executed 1 to 6 s later. */
const LOST_SHARE = 0.35;
const LOST_MILLISECONDS = 4_500;
const EARLIEST_MILLISECONDS = 1_000;
const LATEST_MILLISECONDS = 6_000;
/** `recoveryS` and `finish_s` of the site. */
const RECOVERY_MILLISECONDS = 12_000;
const FINISH_MILLISECONDS = 14_000;
const RESTART_MILLISECONDS = 300;
/** Time after which no further round begins, so that the last one can be judged. */
const ROUNDS_MILLISECONDS = 75_000;

const isWrite = (method: string, path: string): boolean =>
    path === "/kv-txn" || path === "/kv-lease" || method === "DELETE";

async function isAnswered(deployment: Deployment, instance: Instance): Promise<boolean> {
    return (await deployment.call(instance, "GET", JOB)).status === 200;
}

/** Asks until the time has passed; whether the last answer was one. */
async function askUntil(deployment: Deployment, instance: Instance, until: number): Promise<boolean> {
    for (;;) {
        if (await isAnswered(deployment, instance)) {
            return true;
        }
        if (performance.now() >= until) {
            return false;
        }
        await delay(500);
    }
}

void runCase({
    folder: "review/4",
    options: {
        workers: 2,
        behave: () => ({ kind: "lasts" }),
    },
    async play(deployment, recorder, isTroubled) {
        let instance = await deployment.startInstance("edge-1");
        const lost = await deployment.startInstance("edge-2");
        await waitUntil("an owner", 10_000, () => deployment.owner() !== undefined);
        recorder.write("machine-lost", { instance: lost.name, note: "for good; in the run without trouble, too" });
        await lost.kill();
        await waitUntil("the remaining instance as owner", 20_000, () => deployment.owner() === instance.name);
        await delay(8_000);
        const accepted = await deployment.call(instance, "POST", JOB, {
            spec: "tally",
            steps: [{ count: 2, cpu: 6_400, memMb: 13_000, estimateMs: 500, longRunning: true }],
        });
        if (accepted.status !== 200) {
            throw new Error(`the job was not accepted: ${accepted.status}`);
        }
        const startedAt = performance.now();
        for (let round = 1; performance.now() - startedAt < ROUNDS_MILLISECONDS; round++) {
            await delay(3_000);
            const endsAt = performance.now() + LOST_MILLISECONDS;
            recorder.write("round", { round });
            if (isTroubled) {
                deployment.store.fault = (method, path, keys) => {
                    const isLost = performance.now() < endsAt && isWrite(method, path) && Math.random() < LOST_SHARE;
                    const span = LATEST_MILLISECONDS - EARLIEST_MILLISECONDS;
                    if (isLost) {
                        recorder.write("write-late", { method, path, keys });
                    }
                    return isLost
                        ? { kind: "late", milliseconds: EARLIEST_MILLISECONDS + Math.random() * span }
                        : { kind: "none" };
                };
            }
            await instance.kill();
            await delay(RESTART_MILLISECONDS);
            instance = await deployment.startInstance("edge-1");
            await delay(Math.max(0, endsAt - performance.now()));
            recorder.write("store-sound");
            if (await askUntil(deployment, instance, endsAt + Math.max(RECOVERY_MILLISECONDS, FINISH_MILLISECONDS))) {
                continue;
            }
            await delay(3_000);
            if (!await isAnswered(deployment, instance)) {
                const seconds = ((performance.now() - endsAt) / 1_000).toFixed(1);
                return [
                    `job ${JOB}, which was accepted, has no answer ${seconds} s after the last disturbance (round ${round}), `
                    + `and nothing of it runs: ${
                        deployment.runs().filter(({ endedAt }) => endedAt === undefined).length
                    } runs`,
                ];
            }
        }
        return [];
    },
});
