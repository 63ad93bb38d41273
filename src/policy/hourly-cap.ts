/**
 * Caps on actions in a sliding hour.
 */

/** Counts actions by cell; never more than the cap within any hour. */
export interface HourlyCap {
    /** Actions that the cell has left. */
    remaining(cell: string, now: number): number;
    consume(cell: string, now: number): void;
}

const HOUR_MILLISECONDS = 3_600_000;

/** Creates a cap with nothing used. */
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
