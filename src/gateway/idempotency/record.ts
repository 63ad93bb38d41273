/**
 * Records of requests with an idempotency key, as kept in the store.
 */
import { createHash } from "node:crypto";
import * as z from "zod";
import type { GuardedRequest } from "../guard.js";

/** Keys of the store under which the records are kept. */
export const IDEMPOTENCY_PREFIX = "/flamingowell/idempotency/";

/** An answer as recorded. */
export const StoredAnswer = z.strictObject({
    status: z.int(),
    headers: z.array(z.tuple([z.string(), z.string()])),
    body: z.string(),
});

/**
 * State of a key. `intent`: a gateway is about to send the request, or has sent it; past its deadline without an outcome
 * the outcome is unknown for good. `answered`: with the answer, unless that was too large.
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

/** Gives the store's key for a request; callers' keys may be long or hold any characters, so they are hashed. */
export function nameRecord(request: GuardedRequest): string {
    const hash = createHash("sha256").update(request.idempotencyKey ?? "").digest("hex");
    return `${IDEMPOTENCY_PREFIX}${request.service}/${hash}`;
}
