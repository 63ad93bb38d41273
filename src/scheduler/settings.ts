/**
 * Settings of the scheduler's cells.
 */
import * as z from "zod";

const DEFAULT_RACKS_PER_CELL = 16;
const DEFAULT_COMMIT_INTERVAL_MILLISECONDS = 200;
const DEFAULT_STORE_LEASE_SECONDS = 3;
const DEFAULT_CLAIM_INTERVAL_MILLISECONDS = 1_000;
const DEFAULT_INSTANCE_INTERVAL_MILLISECONDS = 2_000;
const DEFAULT_WORKER_LEASE_MILLISECONDS = 18_000;
const DEFAULT_RENEW_INTERVAL_MILLISECONDS = 2_000;
const DEFAULT_REPORT_INTERVAL_MILLISECONDS = 5_000;
const DEFAULT_HORIZON_MILLISECONDS = 1_800_000;
const DEFAULT_CLOCK_RATE_SHARE = 0.01;
const DEFAULT_STOP_GRACE_MILLISECONDS = 3_000;
const DEFAULT_ROUTE_DRAIN_MILLISECONDS = 2_000;
const DEFAULT_STOPS_PER_INTERVAL = 50;
const DEFAULT_SEGMENTS_PER_SNAPSHOT = 64;
const DEFAULT_BACK_OFF_MILLISECONDS = 1_000;
const DEFAULT_LONGEST_BACK_OFF_MILLISECONDS = 300_000;
const DEFAULT_OVERFLOW_AFTER_MILLISECONDS = 30_000;
const DEFAULT_ENDED_KEPT_MILLISECONDS = 3_600_000;
const DEFAULT_ENDED_KEPT_AT_MOST = 200;

export const CellSettings = z.strictObject({
    /** Consecutive racks of one data centre that form a cell. Must be the same on all schedulers. */
    racksPerCell: z.int().min(1).default(DEFAULT_RACKS_PER_CELL),
    /** Transitions of one interval are committed together. */
    commitIntervalMilliseconds: z.int().min(1).default(DEFAULT_COMMIT_INTERVAL_MILLISECONDS),
    /** Time to live of the scheduler's own lease in the store. */
    storeLeaseSeconds: z.int().min(1).default(DEFAULT_STORE_LEASE_SECONDS),
    claimIntervalMilliseconds: z.int().min(1).default(DEFAULT_CLAIM_INTERVAL_MILLISECONDS),
    instanceIntervalMilliseconds: z.int().min(1).default(DEFAULT_INSTANCE_INTERVAL_MILLISECONDS),
    /** A worker stops a task whose lease was not renewed for this long. */
    workerLeaseMilliseconds: z.int().min(1).default(DEFAULT_WORKER_LEASE_MILLISECONDS),
    /** Time between two renewals of a worker with tasks in transition; a third of a lease for all others. */
    renewIntervalMilliseconds: z.int().min(1).default(DEFAULT_RENEW_INTERVAL_MILLISECONDS),
    /** A renewal asks for a usage report once the last one is older than this. */
    reportIntervalMilliseconds: z.int().min(1).default(DEFAULT_REPORT_INTERVAL_MILLISECONDS),
    /** How long an owner may go on renewing leases of workers without reaching the store. */
    horizonMilliseconds: z.int().min(1).default(DEFAULT_HORIZON_MILLISECONDS),
    /** Largest difference between the rates of two clocks, as a share. */
    clockRateShare: z.number().min(0).max(1).default(DEFAULT_CLOCK_RATE_SHARE),
    /** Grace period of a stopped task. */
    stopGraceMilliseconds: z.int().min(0).default(DEFAULT_STOP_GRACE_MILLISECONDS),
    /** Time between removing a replica from the routes and stopping it. */
    routeDrainMilliseconds: z.int().min(0).default(DEFAULT_ROUTE_DRAIN_MILLISECONDS),
    /** Running tasks that one commit may begin to stop, so that mass cancellations do not delay starts. */
    stopsPerInterval: z.int().min(1).default(DEFAULT_STOPS_PER_INTERVAL),
    /** Log segments after which the ledger is compacted into a new snapshot. */
    segmentsPerSnapshot: z.int().min(1).default(DEFAULT_SEGMENTS_PER_SNAPSHOT),
    /** Delay after the first failed attempt; doubles with each further one. */
    backOffMilliseconds: z.int().min(1).default(DEFAULT_BACK_OFF_MILLISECONDS),
    longestBackOffMilliseconds: z.int().min(1).default(DEFAULT_LONGEST_BACK_OFF_MILLISECONDS),
    /** A batch task without a worker is offered to other cells after this time, and an unclaimed offer is withdrawn. */
    overflowAfterMilliseconds: z.int().min(1).default(DEFAULT_OVERFLOW_AFTER_MILLISECONDS),
    /** Ended tasks stay in a cell's ledger for this long, for operators to see. */
    endedKeptMilliseconds: z.int().min(0).default(DEFAULT_ENDED_KEPT_MILLISECONDS),
    /** Ended tasks that stay in a cell's ledger at most. */
    endedKeptAtMost: z.int().min(0).default(DEFAULT_ENDED_KEPT_AT_MOST),
});
export type CellSettings = z.infer<typeof CellSettings>;
