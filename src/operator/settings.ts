/**
 * Settings of the operators' surface.
 */
import * as z from "zod";

export const OperatorSettings = z.strictObject({
    /** Time limit of a call to one scheduler or gateway. */
    peerTimeoutMilliseconds: z.int().min(1).default(2_000),
    /** Longest time that an apply waits for a write whose answer was lost. */
    settleLimitMilliseconds: z.int().min(1).default(15_000),
    /** Earlier versions of a team's rules are kept for this long. */
    historyDays: z.int().min(1).default(400),
    /** Rules that end within these days are reported by log and metric. */
    endingDays: z.int().min(0).default(14),
    /** Most earlier versions that one answer lists. */
    historyEntries: z.int().min(1).default(100),
});
export type OperatorSettings = z.infer<typeof OperatorSettings>;
