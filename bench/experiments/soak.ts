/**
 * Hours in small: today's sizes under steady traffic and edits; memory of each daemon has to stay flat.
 */
import { createRandom } from "../../src/core/random.js";
import { pause } from "../../src/core/time.js";
import { readUsage } from "../support/capacity/usage.js";
import { describeVerdict, judgeAll } from "../support/checker/index.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { createOperators } from "../support/faults/operators.js";
import { plotLatency } from "../support/faults/plots.js";
import { services } from "../support/faults/rules.js";
import { runTraffic } from "../support/faults/traffic.js";
import { startWorld, waitUntil } from "../support/faults/world.js";
import type { World } from "../support/faults/world.js";
import { findTrend, MEMORY_LIMIT_MEGABYTES, MOST_GROWTH_MEGABYTES_PER_HOUR } from "../support/memory.js";
import type { MemorySample, MemoryTrend } from "../support/memory.js";
import type { PlotSeries } from "../support/report/plot.js";

const DEFAULT_SECONDS = "600";
const DEFAULT_INSTANCES = "9";
const DEFAULT_RATE = "60";
const SAMPLE_EVERY_MILLISECONDS = 5_000;
const PROGRESS_EVERY_SAMPLES = 12;
const READY_LIMIT_MILLISECONDS = 30_000;
const LEAST_ANSWERED_SHARE = 0.999;
const RECORD_DELAY_MILLISECONDS = 1_000;
const PLOTTED_DAEMONS = 6;
const BYTES_PER_MEGABYTE = 1_048_576;

export const experiment: Experiment = {
    name: "soak",
    summary: "today's sizes under steady traffic and edits; memory of each daemon stays flat",
    options: {
        seconds: { type: "string", default: DEFAULT_SECONDS },
        instances: { type: "string", default: DEFAULT_INSTANCES },
        rate: { type: "string", default: DEFAULT_RATE },
        deployment: { type: "string", default: "tunturivalo" },
        workers: { type: "string" },
        // By default the daemons run as operators are told to run them.
        "node-flags": { type: "string" },
    },
    run,
};

/** Resident memory of each daemon over the run. */
type Samples = Map<string, MemorySample[]>;

async function run(context: ExperimentContext): Promise<Check[]> {
    const world = await startWorld({
        seed: context.seed,
        deployment: context.values["deployment"] === "sumber-padi" ? "sumber-padi" : "tunturivalo",
        instances: Number(context.values["instances"]),
        ...(typeof context.values["workers"] === "string"
            ? { workersPerDataCentre: Number(context.values["workers"]) }
            : {}),
        ...(typeof context.values["node-flags"] === "string"
            ? { nodeFlags: context.values["node-flags"].split(" ") }
            : {}),
        workers: { profiles: { [services.exclusive]: { requestMilliseconds: 10 } } },
    });
    try {
        return await runWorld(world, context);
    }
    finally {
        await world.close();
    }
}

