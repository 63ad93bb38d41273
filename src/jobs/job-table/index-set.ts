/**
 * Sets of task indexes of a step, one bit each.
 */

/** A set of indexes below a fixed limit. */
export interface IndexSet {
    readonly size: number;
    has(index: number): boolean;
    /** Adds an index; returns false if it is in the set already. */
    add(index: number): boolean;
    /** Writes the set as base64, eight indexes a byte, the lowest first. */
    format(): string;
}

const BITS_PER_BYTE = 8;

/** Creates a set of indexes below the limit, from its base64 form if there is one; indexes from the limit on are left out. */
export function createIndexSet(limit: number, formatted = ""): IndexSet {
    const bits = new Uint8Array(Math.ceil(limit / BITS_PER_BYTE));
    let size = 0;
    const has = (index: number): boolean => ((bits[index >> 3] ?? 0) >> (index % BITS_PER_BYTE) & 1) === 1;
    const add = (index: number): boolean => {
        if (index >= limit || has(index)) {
            return false;
        }
        bits[index >> 3] = (bits[index >> 3] ?? 0) | 1 << (index % BITS_PER_BYTE);
        size += 1;
        return true;
    };
    const given = Buffer.from(formatted, "base64");
    for (let index = 0; index < Math.min(limit, given.length * BITS_PER_BYTE); index++) {
        if (((given[index >> 3] ?? 0) >> (index % BITS_PER_BYTE) & 1) === 1) {
            add(index);
        }
    }
    return {
        get size() {
            return size;
        },
        has,
        add,
        format: () => Buffer.from(bits).toString("base64"),
    };
}
