/**
 * Throughput and latency of the gateway against a plain forwarder and the direct path, side by side in one run.
 *
 * The gateway has all its guards; all paths get the same mix of calls. Throughput is held to the forwarder's over the
 * whole mix, and so is the tail of plain and exclusive calls. A keyed call waits for a write to the store, which the
 * forwarder does not make: its tail may be longer by the time that a grouped write may take.
 */
import { createKindResults, runClosedLoad } from "../request/closed.js";
import type { KindResult } from "../request/closed.js";
import { callKinds, mixDescription } from "../request/mix.js";
import type { Call, CallKind } from "../request/mix.js";
import type { BenchProcesses } from "../request/processes.js";
import { waitUntilServing, withProcesses } from "../request/processes.js";
import { EXCLUSIVE_SERVICE, SERVICE } from "../request/sources.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { plotLatencies } from "../support/report/curves.js";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const CALLERS = [64, 1_000];
const SMALLEST_RATIO = 1.2;
/**
 * Time that the grouped write before a keyed call may take: with 200 transactions a second one under way (5 ms) and the
 * call's own (5 ms), and 5 ms for a store that answers in milliseconds.
 */
const GROUPED_WRITE_MILLISECONDS = 15;
const ANSWER_BYTES = 200;
const WORKERS = 8;
const CONNECTIONS = 64;
const WARM_UP_MILLISECONDS = 1_500;
const DEFAULT_ROUNDS = "3";
const DEFAULT_ROUND_SECONDS = "3";

interface Target {
    readonly name: "direct" | "forwarder" | "gateway" | "gateway under express";
    readonly origin: string;
    readonly namePath: (call: Call) => string;
}

interface Measured {
    readonly rates: number[];
    readonly kinds: Readonly<Record<CallKind, KindResult>>;
}

export const experiment: Experiment = {
    name: "request-path",
    summary: "throughput and latency of the gateway with all guards against a plain forwarder, on a mix of calls",
    options: {
        rounds: { type: "string", default: DEFAULT_ROUNDS },
        seconds: { type: "string", default: DEFAULT_ROUND_SECONDS },
    },
    run: context =>
        withProcesses(async processes => {
            context.progress(`mix: ${mixDescription}`);
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
    const nameOwnPath = ({ path }: Call) => path;
    return [
        { name: "direct", origin: processes.workers()[0] ?? "", namePath: nameOwnPath },
        { name: "forwarder", origin: forwarder.announcement["callers"] ?? "", namePath: nameOwnPath },
        await startGatewayTarget(processes, "gateway"),
        await startGatewayTarget(processes, "gateway under express"),
    ];
}

/** Each gateway has a platform of its own, so that it holds all exclusive keys itself. */
async function startGatewayTarget(
    processes: BenchProcesses,
    name: "gateway" | "gateway under express",
): Promise<Target> {
    await processes.startPlatform();
    const surface = name === "gateway" ? "plain" : "express";
    const gateway = await processes.startGateway(`entry-${surface}`, { surface });
    const origin = gateway.announcement["callers"] ?? "";
    await waitUntilServing(origin, `/${EXCLUSIVE_SERVICE}/kits/17`);
    await waitUntilServing(origin, `/${SERVICE}/kits/17`, { "idempotency-key": "first" });
    return { name, origin, namePath: ({ path, service }) => `/${service}${path}` };
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
            describe(name, find(results, name)).forEach(line => context.progress(`${callers} callers, ${line}`));
        }
        context.plot?.(plotLatencies(
            `latency-${callers}`,
            `Latency of plain calls with ${callers} callers`,
            [...results].map(([name, { kinds }]) => ({ name, histogram: kinds.plain.latency })),
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
    { seed, values }: ExperimentContext,
): Promise<Map<string, Measured>> {
    const results = new Map(targets.map(({ name }): [string, Measured] => [
        name,
        { rates: [], kinds: createKindResults() },
    ]));
    const load = { callers, answerBytes: ANSWER_BYTES };
    for (const target of targets) {
        await runClosedLoad({ ...load, ...target, seed, durationMilliseconds: WARM_UP_MILLISECONDS });
    }
    const durationMilliseconds = Number(values["seconds"]) * 1_000;
    for (let round = 0; round < Number(values["rounds"]); round += 1) {
        for (const target of targets) {
            const result = await runClosedLoad({ ...load, ...target, seed: seed + round, durationMilliseconds });
            const measured = find(results, target.name);
            measured.rates.push(result.perSecond);
            callKinds.forEach(kind => addTo(measured.kinds[kind], result.kinds[kind]));
        }
    }
    return results;
}

function addTo(sum: KindResult, one: KindResult): void {
    sum.answered += one.answered;
    sum.failed += one.failed;
    sum.latency.add(one.latency);
    one.failures.forEach((count, reason) => sum.failures.set(reason, (sum.failures.get(reason) ?? 0) + count));
}

function compare(callers: number, gateway: Measured, forwarder: Measured): Check[] {
    const ratio = mean(gateway.rates) / mean(forwarder.rates);
    return [
        checkAtLeast(`throughput ratio, ${callers} callers`, ratio, "of forwarder", SMALLEST_RATIO, 1),
        ...callKinds.flatMap(kind => compareKind(kind, callers, gateway.kinds[kind], forwarder.kinds[kind])),
    ];
}

function compareKind(kind: CallKind, callers: number, gateway: KindResult, forwarder: KindResult): Check[] {
    const baseline = percentile(forwarder, 99);
    const bound = kind === "keyed" ? baseline + GROUPED_WRITE_MILLISECONDS : baseline;
    return [
        checkAtMost(`p99 of ${kind} calls, ${callers} callers`, percentile(gateway, 99), "ms", bound, baseline),
        checkAtMost(
            `${kind} calls without a whole answer, ${callers} callers`,
            gateway.failed,
            "calls",
            0,
            forwarder.failed,
        ),
    ];
}

function describe(name: string, measured: Measured): string[] {
    return [
        `${name}: ${Math.round(mean(measured.rates))} a second`,
        ...callKinds.map(kind => `${name}, ${kind}: ${describeKind(measured.kinds[kind])}`),
    ];
}

function describeKind(result: KindResult): string {
    const reasons = [...result.failures].map(([reason, count]) => `${reason} ${count}`).join(", ");
    return `p50 ${percentile(result, 50)} ms, p99 ${percentile(result, 99)} ms, ${result.answered} whole, `
        + `${result.failed} failed${reasons === "" ? "" : ` (${reasons})`}`;
}

function find(results: ReadonlyMap<string, Measured>, name: string): Measured {
    const found = results.get(name);
    if (found === undefined) {
        throw new Error(`no result of ${name}`);
    }
    return found;
}

function percentile(result: KindResult, percent: number): number {
    return Math.round(result.latency.getValueAtPercentile(percent)) / 1_000;
}

function mean(figures: readonly number[]): number {
    return figures.reduce((sum, figure) => sum + figure, 0) / figures.length;
}
