/**
 * Measures slopes at three sizes each and writes the capacity page.
 */
import { readFile, writeFile } from "node:fs/promises";
import { estimateAll } from "../support/capacity/estimate.js";
import type { Series } from "../support/capacity/estimate.js";
import { measurePoint } from "../support/capacity/measure.js";
import type { Point, Size } from "../support/capacity/measure.js";
import { writePage } from "../support/capacity/page.js";
import { nodeLimits, target } from "../support/capacity/target.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";

const PAGE_FILE = "docs/CAPACITY.md";
const POINTS_FILE = "docs/measurements/capacity.json";
const DEFAULT_SECONDS = "15";
const RACKS_PER_CELL = 3;
const WORKER_SIZES = [24, 48, 96];
const INSTANCE_SIZES = [1, 3, 6];
const CALL_RATES = [0, 100, 300];
const LEAST_POINTS = 3;
/** Starts at the target for each worker, which the points with batch work have to come near. */
const STARTS_PER_WORKER = target.startsPerSecond / target.workers;
const LEAST_STARTS_SHARE = 0.5;

export const experiment: Experiment = {
    name: "capacity",
    summary: "slopes at three sizes each, and the capacity page worked out from them",
    options: {
        seconds: { type: "string", default: DEFAULT_SECONDS },
        write: { type: "boolean", default: false },
        points: { type: "string" },
    },
    run,
};

async function run(context: ExperimentContext): Promise<Check[]> {
    const { points } = context.values;
    const series = typeof points === "string"
        ? JSON.parse(await readFile(points, "utf8")) as Series
        : await measureSeries(context);
    if (context.values["write"] === true) {
        await writeFile(POINTS_FILE, `${JSON.stringify(series, undefined, 4)}\n`);
        const source = typeof points === "string" ? `--points ${points}` : `--seed ${context.seed}`;
        await writeFile(PAGE_FILE, writePage(series, `npm run bench -- capacity ${source} --write`));
        context.progress(`wrote ${PAGE_FILE} and ${POINTS_FILE}`);
    }
    plotSeries(series, context);
    const largest = series.workers.at(-1);
    const startsPerWorker = (largest?.startsPerSecond ?? 0) / (largest?.size.workers ?? 1);
    return [
        checkAtLeast("sizes of the fleet", series.workers.length, "points", LEAST_POINTS),
        checkAtLeast("numbers of entry instances", series.instances.length, "points", LEAST_POINTS),
        checkAtLeast("rates of calls", series.calls.length, "points", LEAST_POINTS),
        checkAtLeast("starts of one worker", startsPerWorker, "starts/s", STARTS_PER_WORKER * LEAST_STARTS_SHARE),
        checkAtMost(
            "scheduler memory at today's size",
            largest?.scheduler.residentBytes ?? Infinity,
            "bytes",
            nodeLimits.residentBytes,
        ),
        ...estimateAll(series).flatMap(({ role, measure, unit, atTarget, limit }) =>
            limit === undefined ? [] : [checkAtMost(`target: ${role}, ${measure}`, atTarget, unit, limit)]
        ),
    ];
}

function plotSeries({ workers }: Series, context: ExperimentContext): void {
    const toPoints = (read: (point: Point) => number) =>
        workers.map(point => ({ x: point.size.workers, y: Number(read(point).toFixed(4)) }));
    context.plot?.({
        name: "store",
        title: "Calls to the store by size of the fleet",
        xLabel: "workers",
        yLabel: "calls a second",
        series: [
            { name: "writes", points: toPoints(point => point.store.writes) },
            { name: "reads", points: toPoints(point => point.store.reads) },
        ],
    });
    context.plot?.({
        name: "scheduler",
        title: "Processor time of the scheduler by size of the fleet",
        xLabel: "workers",
        yLabel: "share of a core",
        series: [{ name: "scheduler", points: toPoints(point => point.scheduler.processorShare) }],
    });
}

async function measureSeries(context: ExperimentContext): Promise<Series> {
    const seconds = Number(context.values["seconds"]);
    const size = (change: Partial<Size>): Size => ({
        workers: WORKER_SIZES[0] ?? 1,
        instances: 1,
        batch: false,
        callsPerSecond: 0,
        seconds,
        racksPerCell: RACKS_PER_CELL,
        ...change,
    });
    return {
        workers: await measureAll(WORKER_SIZES.map(workers => size({ workers, batch: true })), context),
        instances: await measureAll(INSTANCE_SIZES.map(instances => size({ instances })), context),
        calls: await measureAll(CALL_RATES.map(callsPerSecond => size({ callsPerSecond })), context),
    };
}

async function measureAll(sizes: readonly Size[], context: ExperimentContext): Promise<Point[]> {
    const points: Point[] = [];
    for (const size of sizes) {
        const point = await measurePoint(size, context.seed);
        context.progress(JSON.stringify(point));
        points.push(point);
    }
    return points;
}
