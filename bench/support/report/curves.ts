/**
 * Curves of distributions, for the plots of reports.
 */
import type { Histogram } from "hdr-histogram-js";
import type { Plot, PlotSeries } from "./plot.js";

const PERCENTILES = Array.from({ length: 100 }, (unused, percent) => percent);
/** The tail is what callers wait for, so it is drawn finer. */
const TAIL = [99, 99.5, 99.9];

/** Draws latencies by percentile; `unitsPerMillisecond` is the histograms' unit. */
export function plotLatencies(
    name: string,
    title: string,
    histograms: readonly { readonly name: string; readonly histogram: Histogram; }[],
    unitsPerMillisecond: number,
): Plot {
    const series = histograms.map(({ name: label, histogram }) => ({
        name: label,
        points: [...PERCENTILES, ...TAIL].map(x => ({
            x,
            y: histogram.getValueAtPercentile(x) / unitsPerMillisecond,
        })),
    }));
    return { name, title, xLabel: "percentile", yLabel: "milliseconds", series };
}

/** Turns single values into a curve by share of the values. */
export function toShares(name: string, values: readonly number[]): PlotSeries {
    const sorted = [...values].sort((left, right) => left - right);
    return { name, points: sorted.map((y, index) => ({ x: 100 * (index + 1) / sorted.length, y })) };
}
