/**
 * Settings of the policy.
 */
import * as z from "zod";

const MINUTE_MILLISECONDS = 60_000;
const HOUR_MILLISECONDS = 3_600_000;

/**
 * What the operators care for, as relative weights: slow answers of services against batch work done and evictions.
 * Only the ratios count.
 */
export const PolicyWeights = z.strictObject({
    tail: z.number().positive().default(1),
    throughput: z.number().positive().default(1),
    evictions: z.number().positive().default(1),
});
export type PolicyWeights = z.infer<typeof PolicyWeights>;

/** Weights of an operator for whom a slow answer keeps a person waiting at the counter. */
export const TAIL_WEIGHTS: PolicyWeights = { tail: 4, throughput: 1, evictions: 1 };

/** Weights of an operator whose batch work must finish within the day and must not be repeated. */
export const THROUGHPUT_WEIGHTS: PolicyWeights = { tail: 1, throughput: 8, evictions: 8 };

/** How tasks are placed. */
export const PlacementSettings = z.strictObject({
    /** Tasks of this priority and more urgent ones may evict less urgent batch work. */
    urgentPriority: z.int().min(0).max(9).default(1),
    /** Workers with room that are compared for a batch task. */
    candidates: z.int().min(1).default(24),
    /** Placements in one decision; the rest waits for the next one. */
    placementsPerDecision: z.int().min(1).default(512),
    /** Share of placements that try an uncertain pair of neighbours out, 0 to 1. */
    exploration: z.number().min(0).max(1).default(0.02),
    /** Time after which a waiting batch task accepts twice the harm that it accepts at first. */
    patienceMilliseconds: z.int().min(1).default(2 * MINUTE_MILLISECONDS),
});
export type PlacementSettings = z.infer<typeof PlacementSettings>;

/** How usage reports are read. */
export const ReportSettings = z.strictObject({
    /** Reports measured longer ago are ignored. */
    longestAgeMilliseconds: z.int().min(1).default(MINUTE_MILLISECONDS),
    /** Reports measured later than now by more than this are ignored. */
    clockToleranceMilliseconds: z.int().min(0).default(5_000),
});
export type ReportSettings = z.infer<typeof ReportSettings>;

/** How declared sizes are corrected. */
export const SizeSettings = z.strictObject({
    /** Share by which a size counts for more than reports have shown; for cores it shrinks with their number. */
    allowance: z.number().min(0).max(1).default(0.1),
    /** Time in which what reports have shown counts for half as much above the declared size. */
    halfLifeMilliseconds: z.int().min(1).default(HOUR_MILLISECONDS),
    /** Declared cores that reports show to be unused are given to other tasks. */
    reclaimCores: z.boolean().default(false),
});
export type SizeSettings = z.infer<typeof SizeSettings>;

/** How harm to services is held down. */
export const MitigationSettings = z.strictObject({
    /** Rise of a service's tail latency (0.5 is 50 %) from which on neighbours are throttled, at equal weights. */
    throttleRise: z.number().positive().default(0.5),
    /** Rise below which a throttled neighbour is let go again, as a share of the limit for throttling. */
    releaseShare: z.number().min(0).max(1).default(0.5),
    /** Smallest share of its cores that a throttled task keeps. */
    smallestShare: z.number().min(0.01).max(1).default(0.25),
    /** Time between two actions on one worker: a report's lag and the time to take effect. */
    reactionMilliseconds: z.int().min(0).default(20_000),
    /** Evictions an hour in a cell because of harm. */
    evictionsPerHour: z.int().min(0).default(60),
    /** Evictions an hour in a cell to make room for urgent work. */
    urgentEvictionsPerHour: z.int().min(0).default(600),
    /** Evictions of one task in all. */
    evictionsPerTask: z.int().min(0).default(3),
    /** Stops of harmed replicas an hour in a cell. */
    stopsPerHour: z.int().min(0).default(6),
});
export type MitigationSettings = z.infer<typeof MitigationSettings>;

/** How failing workers are set aside. */
export const QuarantineSettings = z.strictObject({
    /** Largest share of a cell's workers in quarantine or on probation. */
    largestShare: z.number().min(0).max(1).default(0.2),
    /** Evidence against a worker, as the logarithm of how much likelier its failures are if the worker is broken. */
    evidence: z.number().positive().default(4),
    /** Time in quarantine before probation; doubled each time that the worker comes back. */
    firstMilliseconds: z.int().min(0).default(10 * MINUTE_MILLISECONDS),
    longestMilliseconds: z.int().min(0).default(4 * HOUR_MILLISECONDS),
    /** Batch tasks that must finish on probation, one at a time. */
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
