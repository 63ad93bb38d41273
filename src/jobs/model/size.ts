/**
 * Resource amounts: what a task requires and what a worker has.
 */
import * as z from "zod";

/** Amounts of a worker's resources. */
export const Size = z.object({
    /** Thousandths of a core. */
    millicores: z.int().min(0),
    /** Memory in units of 1,000,000 bytes. */
    memoryMegabytes: z.int().min(0),
    accelerators: z.int().min(0),
});
export type Size = z.infer<typeof Size>;

/** Zero of every resource. */
export const ZERO_SIZE: Size = { millicores: 0, memoryMegabytes: 0, accelerators: 0 };

/** Adds `count` times the second size to the first; a negative count subtracts it. */
export function addSize(left: Size, right: Size, count = 1): Size {
    return {
        millicores: left.millicores + count * right.millicores,
        memoryMegabytes: left.memoryMegabytes + count * right.memoryMegabytes,
        accelerators: left.accelerators + count * right.accelerators,
    };
}

/** Returns the larger amount of each resource. */
export function maximumOf(left: Size, right: Size): Size {
    return {
        millicores: Math.max(left.millicores, right.millicores),
        memoryMegabytes: Math.max(left.memoryMegabytes, right.memoryMegabytes),
        accelerators: Math.max(left.accelerators, right.accelerators),
    };
}

/** Whether a size fits into a capacity. */
export function fitsInto(size: Size, capacity: Size): boolean {
    return size.millicores <= capacity.millicores
        && size.memoryMegabytes <= capacity.memoryMegabytes
        && size.accelerators <= capacity.accelerators;
}
