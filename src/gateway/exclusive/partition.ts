/**
 * Partitions of the key space of exclusive requests, as stored.
 */
import * as z from "zod";
import { Name, Origin } from "../../core/messages/identity.js";
import { defineMethod } from "../../core/method.js";
import { hashText } from "../../core/random.js";

/** Prefix of the partitions' keys in the store. */
export const PARTITION_PREFIX = "/flamingowell/partitions/";

/** Holder of a partition. */
export const PartitionRecord = z.strictObject({
    holder: Name,
    /** Differs after each restart of the holder. */
    incarnation: z.string(),
    origin: Origin,
    /** The holder sends nothing after this time; milliseconds since the Unix epoch. */
    horizonMilliseconds: z.number(),
    /** Longest time that an attempt of the holder runs. */
    longestAttemptMilliseconds: z.int().min(0),
    /** The holder has released the partition, and none of its requests is running. */
    released: z.boolean(),
    /** Attempts of earlier holders may run until this time; milliseconds since the Unix epoch. */
    quietUntilMilliseconds: z.number(),
});
export type PartitionRecord = z.infer<typeof PartitionRecord>;

/** Identifies the process at an origin and its partitions; used to prove that an earlier process has ended. */
export const readHolder = defineMethod(
    "partitions.holder",
    z.strictObject({}),
    z.strictObject({ instance: Name, incarnation: z.string(), held: z.array(z.int().min(0)) }),
);

/** Returns the key of a partition in the store. */
export function nameKey(partition: number): string {
    return `${PARTITION_PREFIX}${partition}`;
}

/** Returns the partition of a request's key. */
export function findPartition(service: string, key: string, partitions: number): number {
    return hashText(`${service}\n${key}`) % partitions;
}
