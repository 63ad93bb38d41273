/**
 * Hours in small: today's sizes under steady traffic and edits; memory of each daemon has to stay flat.
 */
import { createRandom } from "../../src/core/random.js";
import { pause } from "../../src/core/time.js";
import { readUsage } from "../support/capacity/usage.js";
import { judgeAll } from "../support/checker/index.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { createOperators } from "../support/faults/operators.js";
import { services } from "../support/faults/rules.js";
import { runTraffic } from "../support/faults/traffic.js";
import { startWorld, waitUntil } from "../support/faults/world.js";
import type { World } from "../support/faults/world.js";
import type { PlotSeries } from "../support/report/plot.js";

const DEFAULT_SECONDS = "600";
const DEFAULT_INSTANCES = "9";
const DEFAULT_RATE = "60";
const SAMPLE_EVERY_MILLISECONDS = 5_000;
const PROGRESS_EVERY_SAMPLES = 12;
const READY_LIMIT_MILLISECONDS = 30_000;
const SCHEDULER_LIMIT_MEGABYTES = 128;
/** Growth from the second third of the run to the last that still counts as flat. */
const MOST_GROWTH_SHARE = 0.05;
const LEAST_ANSWERED_SHARE = 0.999;
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
    },
    run,
};

/** Resident memory of one daemon over the run, in megabytes. */
type Samples = Map<string, number[]>;

async function run(context: ExperimentContext): Promise<Check[]> {
    const world = await startWorld({
        seed: context.seed,
        deployment: context.values["deployment"] === "sumber-padi" ? "sumber-padi" : "tunturivalo",
        instances: Number(context.values["instances"]),
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
    await waitUntil(READY_LIMIT_MILLISECONDS, async () => {
        const { outcomes, sent } = await runTraffic(world, { ...probe, name: `probe-${Math.round(world.clock())}` });
        return outcomes.answered === sent;
    });
    world.calls.length = 0;
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
    const verdicts = judgeAll({
        calls: world.calls,
        workers: await world.readWorkerRecords(),
        operators: world.operators,
        exclusiveServices: [services.exclusive],
        endedAt: world.clock(),
    });
    context.plot?.({
        name: "memory",
        title: "Resident memory of each daemon",
        xLabel: "seconds",
        yLabel: "MB",
        series: plotMemory(samples),
    });
    return [
        ...verdicts.map(({ promise, violations }) => checkAtMost(promise, violations.length, "violations", 0)),
        checkAtLeast("answered", result.outcomes.answered / result.sent, "share", LEAST_ANSWERED_SHARE),
        ...judgeMemory(samples),
    ];
}

async function sampleMemory(
    world: World,
    samples: Samples,
    context: ExperimentContext,
    signal: AbortSignal,
): Promise<void> {
    for (let taken = 1; !signal.aborted; taken += 1) {
        for (const instance of world.deployment.instances) {
            for (const role of ["gateway", "scheduler"] as const) {
                const { residentBytes } = await readUsage(instance[role].pid);
                const name = `${instance.name}/${role}`;
                samples.set(name, [...samples.get(name) ?? [], residentBytes / BYTES_PER_MEGABYTE]);
            }
        }
        if (taken % PROGRESS_EVERY_SAMPLES === 0) {
            const latest = [...samples].map(([name, values]) => `${name} ${values.at(-1)?.toFixed(0) ?? ""}`);
            context.progress(`${taken * SAMPLE_EVERY_MILLISECONDS / 1_000} s, MB: ${latest.join(", ")}`);
        }
        await pause(SAMPLE_EVERY_MILLISECONDS, signal);
    }
}

/** The first instance's daemons stand for the others, which the checks look at all. */
function plotMemory(samples: Samples): PlotSeries[] {
    return [...samples].slice(0, PLOTTED_DAEMONS).map(([name, values]) => ({
        name,
        points: values.map((y, index) => ({ x: index * SAMPLE_EVERY_MILLISECONDS / 1_000, y })),
    }));
}

function judgeMemory(samples: Samples): Check[] {
    const schedulers = [...samples].filter(([name]) => name.endsWith("scheduler"));
    const gateways = [...samples].filter(([name]) => name.endsWith("gateway"));
    return [
        checkAtMost("largest scheduler", findLargest(schedulers), "MB", SCHEDULER_LIMIT_MEGABYTES),
        checkAtMost("most growth of a scheduler", findGrowth(schedulers), "share", MOST_GROWTH_SHARE),
        checkAtMost("most growth of a gateway", findGrowth(gateways), "share", MOST_GROWTH_SHARE),
    ];
}

function findLargest(samples: readonly (readonly [string, number[]])[]): number {
    return Number(Math.max(...samples.flatMap(([, values]) => values)).toFixed(1));
}

/** Compares the mean of the last third with that of the second; the first one is the warming up. */
function findGrowth(samples: readonly (readonly [string, number[]])[]): number {
    const growths = samples.map(([, values]) => {
        const third = Math.floor(values.length / 3);
        const before = mean(values.slice(third, 2 * third));
        return (mean(values.slice(2 * third)) - before) / before;
    });
    return Number(Math.max(...growths).toFixed(4));
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
