/**
 * Connection credits: a gateway opens a connection to a worker only under a credit leased by the cell's owner.
 */
import * as z from "zod";
import { defineMethod } from "../method.js";
import { Name } from "./identity.js";

/** Credits that a gateway holds on one worker. */
export const CreditHolding = z.strictObject({
    worker: Name,
    /**
     * Credits in use or kept in reserve. What the gateway had beyond this it has given back: it opens no more until it
     * has the answer.
     */
    held: z.int().min(0),
    /** Credits wanted in all. */
    wanted: z.int().min(0),
});
export type CreditHolding = z.infer<typeof CreditHolding>;

/** What the owner grants on one worker, in all, not in addition. */
export const CreditGrant = z.strictObject({ worker: Name, granted: z.int().min(0) });
export type CreditGrant = z.infer<typeof CreditGrant>;

/**
 * Renews, enlarges or gives back a gateway's credits in one cell. The grant lapses `leaseMilliseconds` after the
 * gateway SENT the request, on the gateway's clock; the owner counts from its arrival, which is later. After the lapse
 * a gateway opens no connection; those that are open stay in use, and the owner counts them by the worker's reports,
 * under the name that `nameHolder` gives. A new incarnation of a gateway starts from zero.
 *
 * A request may build on the last one that the owner answered, by its sequence: holdings that it does not name, and
 * grants that the answer does not name, are as they were then.
 *
 * Errors: `fenced` where the scheduler does not own the cell, `conflict` where a later request was seen before or
 * `sameAs` is not the last one that was answered; nothing is granted or renewed then.
 */
export const exchangeCredits = defineMethod(
    "credits.exchange",
    z.strictObject({
        gateway: Name,
        incarnation: z.string(),
        cell: z.string(),
        /** Rises with each request of an incarnation, so that one that arrives late changes nothing. */
        sequence: z.int().min(0),
        /** Sequence of the request that this one builds on; without it `holdings` is the whole list. */
        sameAs: z.int().min(0).optional(),
        holdings: z.array(CreditHolding),
        /** Workers of the former list that are not in this one. */
        dropped: z.array(Name).optional(),
    }),
    z.strictObject({
        epoch: z.int(),
        leaseMilliseconds: z.int().min(1),
        grants: z.array(CreditGrant),
    }),
);

/** Names one start of a gateway, as the `flamingowell-gateway` header and the workers' reports do. */
export function nameHolder(gateway: string, incarnation: string): string {
    return `${gateway}/${incarnation}`;
}
