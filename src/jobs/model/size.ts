/**
 * What a task takes of a worker, and what a worker has.
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

/** Nothing of anything. */
export const ZERO_SIZE: Size = { millicores: 0, memoryMegabytes: 0, accelerators: 0 };

/** Adds two sizes; a negative count takes the second away. */
export function addSize(left: Size, right: Size, count = 1): Size {
    return {
        millicores: left.millicores + count * right.millicores,
        memoryMegabytes: left.memoryMegabytes + count * right.memoryMegabytes,
        accelerators: left.accelerators + count * right.accelerators,
    };
}

/** Whether something of the first size has room in the second. */
export function fitsInto(size: Size, capacity: Size): boolean {
    return size.millicores <= capacity.millicores
        && size.memoryMegabytes <= capacity.memoryMegabytes
        && size.accelerators <= capacity.accelerators;
}
