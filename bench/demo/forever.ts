/**
 * The demo until Ctrl-C: a line a second on what happens.
 */
import { pause } from "../../src/core/time.js";
import type { CallOutcome } from "../support/load.js";
import type { Demo } from "./open.js";
import { isFinishedBatch, isRunning, readTasks } from "./tasks.js";
import { runTraffic } from "./traffic.js";

const LINE_MILLISECONDS = 1_000;
const A_LONG_TIME_MILLISECONDS = 86_400_000;

/** Runs until a signal comes, stops gracefully and gives the exit code. */
export async function runForever(demo: Demo): Promise<number> {
    const stopping = new AbortController();
    process.once("SIGINT", () => stopping.abort());
    process.once("SIGTERM", () => stopping.abort());
    const counts = new Map<CallOutcome, number>();
    const traffic = runTraffic(demo, {
        durationMilliseconds: A_LONG_TIME_MILLISECONDS,
        signal: stopping.signal,
        onRecord: ({ outcome }) => counts.set(outcome, (counts.get(outcome) ?? 0) + 1),
    });
    while (!stopping.signal.aborted) {
        await printLine(demo, counts);
        await pause(LINE_MILLISECONDS, stopping.signal);
    }
    await traffic;
    const outcomes = await demo.deployment.stop();
    const bad = outcomes.filter(outcome => outcome.exit !== 0);
    console.log(bad.length === 0 ? "stopped" : `stopped badly: ${JSON.stringify(bad)}`);
    return bad.length === 0 ? 0 : 1;
}

async function printLine(demo: Demo, counts: ReadonlyMap<CallOutcome, number>): Promise<void> {
    const tasks = await readTasks(demo);
    const requests = [...counts].map(([outcome, count]) => `${outcome} ${count}`).join(", ");
    console.log(
        `${new Date().toISOString()} tasks running ${tasks.filter(isRunning).length}, `
            + `batch finished ${tasks.filter(isFinishedBatch).length}, requests: ${requests || "none"}`,
    );
}