async function runWorld(world: World, context: ExperimentContext): Promise<Check[]> {
    const operators = createOperators(world, createRandom(context.seed));
    await operators.begin();
    const callsPerSecond = Number(context.values["rate"]);
    const probe = { name: "probe", seed: context.seed, callsPerSecond, durationMilliseconds: 500 };
    const isReady = await waitUntil(READY_LIMIT_MILLISECONDS, async () => {
        const { outcomes, sent } = await runTraffic(world, { ...probe, name: `probe-${Math.round(world.clock())}` });
        return outcomes.answered === sent;
    });
    if (!isReady) {
        throw new Error("the deployment does not answer");
    }
    const stop = new AbortController();
    const samples: Samples = new Map();
    const work = Promise.all([
        operators.edit(stop.signal),
        operators.look(stop.signal),
        sampleMemory(world, samples, context, stop.signal),
    ]);
    const durationMilliseconds = Number(context.values["seconds"]) * 1_000;
    const result = await runTraffic(world, { ...probe, name: "call", durationMilliseconds });
    stop.abort();
    await work;
    // The workers' log is written with a delay.
    await pause(RECORD_DELAY_MILLISECONDS);
    const verdicts = judgeAll({
        calls: world.calls,
        workers: await world.readWorkerRecords(),
        operators: world.operators,
        exclusiveServices: [services.exclusive],
        endedAt: world.clock(),
    });
    verdicts.flatMap(describeVerdict).forEach(line => context.progress(line));
    context.plot?.(plotLatency(world.calls));
    context.plot?.({
        name: "memory",
        title: "Resident memory of each daemon",
        xLabel: "seconds",
        yLabel: "MB",
        series: plotMemory(samples),
    });
    return [
        ...verdicts.map(({ promise, violations }) => checkAtMost(promise, violations.length, "violations", 0)),
        checkAtLeast(
            "answered",
            Number((result.outcomes.answered / Math.max(1, result.sent)).toFixed(5)),
            "share",
            LEAST_ANSWERED_SHARE,
        ),
        ...judgeMemory(samples),
    ];
}

async function sampleMemory(
    world: World,
    samples: Samples,
    context: ExperimentContext,
    signal: AbortSignal,
): Promise<void> {
    const startedAt = world.clock();
    for (let taken = 1; !signal.aborted; taken += 1) {
        const atSeconds = (world.clock() - startedAt) / 1_000;
        for (const instance of world.deployment.instances) {
            for (const role of ["gateway", "scheduler"] as const) {
                const { residentBytes } = await readUsage(instance[role].pid);
                const name = `${instance.name}/${role}`;
                const sample = { atSeconds, megabytes: residentBytes / BYTES_PER_MEGABYTE };
                samples.set(name, [...samples.get(name) ?? [], sample]);
            }
        }
        if (taken % PROGRESS_EVERY_SAMPLES === 0) {
            const latest = [...samples].map(([name, values]) => `${name} ${values.at(-1)?.megabytes.toFixed(0) ?? ""}`);
            context.progress(`${atSeconds.toFixed(0)} s, MB: ${latest.join(", ")}`);
        }
        await pause(SAMPLE_EVERY_MILLISECONDS, signal);
    }
}

/** The first instance's daemons stand for the others, which the checks look at all. */
function plotMemory(samples: Samples): PlotSeries[] {
    return [...samples].slice(0, PLOTTED_DAEMONS).map(([name, values]) => ({
        name,
        points: values.map(({ atSeconds, megabytes }) => ({ x: atSeconds, y: megabytes })),
    }));
}

function judgeMemory(samples: Samples): Check[] {
    const trendsOf = (role: string) =>
        [...samples].filter(([name]) => name.endsWith(role)).map(([, values]) => findTrend(values));
    const schedulers = trendsOf("scheduler");
    const gateways = trendsOf("gateway");
    const most = (trends: readonly MemoryTrend[], read: (trend: MemoryTrend) => number) =>
        Number(Math.max(...trends.map(read)).toFixed(1));
    const largest = (trend: MemoryTrend) => trend.largestMegabytes;
    const later = (trend: MemoryTrend) => trend.afterAnHourMegabytes;
    const growth = (trend: MemoryTrend) => trend.growthMegabytesPerHour;
    return [
        checkAtMost("largest scheduler", most(schedulers, largest), "MB", MEMORY_LIMIT_MEGABYTES),
        checkAtMost("largest scheduler an hour later", most(schedulers, later), "MB", MEMORY_LIMIT_MEGABYTES),
        checkAtMost("growth of a scheduler", most(schedulers, growth), "MB an hour", MOST_GROWTH_MEGABYTES_PER_HOUR),
        checkAtMost("growth of a gateway", most(gateways, growth), "MB an hour", MOST_GROWTH_MEGABYTES_PER_HOUR),
    ];
}
