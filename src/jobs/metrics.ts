/**
 * Counters and histograms of the jobs daemon.
 */
import type { Metrics } from "../core/metrics.js";

/** Upper bounds of latency buckets in seconds, from a store answer to the longest wait of a caller. */
const LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** Counters and histograms of the jobs daemon. */
export type JobsMetrics = ReturnType<typeof createJobsMetrics>;

/** Registers the metrics of the jobs daemon. */
export function createJobsMetrics(metrics: Metrics) {
    return {
        requests: metrics.counter("flamingowell_job_requests_total", "Callers' requests by call and outcome", [
            "call",
            "outcome",
        ]),
        refusals: metrics.counter("flamingowell_job_refusals_total", "Requests refused, by reason", ["reason"]),
        requestSeconds: metrics.histogram(
            "flamingowell_job_request_seconds",
            "Time from a caller's request to its answer",
            LATENCY_BUCKETS,
            ["call"],
        ),
        commitSeconds: metrics.histogram("flamingowell_cell_commit_seconds", "Time of a commit", LATENCY_BUCKETS),
        waitSeconds: metrics.histogram(
            "flamingowell_task_wait_seconds",
            "Time from when a task could start to its order",
            LATENCY_BUCKETS,
            ["queue"],
        ),
        startSeconds: metrics.histogram(
            "flamingowell_task_start_seconds",
            "Time from an order to its confirmation",
            LATENCY_BUCKETS,
        ),
        takeoverSeconds: metrics.histogram(
            "flamingowell_cell_takeover_seconds",
            "Time from a claim to the first order",
            LATENCY_BUCKETS,
        ),
        readyTasks: metrics.gauge("flamingowell_cell_ready_tasks", "Tasks of the owned cell that could start", [
            "queue",
        ]),
        waitingTasks: metrics.gauge(
            "flamingowell_cell_waiting_tasks",
            "Tasks of the owned cell that have waited for 2 seconds or more since their turn came, by what holds them",
            ["reason"],
        ),
        heldTasks: metrics.gauge(
            "flamingowell_cell_held_tasks",
            "Ready tasks that wait because a worker that has not answered since the takeover may run them",
        ),
        unansweredWorkers: metrics.gauge(
            "flamingowell_cell_unanswered_workers",
            "Workers in use that have not answered since the takeover",
        ),
        closedDataCentres: metrics.gauge(
            "flamingowell_cell_closed_data_centres",
            "Data centres that the operators have closed, as the owner of the cell knows them",
        ),
        startsHeld: metrics.gauge(
            "flamingowell_cell_starts_held",
            "1 while the owner starts nothing because the closed data centres are not confirmed, else 0",
        ),
        closureReads: metrics.counter(
            "flamingowell_closure_reads_total",
            "Reads of the closed data centres by the owner of the cell, by outcome",
            ["outcome"],
        ),
        orders: metrics.counter("flamingowell_worker_orders_total", "Orders to workers by kind and outcome", [
            "order",
            "outcome",
        ]),
        retries: metrics.counter("flamingowell_order_retries_total", "Orders that were repeated, by reason", [
            "reason",
        ]),
        givenWay: metrics.counter(
            "flamingowell_attempts_given_way_total",
            "Attempts stopped so that more urgent work gets their room",
            ["queue"],
        ),
        ends: metrics.counter("flamingowell_task_ends_total", "Ends of attempts", ["end"]),
        jobsEnded: metrics.counter("flamingowell_jobs_ended_total", "Jobs that ended, by state", ["state"]),
        logLinesLeftOut: metrics.counter("flamingowell_log_lines_left_out_total", "Log lines left out", ["event"]),
    };
}
