/**
 * Settings of requests with an idempotency key.
 */
import * as z from "zod";

/** Limits and intervals. */
export const IdempotencySettings = z.strictObject({
    /** How long an outcome is kept for repeats. */
    retentionSeconds: z.int().min(1).default(86_400),
    /** Transactions a second that all gateways together may make; what comes in between is written together. */
    transactionsPerSecond: z.number().positive().default(200),
    /** Most records in one write. */
    groupRecords: z.int().min(1).max(128).default(64),
    /** Most bytes of values in one write. */
    groupBytes: z.int().min(1).default(524_288),
    /** Answers with larger bodies are not kept; a repeat is told that the outcome is known but too large. */
    largestAnswerBytes: z.int().min(0).default(65_536),
    /**
     * An answer waits at most this long until its outcome is recorded. Without a wait the answer is on its way sooner; where
     * the gateway dies before the record is written, a repeat is told `unknown`.
     */
    outcomeWaitMilliseconds: z.int().min(0).default(0),
    /** Time between two attempts to record an outcome while the store is away. */
    retryMilliseconds: z.int().min(1).default(500),
    /** Time between two looks at a request that another gateway runs. */
    pollMilliseconds: z.int().min(1).default(100),
});
export type IdempotencySettings = z.infer<typeof IdempotencySettings>;
