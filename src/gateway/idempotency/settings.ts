/**
 * Settings of requests with an idempotency key.
 */
import { z } from "zod";

/** Limits and intervals. */
export const IdempotencySettings = z.strictObject({
    /** How long an outcome is kept for repeats. */
    retentionSeconds: z.int().min(1).default(86_400),
    /** Writes of this interval go to the store together. */
    groupMilliseconds: z.int().min(0).default(4),
    /** Most records in one write. */
    groupRecords: z.int().min(1).max(128).default(64),
    /** Answers with larger bodies are not kept; a repeat is told that the outcome is known but too large. */
    largestAnswerBytes: z.int().min(0).default(65_536),
    /** An answer waits at most this long until its outcome is recorded. */
    outcomeWaitMilliseconds: z.int().min(0).default(1_000),
    /** Time between two looks at a request that another gateway runs. */
    pollMilliseconds: z.int().min(1).default(100),
});
export type IdempotencySettings = z.infer<typeof IdempotencySettings>;
