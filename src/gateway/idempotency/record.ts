/**
 * Records of requests with an idempotency key, as stored.
 */
import { createHash } from "node:crypto";
import * as z from "zod";
import type { GuardedRequest } from "../guard.js";

/** Prefix of the records' keys in the store. */
export const IDEMPOTENCY_PREFIX = "/flamingowell/idempotency/";

/** A recorded answer. */
export const StoredAnswer = z.strictObject({
    status: z.int(),
    headers: z.array(z.tuple([z.string(), z.string()])),
    body: z.string(),
});

/**
 * State of a key. `intent`: a gateway may have sent the request; after its deadline the outcome stays unknown.
 * `answered`: with the answer, unless that was too large.
 */
export const IdempotencyRecord = z.strictObject({
    fingerprint: z.string(),
    requestId: z.string(),
    state: z.enum(["intent", "answered", "unknown"]),
    /** Time after which the request no longer runs; milliseconds since the Unix epoch. */
    deadlineMilliseconds: z.number(),
    answer: StoredAnswer.optional(),
});
export type IdempotencyRecord = z.infer<typeof IdempotencyRecord>;

/** Returns the store's key for a request; callers' keys are hashed, since they may be long and contain any character. */
export function nameRecord(request: GuardedRequest): string {
    const hash = createHash("sha256").update(request.idempotencyKey ?? "").digest("hex");
    return `${IDEMPOTENCY_PREFIX}${request.service}/${hash}`;
}
