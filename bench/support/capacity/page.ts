/**
 * The capacity page, written from measured points.
 */
import { cpus } from "node:os";
import { writeTable } from "../report/table.js";
import { estimateAll, estimateFleet } from "./estimate.js";
import type { Estimate } from "./estimate.js";
import type { Point } from "./measure.js";
import type { Series } from "./series.js";
import { nodeLimits, storeLimits, target } from "./target.js";

const POOR_FIT = 0.8;
const POINT_HEAD = [
    "workers",
    "entry instances",
    "cells",
    "tasks",
    "starts/s",
    "calls/s",
    "answered/s",
    "changes/s",
    "scheduler core",
    "scheduler MB",
    "gateway core",
    "gateway MB",
    "store writes/s",
    "store reads/s",
    "watches",
    "list reads/s",
    "worker B/s",
];

/** Writes the page. */
export function writePage(series: Series, command: string): string {
    const estimates = estimateAll(series);
    const fleet = estimateFleet(series);
    const points = listPoints(series);
    return [
        "# Capacity at the target's size",
        "",
        `Written by \`${command}\` from the points below; nothing on this page is set by hand but the words. The target: `
        + `${count(target.workers)} workers, ${count(target.runningTasks)} running tasks, ${
            count(target.startsPerSecond)
        } starts a second, `
        + `${target.dataCentres} data centres, ${
            count(target.configurationChangesPerDay)
        } changes of configuration a day. For control a node may `
        + `spend ${
            nodeLimits.coreShare * 100
        } % of a core, 128 MB and 14 KB a second; the store takes ${storeLimits.writesPerSecond} writes and `
        + `${count(storeLimits.readsPerSecond)} reads a second today.`,
        "",
        `Lines go through ${series.workers.length} sizes of the fleet, ${series.instances.length} numbers of entry instances, `
        + `${series.calls.length} rates of calls and ${series.changes.length} rates of changes, and are drawn out far beyond them, so they show orders of size, not figures to `
        + "rely on. A fit below 0.8 is marked: there the spread of the points is larger than what the size explains. "
        + `The machine's load before the first point was ${series.machineLoad.toFixed(1)} on ${cpus().length} cores.`,
        "",
        "## How many entry instances",
        "",
        `A scheduler carries ${count(fleet.workersPerInstance)} workers, bound by ${fleet.boundBy}: the target needs `
        + `${count(fleet.entryInstances)} entry instances.`,
        "",
        "## Role by role",
        "",
        ...writeTable([
            ["role", "measure", "base", "slope", "per", "fit", "at the target", "limit"],
            ...estimates.map(toRow),
        ]),
        "",
        "What carries each:",
        "",
        ...estimates.map(({ role, measure, mechanism }) => `- **${role}, ${measure}**: ${mechanism}.`),
        "",
        "## First to break",
        "",
        ...writeBreaks(estimates),
        "",
        "## Not measured",
        "",
        "- Regions that lose each other, and latency between data centres: all points are on one machine's loopback.",
        "- Cells of 128 workers under the target's rate of starts for longer than the window of a point.",
        "- Changes by many teams at once, and how long a change takes to be in force; `npm run bench -- spread` measures that.",
        "- Membership traffic between hundreds of entry instances; the points have up to the number in the table.",
        "- Sent bytes count bodies, not headers, TCP or TLS.",
        "- Memory of the client; only the bytes that it is sent.",
        "",
        "## Points",
        "",
        ...writeTable([POINT_HEAD, ...points.map(toPointRow)]),
        "",
    ].join("\n");
}

/** All points; the one that belongs to several series once. */
function listPoints({ workers, instances, calls, changes }: Series): Point[] {
    const points = [...workers, ...instances, ...calls, ...changes];
    return [...new Map(points.map(point => [JSON.stringify(point), point])).values()];
}

function toRow({ role, measure, unit, per, line, atTarget, limit }: Estimate): string[] {
    const fit = `${line.explained.toFixed(2)}${line.explained < POOR_FIT ? " (poor)" : ""}`;
    const bound = limit === undefined ? "" : `${format(limit)}${atTarget > limit ? " **over**" : ""}`;
    return [role, `${measure} (${unit})`, format(line.base), format(line.slope), per, fit, format(atTarget), bound];
}

function writeBreaks(estimates: readonly Estimate[]): string[] {
    const limited = estimates.flatMap(estimate =>
        estimate.limit === undefined ? [] : [{ estimate, ratio: estimate.atTarget / estimate.limit }]
    );
    limited.sort((left, right) => right.ratio - left.ratio);
    return limited.map(({ estimate, ratio }, index) => {
        const { role, measure, next } = estimate;
        const relief = ratio > 1 && next !== undefined ? ` What would carry it: ${next}.` : "";
        return `${index + 1}. ${role}, ${measure}: ${ratio.toFixed(2)} times its limit at the target.${relief}`;
    });
}

function toPointRow(point: Point): (string | number)[] {
    const megabytes = (bytes: number) => (bytes / 1_048_576).toFixed(0);
    const { size, store, list, worker, scheduler, gateway } = point;
    return [
        size.workers,
        size.instances,
        point.cells,
        point.tasks,
        point.startsPerSecond.toFixed(1),
        point.sentPerSecond.toFixed(0),
        point.answeredPerSecond.toFixed(0),
        point.changesPerSecond.toFixed(2),
        scheduler.processorShare.toFixed(3),
        megabytes(scheduler.residentBytes),
        gateway.processorShare.toFixed(3),
        megabytes(gateway.residentBytes),
        store.writes.toFixed(1),
        store.reads.toFixed(1),
        store.watches,
        list.reads.toFixed(1),
        (worker.bytesIn + worker.bytesOut).toFixed(0),
    ];
}

function count(value: number): string {
    return value.toLocaleString("en-GB");
}

function format(value: number): string {
    const size = Math.abs(value);
    if (size !== 0 && (size < 0.001 || size >= 1e9)) {
        return value.toExponential(2);
    }
    return size >= 100 ? count(Math.round(value)) : String(Number(value.toPrecision(3)));
}
