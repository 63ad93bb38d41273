/**
 * Metrics of a process, served in the Prometheus text format.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

/** Creates the metrics of one process. */
export function createMetrics(labels: Record<string, string>): Metrics {
    const registry = new Registry();
    registry.setDefaultLabels(labels);
    collectDefaultMetrics({ register: registry });
    return {
        registry,
        counter: (name, help, labelNames = []) => new Counter({ name, help, labelNames, registers: [registry] }),
        gauge: (name, help, labelNames = []) => new Gauge({ name, help, labelNames, registers: [registry] }),
        histogram: (name, help, buckets, labelNames = []) =>
            new Histogram({ name, help, buckets, labelNames, registers: [registry] }),
    };
}

/** Creates and serves the counters, gauges and histograms of one process. */
export interface Metrics {
    readonly registry: Registry;
    counter<Label extends string = string>(name: string, help: string, labelNames?: Label[]): Counter<Label>;
    gauge<Label extends string = string>(name: string, help: string, labelNames?: Label[]): Gauge<Label>;
    /** Bucket bounds are in the unit that the name ends with. */
    histogram<Label extends string = string>(
        name: string,
        help: string,
        buckets: number[],
        labelNames?: Label[],
    ): Histogram<Label>;
}
