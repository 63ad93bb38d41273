/**
 * A task crashes each worker that runs it, two seconds after its start. It is started without end.
 */
import { setTimeout as delay } from "node:timers/promises";
import { runCase, waitUntil } from "../support/run-case.js";

const JOB = "dead1e55dead1e55";
/** Time from the start of the task to the crash, as of a task that uses up the worker's memory. */
const CRASH_MILLISECONDS = 2_000;
/** The rule counts starts after this many workers have crashed, and allows fewer than this many of them. */
const CRASHES = 3;
const FURTHER_STARTS = 3;
const PLAY_MILLISECONDS = 50_000;

const isTroubled = process.env["TROUBLE"] !== "0";

void runCase({
    folder: "review/trials",
    options: {
        workers: 5,
        behave: () =>
            isTroubled
                ? { kind: "crashes", milliseconds: CRASH_MILLISECONDS }
                : { kind: "ends", how: "done", milliseconds: CRASH_MILLISECONDS },
    },
    async play(deployment, recorder) {
        const first = await deployment.startInstance("edge-1");
        await deployment.startInstance("edge-2");
        await waitUntil("an owner", 10_000, () => deployment.owner() !== undefined);
        await delay(1_000);
        const accepted = await deployment.call(first, "POST", JOB, {
            spec: "recon",
            steps: [{ count: 1, cpu: 3_500, memMb: 6_400, estimateMs: CRASH_MILLISECONDS }],
        });
        if (accepted.status !== 200) {
            throw new Error(`the job was not accepted: ${accepted.status}`);
        }
        const startedAt = performance.now();
        while (performance.now() - startedAt < PLAY_MILLISECONDS) {
            await delay(5_000);
            const shown = await deployment.call(first, "GET", JOB);
            if (shown.state !== "queued" && shown.state !== "in_progress") {
                break;
            }
        }
        const runs = deployment.runs();
        const crashed = runs.filter(({ how }) => how === "crashed");
        const third = crashed[CRASHES - 1]?.endedAt ?? Infinity;
        const further = runs.filter(run => run.startedAt > third).length;
        recorder.write("summary", {
            starts: runs.length,
            crashes: crashed.length,
            crashedWorkers: new Set(crashed.map(({ worker }) => worker)).size,
            startsAfterThirdCrash: further,
        });
        return further >= FURTHER_STARTS
            ? [`${JOB}.0.0.0 was started ${further} times more after three workers had crashed under it`]
            : [];
    },
});
