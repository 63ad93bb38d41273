/**
 * Goodput and latency from half of the capacity to four times of it, with shedding and without.
 */
import { runOpenLoad } from "../request/open.js";
import type { OpenLoadResult } from "../request/open.js";
import type { BenchProcesses } from "../request/processes.js";
import { waitUntilServing, withProcesses } from "../request/processes.js";
import { SERVICE } from "../request/sources.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { plotLatencies } from "../support/report/curves.js";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const FACTORS = [0.5, 1, 2, 4];
const HIGHEST_FACTOR = 4;
const UPSTREAMS = 2;
const PARALLEL = 8;
const WORK_MILLISECONDS = 40;
const CAPACITY_PER_SECOND = UPSTREAMS * PARALLEL * 1_000 / WORK_MILLISECONDS;
const DEADLINE_MILLISECONDS = 500;
const ANSWER_BYTES = 200;
const SMALLEST_SHARE_OF_PEAK = 0.9;
const DEFAULT_SECONDS = "6";
const LEARNING_MILLISECONDS = 2_000;

export const experiment: Experiment = {
    name: "overload",
    summary: "goodput from 0.5 to 4 times the capacity, with shedding and without",
    options: { seconds: { type: "string", default: DEFAULT_SECONDS } },
    run: async context => {
        const withShedding = await withProcesses(processes => measure(processes, true, context));
        const without = await withProcesses(processes => measure(processes, false, context));
        plotResults(withShedding, without, context);
        return compare(withShedding, without, Number(context.values["seconds"]));
    },
};

async function measure(
    processes: BenchProcesses,
    shedding: boolean,
    context: ExperimentContext,
): Promise<Map<number, OpenLoadResult>> {
    await processes.startUpstreams({
        upstreams: UPSTREAMS,
        connections: 64,
        answerBytes: ANSWER_BYTES,
        parallel: PARALLEL,
        workMilliseconds: WORK_MILLISECONDS,
    });
    const gateway = await processes.startGateway("entry-1", { request: { shedding } });
    const origin = gateway.announcement["callers"] ?? "";
    await waitUntilServing(origin, `/${SERVICE}/kits/17`);
    const load = {
        origins: () => [origin],
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        answerBytes: ANSWER_BYTES,
        method: "GET" as const,
    };
    await runOpenLoad({
        ...load,
        name: "learning",
        seed: context.seed,
        perSecond: CAPACITY_PER_SECOND / 2,
        durationMilliseconds: LEARNING_MILLISECONDS,
    });
    const results = new Map<number, OpenLoadResult>();
    for (const factor of FACTORS) {
        const result = await runOpenLoad({
            ...load,
            name: `times-${factor}`,
            seed: context.seed + factor,
            perSecond: CAPACITY_PER_SECOND * factor,
            durationMilliseconds: Number(context.values["seconds"]) * 1_000,
        });
        results.set(factor, result);
        const tail = Math.round(result.latency.getValueAtPercentile(99) / 1_000);
        context.progress(
            `shedding ${
                shedding ? "on" : "off"
            }, ${factor} times capacity: ${result.sent} sent, ${result.good} in time, `
                + `${result.late} late, ${result.notRun} not run, ${result.unknown} unknown, ${result.cut} cut, `
                + `p99 of answers ${tail} ms`,
        );
    }
    const facts = await processes.readFacts();
    context.progress(`upstreams ran ${facts.runs} requests, at most ${facts.peakConnections} connections on one`);
    return results;
}

function plotResults(
    results: ReadonlyMap<number, OpenLoadResult>,
    baseline: ReadonlyMap<number, OpenLoadResult>,
    context: ExperimentContext,
): void {
    const ways = [["shedding", results], ["no shedding", baseline]] as const;
    const seconds = Number(context.values["seconds"]);
    context.plot?.({
        name: "goodput",
        title: "Answers in time by offered load",
        xLabel: "offered load, times capacity",
        yLabel: "answers in time a second",
        series: ways.map(([name, all]) => ({
            name,
            points: [...all].map(([x, result]) => ({ x, y: result.good / seconds })),
        })),
    });
    context.plot?.(plotLatencies(
        "latency",
        `Latency of answers at ${HIGHEST_FACTOR} times the capacity`,
        ways.flatMap(([name, all]) => {
            const result = all.get(HIGHEST_FACTOR);
            return result === undefined ? [] : [{ name, histogram: result.latency }];
        }),
        MICROSECONDS_PER_MILLISECOND,
    ));
}

function compare(
    results: ReadonlyMap<number, OpenLoadResult>,
    baseline: ReadonlyMap<number, OpenLoadResult>,
    seconds: number,
): Check[] {
    const goodput = (all: ReadonlyMap<number, OpenLoadResult>, factor: number) =>
        (all.get(factor)?.good ?? 0) / seconds;
    const tail = (all: ReadonlyMap<number, OpenLoadResult>) =>
        Math.round((all.get(HIGHEST_FACTOR)?.latency.getValueAtPercentile(99) ?? 0) / 1_000);
    const shareOf = (all: ReadonlyMap<number, OpenLoadResult>) => {
        const peak = Math.max(...FACTORS.map(factor => goodput(all, factor)));
        return peak === 0 ? 0 : goodput(all, HIGHEST_FACTOR) / peak;
    };
    const doubtful = [...results.values()].reduce((sum, { unknown, cut }) => sum + unknown + cut, 0);
    const refused = [...results.values()].reduce((sum, { notRun }) => sum + notRun, 0);
    return [
        checkAtLeast(
            "goodput at 4 times capacity, as a share of the peak",
            shareOf(results),
            "of peak",
            SMALLEST_SHARE_OF_PEAK,
            shareOf(baseline),
        ),
        checkAtMost("p99 of answers at 4 times capacity", tail(results), "ms", DEADLINE_MILLISECONDS, tail(baseline)),
        checkAtLeast("requests refused as not run (opportunities)", refused, "requests", 1),
        checkAtMost(
            "requests without an answer or a refusal as not run",
            doubtful / [...results.values()].reduce((sum, { sent }) => sum + sent, 0),
            "of sent",
            0.01,
        ),
    ];
}
