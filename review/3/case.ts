/**
 * The owner's machine is lost while the store executes some writes late. If the claim of the instance that is left is one of
 * these, it repeats the claim with a lease that has ended, for ever.
 */
import { setTimeout as delay } from "node:timers/promises";
import type { Deployment, Instance } from "../support/deployment.js";
import type { Recorder } from "../support/record.js";
import { runCase, waitUntil } from "../support/run-case.js";

const JOB = "1f00ba5e1f00ba5e";
/** `platform_lost` of the site: a share of 0.35 of the writes for 4.5 s, executed 1 to 6 s later. */
const LOST_SHARE = 0.35;
const LOST_MILLISECONDS = 4_500;
const EARLIEST_MILLISECONDS = 1_000;
const LATEST_MILLISECONDS = 6_000;
/** `finish_s` of the site, and the time for which LOST allows a job to have nothing running. */
const FINISH_MILLISECONDS = 14_000;
const IDLE_MILLISECONDS = 3_000;
const CALM_MILLISECONDS = 3_000;
/** Time after which no further round begins, so that the last one can be judged. */
const ROUNDS_MILLISECONDS = 80_000;

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

/** Has the store lose answers of writes, and execute these late, until the given time. */
function loseWrites({ store }: Deployment, recorder: Recorder, until: number): void {
    store.fault = (method, path, keys) => {
        if (performance.now() >= until || !isWrite(method, path) || Math.random() >= LOST_SHARE) {
            return { kind: "none" };
        }
        recorder.write("write-late", { method, path, keys });
        const span = LATEST_MILLISECONDS - EARLIEST_MILLISECONDS;
        return { kind: "late", milliseconds: EARLIEST_MILLISECONDS + Math.random() * span };
    };
}

void runCase({
    folder: "review/3",
    options: {
        workers: 2,
        behave: () => ({ kind: "lasts" }),
    },
    async play(deployment, recorder, isTroubled) {
        const instances = [await deployment.startInstance("edge-1"), await deployment.startInstance("edge-2")];
        await waitUntil("an owner", 10_000, () => deployment.owner() !== undefined);
        await delay(1_000);
        const [first] = instances;
        const accepted = first === undefined ? undefined : await deployment.call(first, "POST", JOB, {
            spec: "tally",
            steps: [{ count: 2, cpu: 6_400, memMb: 13_000, estimateMs: 500, longRunning: true }],
        });
        if (accepted?.status !== 200) {
            throw new Error("the job was not accepted");
        }
        const startedAt = performance.now();
        for (let round = 1; performance.now() - startedAt < ROUNDS_MILLISECONDS; round++) {
            await delay(CALM_MILLISECONDS);
            const lost = instances.find(({ name }) => name === deployment.owner());
            const left = instances.find(instance => instance !== lost);
            if (lost === undefined || left === undefined) {
                throw new Error("there is no owner in a calm moment");
            }
            const endsAt = performance.now() + LOST_MILLISECONDS;
            recorder.write("round", { round, lost: lost.name, left: left.name });
            if (isTroubled) {
                loseWrites(deployment, recorder, endsAt);
            }
            await lost.kill();
            await delay(Math.max(0, endsAt - performance.now()));
            recorder.write("store-sound");
            if (!await askUntil(deployment, left, endsAt + FINISH_MILLISECONDS)) {
                await delay(IDLE_MILLISECONDS);
                if (!await isAnswered(deployment, left)) {
                    const running = deployment.runs().filter(({ endedAt }) => endedAt === undefined).length;
                    return [
                        `job ${JOB}, which was accepted, has no answer ${
                            ((performance.now() - endsAt) / 1_000).toFixed(1)
                        } s after the store has become sound (round ${round}), and ${running} of its 2 tasks run`,
                    ];
                }
            }
            // Another machine takes the place of the lost one.
            instances[instances.indexOf(lost)] = await deployment.startInstance(lost.name);
        }
        return [];
    },
});
