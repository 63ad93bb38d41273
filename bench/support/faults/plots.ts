/**
 * Plots of a fault run.
 */
import type { CallOutcome, CallRecord } from "../load.js";
import type { Plot, PlotSeries } from "../report/plot.js";

const BUCKET_MILLISECONDS = 1_000;
const QUANTILES = 100;
const SHOWN_OUTCOMES: readonly CallOutcome[] = ["answered", "not-run", "unknown", "cut", "refused"];

/** Draws what callers were told in each second. */
export function plotOutcomes(calls: readonly CallRecord[]): Plot {
    const from = Math.min(...calls.map(call => call.dueAt));
    const series = SHOWN_OUTCOMES.map(outcome => {
        const counts = new Map<number, number>();
        for (const call of calls) {
            const second = Math.floor((call.dueAt - from) / BUCKET_MILLISECONDS);
            counts.set(second, (counts.get(second) ?? 0) + (call.outcome === outcome ? 1 : 0));
        }
        const points = [...counts].map(([x, y]) => ({ x, y })).sort((left, right) => left.x - right.x);
        return { name: outcome, points };
    });
    return { name: "outcomes", title: "Outcomes by second", xLabel: "second of the run", yLabel: "calls", series };
}

/** Draws the latency of answered calls, service by service, from the time when each was due. */
export function plotLatency(calls: readonly CallRecord[]): Plot {
    const answered = calls.filter(call => call.outcome === "answered");
    const services = [...new Set(answered.map(call => call.service))].sort();
    return {
        name: "latency",
        title: "Latency of answered calls",
        xLabel: "share of calls, %",
        yLabel: "milliseconds",
        series: services.map(service => toCurve(service, answered.filter(call => call.service === service))),
    };
}

function toCurve(name: string, calls: readonly CallRecord[]): PlotSeries {
    const sorted = calls.map(call => call.endedAt - call.dueAt).sort((left, right) => left - right);
    const points = Array.from({ length: QUANTILES }, (unused, percent) => ({
        x: percent,
        y: sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percent / QUANTILES))] ?? 0,
    }));
    return { name, points };
}
