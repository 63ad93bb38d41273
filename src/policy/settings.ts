/**
 * Settings of the policy.
 */
import * as z from "zod";

const MINUTE_MILLISECONDS = 60_000;
const HOUR_MILLISECONDS = 3_600_000;

/**
 * Relative weights of tail latency of services, batch throughput and evictions. Only the ratios matter.
 */
export const PolicyWeights = z.strictObject({
    tail: z.number().positive().default(1),
    throughput: z.number().positive().default(1),
    evictions: z.number().positive().default(1),
});
export type PolicyWeights = z.infer<typeof PolicyWeights>;

/** Weights for operators whose services answer people who wait for them. */
export const TAIL_WEIGHTS: PolicyWeights = { tail: 4, throughput: 1, evictions: 1 };

/** Weights for operators whose batch work must finish within the day and must not be repeated. */
export const THROUGHPUT_WEIGHTS: PolicyWeights = { tail: 1, throughput: 8, evictions: 8 };

/** How tasks are placed. */
export const PlacementSettings = z.strictObject({
    /** Tasks of this priority or a more urgent (lower) one may evict less urgent batch tasks. */
    urgentPriority: z.int().min(0).max(9).default(1),
    /** Suitable workers that are compared for a batch task. */
    candidates: z.int().min(1).default(24),
    /** Most placements in one decision; other tasks wait for the next decision. */
    placementsPerDecision: z.int().min(1).default(512),
    /** Share of decisions that favour uncertain pairs of service and batch rule, 0 to 1, at equal weights. */
    exploration: z.number().min(0).max(1).default(0.02),
    /** Waiting time after which a batch task may cause twice the rise in tail latency that it may cause at first. */
    patienceMilliseconds: z.int().min(1).default(2 * MINUTE_MILLISECONDS),
});
export type PlacementSettings = z.infer<typeof PlacementSettings>;

/** Which usage reports are accepted. */
export const ReportSettings = z.strictObject({
    /** Reports measured longer ago are ignored. */
    longestAgeMilliseconds: z.int().min(1).default(MINUTE_MILLISECONDS),
    /** Reports measured later than now by more than this are ignored. */
    clockToleranceMilliseconds: z.int().min(0).default(5_000),
});
export type ReportSettings = z.infer<typeof ReportSettings>;

/** How declared sizes are corrected by measured use. */
export const SizeSettings = z.strictObject({
    /** Margin added to measured use, as a share; for cores it shrinks with the number of reports. */
    allowance: z.number().min(0).max(1).default(0.1),
    /** Half-life of the measured memory peak. */
    halfLifeMilliseconds: z.int().min(1).default(HOUR_MILLISECONDS),
    /** Makes declared but unused cores available to other tasks. */
    reclaimCores: z.boolean().default(false),
});
export type SizeSettings = z.infer<typeof SizeSettings>;

/** How interference with services is limited. */
export const MitigationSettings = z.strictObject({
    /** Rise of a service's tail latency (0.5 is 50 %) above which neighbours are throttled, at equal weights. */
    throttleRise: z.number().positive().default(0.5),
    /** Rise below which a throttled neighbour is released, as a share of `throttleRise`. */
    releaseShare: z.number().min(0).max(1).default(0.5),
    /** Smallest share of its cores that a throttled task keeps. */
    smallestShare: z.number().min(0.01).max(1).default(0.25),
    /** Time between two actions on one worker, which covers the lag of reports and the time to take effect. */
    reactionMilliseconds: z.int().min(0).default(20_000),
    /** Most evictions per hour and cell because of interference. */
    evictionsPerHour: z.int().min(0).default(60),
    /** Most evictions per hour and cell in favour of urgent tasks. */
    urgentEvictionsPerHour: z.int().min(0).default(600),
    /** Most evictions of one task in total. */
    evictionsPerTask: z.int().min(0).default(3),
    /** Most stops of affected replicas per hour and cell. */
    stopsPerHour: z.int().min(0).default(6),
});
export type MitigationSettings = z.infer<typeof MitigationSettings>;

/** How failing workers are quarantined. */
export const QuarantineSettings = z.strictObject({
    /** Largest share of a cell's workers in quarantine or on probation. */
    largestShare: z.number().min(0).max(1).default(0.2),
    /** Evidence (log-likelihood ratio that the worker is broken) from which a worker is quarantined. */
    evidence: z.number().positive().default(4),
    /** Time in quarantine before probation; doubled with each further quarantine of the worker. */
    firstMilliseconds: z.int().min(0).default(10 * MINUTE_MILLISECONDS),
    longestMilliseconds: z.int().min(0).default(4 * HOUR_MILLISECONDS),
    /** Batch tasks that must finish, one at a time, before a worker on probation is released. */
    probationTasks: z.int().min(1).default(3),
});
export type QuarantineSettings = z.infer<typeof QuarantineSettings>;

export const PolicySettings = z.strictObject({
    weights: PolicyWeights.prefault({}),
    placement: PlacementSettings.prefault({}),
    reports: ReportSettings.prefault({}),
    sizes: SizeSettings.prefault({}),
    mitigation: MitigationSettings.prefault({}),
    quarantine: QuarantineSettings.prefault({}),
});
export type PolicySettings = z.infer<typeof PolicySettings>;
