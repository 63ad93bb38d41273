/**
 * Settings of exclusive requests.
 */
import * as z from "zod";

/** Limits and intervals; all times in milliseconds. */
export const ExclusiveSettings = z.strictObject({
    /** Partitions of the key space. The same on all gateways; changing it needs a full stop. */
    partitions: z.int().min(1).max(4_096).default(64),
    /** How long a holder may serve a partition without reaching the store. */
    horizonMilliseconds: z.int().min(1_000).default(1_800_000),
    /** Time between two reads of the partition table in the store. */
    refreshMilliseconds: z.int().min(50).default(2_000),
    /** Whether a successor may claim before the horizon where it has proof that the holder's process has ended. */
    acceptProofOfDeath: z.boolean().default(true),
    /** Largest difference between two instances' clocks. */
    clockDifferenceMilliseconds: z.int().min(0).default(500),
    /** Pause of the process after which it reads the partition table again before it sends a request. */
    pauseLimitMilliseconds: z.int().min(100).default(1_500),
});
export type ExclusiveSettings = z.infer<typeof ExclusiveSettings>;
