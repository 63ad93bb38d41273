/**
 * Counters and gauges of the scheduler.
 */
import type { Counter, Gauge } from "prom-client";
import type { Metrics } from "../core/metrics.js";

/** Metrics of the scheduler. */
export interface SchedulerMetrics {
    readonly commits: Counter<"outcome">;
    readonly claims: Counter<"outcome">;
    readonly attemptsEnded: Counter<"outcome">;
    readonly decisionsRejected: Counter<"kind" | "reason">;
    readonly transfers: Counter<"outcome">;
    readonly cellsOwned: Gauge;
}

/** Registers the scheduler's metrics. */
export function createSchedulerMetrics(metrics: Metrics): SchedulerMetrics {
    return {
        commits: metrics.counter("scheduler_commits_total", "Commits of ledgers by outcome", ["outcome"]),
        claims: metrics.counter("scheduler_claims_total", "Claims of cells by outcome", ["outcome"]),
        attemptsEnded: metrics.counter("scheduler_attempts_ended_total", "Ended attempts by outcome", ["outcome"]),
        decisionsRejected: metrics.counter(
            "scheduler_decisions_rejected_total",
            "Decisions of the policy that were not taken in, by kind and reason",
            ["kind", "reason"],
        ),
        transfers: metrics.counter(
            "scheduler_transfers_total",
            "Tasks on offer between cells, by what became of the offer",
            ["outcome"],
        ),
        cellsOwned: metrics.gauge("scheduler_cells_owned", "Cells that this scheduler owns"),
    };
}
