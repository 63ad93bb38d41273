/**
 * Measures slopes at three sizes each and writes the capacity page.
 */
import { readFile, writeFile } from "node:fs/promises";
import { loadavg } from "node:os";
import * as z from "zod";
import { estimateAll } from "../support/capacity/estimate.js";
import type { Size } from "../support/capacity/load.js";
import { measurePoint } from "../support/capacity/measure.js";
import type { Point } from "../support/capacity/measure.js";
import { writePage } from "../support/capacity/page.js";
import type { Series } from "../support/capacity/series.js";
import { nodeLimits, target } from "../support/capacity/target.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";

const PAGE_FILE = "docs/CAPACITY.md";
const POINTS_FILE = "docs/measurements/capacity.json";
const DEFAULT_SECONDS = "12";
const RACKS_PER_CELL = 3;
const WORKER_SIZES = [24, 48, 96];
const INSTANCE_SIZES = [1, 3, 6];
const CALL_RATES = [0, 100, 200, 400];
const CHANGE_RATES = [0, 0.25, 0.5, 1];
/** Of the calls made, so that the figures of calls are those of answered ones. */
const LEAST_ANSWERED_SHARE = 0.99;
const BYTES_PER_MEGABYTE = 1_048_576;
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
        only: { type: "string" },
    },
    run,
};

async function run(context: ExperimentContext): Promise<Check[]> {
    const { points, only } = context.values;
    if (typeof only === "string") {
        await measureAll(planSeries(context)[SeriesName.parse(only)], context);
        return [];
    }
    const series = typeof points === "string"
        ? await readSeries(points)
        : await measureSeries(context);
    if (context.values["write"] === true) {
        await writeFile(POINTS_FILE, `${JSON.stringify(series, undefined, 4)}\n`);
        const source = typeof points === "string" ? `--points ${points}` : `--seed ${context.seed}`;
        const command = `npm run bench -- capacity ${source} --write`;
        await writeFile(PAGE_FILE, writePage(series, command));
        context.progress(`wrote ${PAGE_FILE} and ${POINTS_FILE}`);
    }
    plotSeries(series, context);
    const largest = series.workers.at(-1);
    const startsPerWorker = (largest?.startsPerSecond ?? 0) / (largest?.size.workers ?? 1);
    return [
        checkAtLeast("sizes of the fleet", series.workers.length, "points", LEAST_POINTS),
        checkAtLeast("numbers of entry instances", series.instances.length, "points", LEAST_POINTS),
        checkAtLeast("rates of calls", series.calls.length, "points", LEAST_POINTS),
        checkAtLeast("rates of changes", series.changes.length, "points", LEAST_POINTS),
        checkAtLeast("calls answered", findAnsweredShare(series), "share", LEAST_ANSWERED_SHARE),
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

/** The least share among the points with calls. */
function findAnsweredShare({ calls }: Series): number {
    const shares = calls.filter(point => point.sentPerSecond > 0).map(point =>
        point.answeredPerSecond / point.sentPerSecond
    );
    return Number(Math.min(...shares).toFixed(4));
}

async function readSeries(file: string): Promise<Series> {
    const series = JSON.parse(await readFile(file, "utf8")) as Partial<Series>;
    const { machineLoad, workers, instances, calls, changes } = series;
    if (
        machineLoad === undefined || workers === undefined || instances === undefined || calls === undefined
        || changes === undefined
    ) {
        throw new Error(`${file}: a series is missing, there are ${Object.keys(series).join(", ")}; measure again`);
    }
    return { machineLoad, workers, instances, calls, changes };
}

function plotSeries({ workers, calls }: Series, context: ExperimentContext): void {
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
    context.plot?.({
        name: "memory",
        title: "Resident memory by size of the fleet",
        xLabel: "workers",
        yLabel: "MB",
        series: [
            { name: "scheduler", points: toPoints(point => point.scheduler.residentBytes / BYTES_PER_MEGABYTE) },
            { name: "gateway", points: toPoints(point => point.gateway.residentBytes / BYTES_PER_MEGABYTE) },
        ],
    });
    context.plot?.({
        name: "gateway",
        title: "Processor time of a gateway by answered calls",
        xLabel: "answered calls a second",
        yLabel: "share of a core",
        series: [{
            name: "gateway",
            points: calls.map(point => ({ x: point.answeredPerSecond, y: point.gateway.processorShare })),
        }],
    });
}

const SeriesName = z.enum(["workers", "instances", "calls", "changes"]);

function planSeries(context: ExperimentContext): Record<z.infer<typeof SeriesName>, Size[]> {
    const seconds = Number(context.values["seconds"]);
    const size = (change: Partial<Size>): Size => ({
        workers: WORKER_SIZES[0] ?? 1,
        instances: 1,
        batch: false,
        callsPerSecond: 0,
        changesPerSecond: 0,
        seconds,
        racksPerCell: RACKS_PER_CELL,
        ...change,
    });
    return {
        workers: WORKER_SIZES.map(workers => size({ workers, batch: true })),
        instances: INSTANCE_SIZES.map(instances => size({ instances })),
        calls: CALL_RATES.map(callsPerSecond => size({ callsPerSecond })),
        changes: CHANGE_RATES.map(changesPerSecond => size({ changesPerSecond })),
    };
}

async function measureSeries(context: ExperimentContext): Promise<Series> {
    const [machineLoad = 0] = loadavg();
    const { workers, instances, calls, changes } = planSeries(context);
    const measuredInstances = await measureAll(instances, context);
    // The smallest size without calls and changes belongs to three series and is measured once.
    const idle = measuredInstances.slice(0, 1);
    return {
        machineLoad,
        workers: await measureAll(workers, context),
        instances: measuredInstances,
        calls: [...idle, ...await measureAll(calls.slice(1), context)],
        changes: [...idle, ...await measureAll(changes.slice(1), context)],
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
