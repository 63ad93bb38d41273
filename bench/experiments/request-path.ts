/**
 * Throughput and latency of the gateway against a plain forwarder and the direct path, side by side in one run.
 */
import type { Histogram } from "hdr-histogram-js";
import { createHistogram, runClosedLoad } from "../request/closed.js";
import type { BenchProcesses } from "../request/processes.js";
import { withProcesses } from "../request/processes.js";
import { SERVICE } from "../request/sources.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { plotLatencies } from "../support/report/curves.js";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const CALLERS = [64, 1_000];
const SMALLEST_RATIO = 1.2;
const ANSWER_BYTES = 200;
const WORKERS = 8;
const CONNECTIONS = 64;
const WARM_UP_MILLISECONDS = 1_500;
const DEFAULT_ROUNDS = "3";
const DEFAULT_ROUND_SECONDS = "3";

interface Target {
    readonly name: "direct" | "forwarder" | "gateway" | "gateway under express";
    readonly origin: string;
    readonly path: string;
}

interface Measured {
    answered: number;
    failed: number;
    rates: number[];
    readonly latency: Histogram;
}

export const experiment: Experiment = {
    name: "request-path",
    summary: "throughput and latency of the gateway against a plain forwarder",
    options: {
        rounds: { type: "string", default: DEFAULT_ROUNDS },
        seconds: { type: "string", default: DEFAULT_ROUND_SECONDS },
    },
    run: context =>
        withProcesses(async processes => {
            const targets = await startTargets(processes);
            return measure(targets, context, processes);
        }),
};

async function startTargets(processes: BenchProcesses): Promise<Target[]> {
    await processes.startUpstreams({
        upstreams: WORKERS,
        connections: CONNECTIONS,
        answerBytes: ANSWER_BYTES,
        parallel: CONNECTIONS,
        workMilliseconds: 0,
    });
    const forwarder = await processes.startForwarder();
    const gateway = await processes.startGateway("entry-1");
    const underExpress = await processes.startGateway("entry-2", { surface: "express" });
    const path = `/${SERVICE}/kits/17`;
    return [
        { name: "direct", origin: processes.workers()[0] ?? "", path: "/kits/17" },
        { name: "forwarder", origin: forwarder.announcement["callers"] ?? "", path: "/kits/17" },
        { name: "gateway", origin: gateway.announcement["callers"] ?? "", path },
        { name: "gateway under express", origin: underExpress.announcement["callers"] ?? "", path },
    ];
}

async function measure(
    targets: readonly Target[],
    context: ExperimentContext,
    processes: BenchProcesses,
): Promise<Check[]> {
    const checks: Check[] = [];
    for (const callers of CALLERS) {
        const results = await measureAll(targets, callers, context);
        for (const { name } of targets) {
            context.progress(`${callers} callers, ${describe(name, find(results, name))}`);
        }
        context.plot?.(plotLatencies(
            `latency-${callers}`,
            `Latency with ${callers} callers`,
            [...results].map(([name, { latency }]) => ({ name, histogram: latency })),
            MICROSECONDS_PER_MILLISECOND,
        ));
        checks.push(...compare(callers, find(results, "gateway"), find(results, "forwarder")));
    }
    const { peakConnections } = await processes.readFacts();
    checks.push(checkAtMost("most connections on one worker", peakConnections, "connections", CONNECTIONS));
    return checks;
}

/** Rounds go by turns, so that a slow moment of the machine meets all paths alike. */
async function measureAll(
    targets: readonly Target[],
    callers: number,
    { values }: ExperimentContext,
): Promise<Map<string, Measured>> {
    const results = new Map(targets.map(({ name }) => [
        name as string,
        { answered: 0, failed: 0, rates: [], latency: createHistogram() },
    ]));
    const durationMilliseconds = Number(values["seconds"]) * 1_000;
    for (const target of targets) {
        await runClosedLoad({ ...target, callers, durationMilliseconds: WARM_UP_MILLISECONDS, answerBytes: 0 });
    }
    for (let round = 0; round < Number(values["rounds"]); round += 1) {
        for (const target of targets) {
            const result = await runClosedLoad({ ...target, callers, durationMilliseconds, answerBytes: ANSWER_BYTES });
            const measured = find(results, target.name);
            measured.answered += result.answered;
            measured.failed += result.failed;
            measured.rates.push(result.perSecond);
            measured.latency.add(result.latency);
        }
    }
    return results;
}

function compare(callers: number, gateway: Measured, forwarder: Measured): Check[] {
    const rate = mean(gateway.rates);
    const baseline = mean(forwarder.rates);
    return [
        checkAtLeast(`throughput ratio, ${callers} callers`, rate / baseline, "of forwarder", SMALLEST_RATIO, 1),
        checkAtMost(`p99, ${callers} callers`, percentile(gateway, 99), "ms", percentile(forwarder, 99)),
        checkAtMost(`calls without a whole answer, ${callers} callers`, gateway.failed, "calls", 0, forwarder.failed),
    ];
}

function describe(name: string, measured: Measured): string {
    const rate = Math.round(mean(measured.rates));
    const [middle, tail] = [percentile(measured, 50), percentile(measured, 99)];
    return `${name}: ${rate} a second, p50 ${middle} ms, p99 ${tail} ms, ${measured.answered} whole, `
        + `${measured.failed} failed`;
}

function find(results: ReadonlyMap<string, Measured>, name: string): Measured {
    const found = results.get(name);
    if (found === undefined) {
        throw new Error(`no result of ${name}`);
    }
    return found;
}

function percentile(measured: Measured, percent: number): number {
    return Math.round(measured.latency.getValueAtPercentile(percent)) / 1_000;
}

function mean(figures: readonly number[]): number {
    return figures.reduce((sum, figure) => sum + figure, 0) / figures.length;
}
