/**
 * Partitions of the key space of exclusive requests, as kept in the store.
 */
import * as z from "zod";
import { Name, Origin } from "../../core/messages/identity.js";
import { defineMethod } from "../../core/method.js";
import { hashText } from "../../core/random.js";

/** Keys of the store under which the partitions are kept. */
export const PARTITION_PREFIX = "/flamingowell/partitions/";

/** Who holds a partition. */
export const PartitionRecord = z.strictObject({
    holder: Name,
    /** Differs after each restart of the holder. */
    incarnation: z.string(),
    origin: Origin,
    /** The holder sends nothing after this time; milliseconds since the Unix epoch. */
    horizonMilliseconds: z.number(),
    /** No attempt of the holder runs for longer than this. */
    longestAttemptMilliseconds: z.int().min(0),
    /** The holder has given the partition back and nothing that it sent runs any more. */
    released: z.boolean(),
    /** An earlier holder's attempts may run until this time. */
    quietUntilMilliseconds: z.number(),
});
export type PartitionRecord = z.infer<typeof PartitionRecord>;

/** Tells which process answers at an origin, and what it holds; asked for proof that an earlier one is gone. */
export const readHolder = defineMethod(
    "partitions.holder",
    z.strictObject({}),
    z.strictObject({ instance: Name, incarnation: z.string(), held: z.array(z.int().min(0)) }),
);

/** Gives the key of a partition in the store. */
export function nameKey(partition: number): string {
    return `${PARTITION_PREFIX}${partition}`;
}

/** Gives the partition of a request's key. */
export function findPartition(service: string, key: string, partitions: number): number {
    return hashText(`${service}\n${key}`) % partitions;
}
