/**
 * Settings of requests with an idempotency key.
 */
import * as z from "zod";

/** Limits and intervals. */
export const IdempotencySettings = z.strictObject({
    /** How long an outcome is kept for repeats. */
    retentionSeconds: z.int().min(1).default(86_400),
    /** Transactions per second of all gateways together; writes that arrive in between are committed together. */
    transactionsPerSecond: z.number().positive().default(200),
    /** Most records in one write. */
    groupRecords: z.int().min(1).max(128).default(64),
    /** Most bytes of values in one write. */
    groupBytes: z.int().min(1).default(524_288),
    /** Answers with larger bodies are not stored; a repeat is refused with `idempotency-answer-too-large`. */
    largestAnswerBytes: z.int().min(0).default(65_536),
    /**
     * Longest time that an answer waits until its outcome is recorded. Without a wait the answer is sent sooner, but where
     * the gateway crashes before the record is written, a repeat gets the outcome `unknown`.
     */
    outcomeWaitMilliseconds: z.int().min(0).default(0),
    /** Time between two attempts to record an outcome while the store is unavailable. */
    retryMilliseconds: z.int().min(1).default(500),
    /** Time between two reads of the record of a request that is still running. */
    pollMilliseconds: z.int().min(1).default(100),
});
export type IdempotencySettings = z.infer<typeof IdempotencySettings>;
