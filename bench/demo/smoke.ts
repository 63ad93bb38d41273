/**
 * The whole path once, with checks: answers whole and the callers' own, batch work finished, nothing run twice, nothing
 * cut off by the stop.
 */
import { readFile } from "node:fs/promises";
import { pause } from "../../src/core/time.js";
import { createDeploymentOperator } from "../../stand-ins/operator.js";
import { WorkerRecord } from "../../stand-ins/worker/record.js";
import type { CallOutcome, LoadResult } from "../support/load.js";
import type { Demo } from "./open.js";
import { countBatchTasks, listServices } from "./rules.js";
import { isRunning, readTasks } from "./tasks.js";
import { runTraffic } from "./traffic.js";

const PLACED_LIMIT_MILLISECONDS = 8_000;
const FINISHED_LIMIT_MILLISECONDS = 8_000;
const TRAFFIC_MILLISECONDS = 4_000;
const POLL_MILLISECONDS = 100;

/** Outcomes that no caller may see while nothing fails. */
const FAILED_OUTCOMES: readonly CallOutcome[] = ["unknown", "wrong", "partial", "cut", "refused", "error"];

/** Runs the checks, prints the summary and gives the exit code. */
export async function runSmoke(demo: Demo): Promise<number> {
    const services = await listServices(demo);
    const placed = await waitFor(PLACED_LIMIT_MILLISECONDS, async () => {
        const running = (await readTasks(demo)).filter(isRunning);
        return services.every(service => running.some(task => task.rule === service));
    });
    const reachable = await createDeploymentOperator(demo.deployment).waitForAnswers(services).then(
        () => true,
        () => false,
    );
    const details: Record<string, number> = {};
    const result = await runTraffic(demo, {
        durationMilliseconds: TRAFFIC_MILLISECONDS,
        onRecord: ({ outcome, service, detail }) => {
            if (outcome !== "answered") {
                const name = `${service}: ${outcome} ${detail}`;
                details[name] = (details[name] ?? 0) + 1;
            }
        },
    });
    const batchFinished = await waitForBatch(demo);
    const stops = await demo.deployment.stop();
    const records = await readRecords(demo);
    const summary = {
        deployment: demo.options.deployment,
        instances: demo.options.instances,
        workers: demo.deployment.workers.length,
        allServicesPlaced: placed,
        allServicesReachable: reachable,
        requestsSent: result.sent,
        requestsAnswered: result.outcomes.answered,
        requestsRefused: result.outcomes["not-run"],
        requestsFailed: FAILED_OUTCOMES.reduce((total, outcome) => total + result.outcomes[outcome], 0),
        outcomes: result.outcomes,
        details,
        batchTasksExpected: batchFinished.expected,
        batchTasksFinished: batchFinished.finished,
        doubleRuns: countDoubleRuns(records),
        evictions: records.filter(record => record.event === "attempt-ended" && record.checkpointed).length,
        stoppedBadly: stops.filter(stop => stop.exit !== 0).map(stop => stop.name),
    };
    const passed = judge(summary, result);
    console.log(JSON.stringify({ ...summary, passed }));
    return passed ? 0 : 1;
}

function judge(
    summary: {
        readonly allServicesPlaced: boolean;
        readonly allServicesReachable: boolean;
        readonly requestsFailed: number;
        readonly batchTasksExpected: number;
        readonly batchTasksFinished: number;
        readonly doubleRuns: number;
        readonly evictions: number;
        readonly stoppedBadly: readonly string[];
    },
    result: LoadResult,
): boolean {
    return summary.allServicesPlaced
        && summary.allServicesReachable
        && result.sent > 0
        && result.outcomes.answered === result.sent
        && summary.requestsFailed === 0
        && summary.batchTasksExpected > 0
        && summary.batchTasksFinished === summary.batchTasksExpected
        && summary.doubleRuns === 0
        && summary.evictions === 0
        && summary.stoppedBadly.length === 0;
}

async function waitFor(limitMilliseconds: number, holds: () => Promise<boolean>): Promise<boolean> {
    const limit = AbortSignal.timeout(limitMilliseconds);
    while (!limit.aborted) {
        if (await holds()) {
            return true;
        }
        await pause(POLL_MILLISECONDS);
    }
    return false;
}

/** Waits until the tasks of all batch rules that run once have finished. */
async function waitForBatch(demo: Demo): Promise<{ expected: number; finished: number; }> {
    const expected = await countBatchTasks(demo);
    let finished = 0;
    await waitFor(FINISHED_LIMIT_MILLISECONDS, async () => {
        finished = (await readRecords(demo)).filter(isFinishedRun).length;
        return finished >= expected;
    });
    return { expected, finished };
}

function isFinishedRun(record: WorkerRecord): boolean {
    return record.event === "attempt-ended" && record.state === "finished" && record.taskId.includes("@once/");
}

async function readRecords(demo: Demo): Promise<WorkerRecord[]> {
    const text = await readFile(demo.recordFile, "utf8");
    return text.split("\n").filter(line => line !== "").map(line => WorkerRecord.parse(JSON.parse(line)));
}

/** Counts calls and batch attempts that workers ran more than once. */
function countDoubleRuns(records: readonly WorkerRecord[]): number {
    const runs = new Map<string, number>();
    for (const record of records) {
        const name = nameRun(record);
        if (name !== undefined) {
            runs.set(name, (runs.get(name) ?? 0) + 1);
        }
    }
    return [...runs.values()].filter(count => count > 1).length;
}

function nameRun(record: WorkerRecord): string | undefined {
    switch (record.event) {
        case "request-started":
            return record.method === "POST" ? `request ${record.call}` : undefined;
        case "attempt-started":
            return `task ${record.taskId}`;
        default:
            return undefined;
    }
}
