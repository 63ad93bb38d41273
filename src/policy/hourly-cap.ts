/**
 * Limits the number of actions per cell within a sliding window of one hour.
 */

/** Counts the actions of each cell during the last hour against one limit. */
export interface HourlyCap {
    /** Returns the number of further actions that the cell may take now. */
    remaining(cell: string, now: number): number;
    consume(cell: string, now: number): void;
}

const HOUR_MILLISECONDS = 3_600_000;

/** Creates a cap of `limit` actions per cell and hour. */
export function createHourlyCap(limit: number): HourlyCap {
    const uses = new Map<string, number[]>();
    return {
        remaining(cell, now) {
            const recent = (uses.get(cell) ?? []).filter(time => time > now - HOUR_MILLISECONDS);
            uses.set(cell, recent);
            return limit - recent.length;
        },
        consume(cell, now) {
            uses.set(cell, [...uses.get(cell) ?? [], now]);
        },
    };
}
