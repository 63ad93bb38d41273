/**
 * Metrics of a process, served in the Prometheus text format.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

/** What is told of the process itself. */
export type ProcessDetail =
    /** Everything that prom-client knows of, event loop and garbage collection among it. */
    | "all"
    /** Processor time and memory, read when they are asked for: watching the garbage collector takes 2 % of a busy process. */
    | "usage";

/** Creates the metrics of one process. */
export function createMetrics(labels: Record<string, string>, detail: ProcessDetail = "all"): Metrics {
    const registry = new Registry();
    registry.setDefaultLabels(labels);
    if (detail === "all") {
        collectDefaultMetrics({ register: registry });
    }
    else {
        addUsage(registry);
    }
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

function addUsage(registry: Registry): void {
    new Gauge({
        name: "process_cpu_seconds",
        help: "Processor time of the process since its start",
        registers: [registry],
        collect() {
            const { system, user } = process.cpuUsage();
            this.set((system + user) / MICROSECONDS_PER_SECOND);
        },
    });
    new Gauge({
        name: "process_resident_memory_bytes",
        help: "Resident memory of the process",
        registers: [registry],
        collect() {
            this.set(process.memoryUsage.rss());
        },
    });
}

const MICROSECONDS_PER_SECOND = 1_000_000;
