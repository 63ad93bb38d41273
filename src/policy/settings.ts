/**
 * Settings of the policy.
 */
import { z } from "zod";

const DEFAULT_URGENT_PRIORITY = 1;
const DEFAULT_CANDIDATES = 24;
const DEFAULT_PLACEMENTS_PER_DECISION = 512;

/**
 * What the operators care for, as relative weights: slow answers of services against batch work done and evictions.
 * Only the ratios count.
 */
export const PolicyWeights = z.strictObject({
    tail: z.number().min(0).default(1),
    throughput: z.number().min(0).default(1),
    evictions: z.number().min(0).default(1),
});
export type PolicyWeights = z.infer<typeof PolicyWeights>;

/** How tasks are placed. */
export const PlacementSettings = z.strictObject({
    /** Tasks of this priority and more urgent ones may evict less urgent batch work. */
    urgentPriority: z.int().min(0).max(9).default(DEFAULT_URGENT_PRIORITY),
    /** Workers with room that are compared for a batch task. */
    candidates: z.int().min(1).default(DEFAULT_CANDIDATES),
    /** Placements in one decision; the rest waits for the next one. */
    placementsPerDecision: z.int().min(1).default(DEFAULT_PLACEMENTS_PER_DECISION),
});
export type PlacementSettings = z.infer<typeof PlacementSettings>;

export const PolicySettings = z.strictObject({
    weights: PolicyWeights.prefault({}),
    placement: PlacementSettings.prefault({}),
});
export type PolicySettings = z.infer<typeof PolicySettings>;
