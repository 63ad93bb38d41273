/**
 * Whether resident memory stays flat: a line through its floor, drawn out by an hour.
 */
import { fitLine } from "./capacity/fit.js";

/** Resident memory at a time. */
export interface MemorySample {
    readonly atSeconds: number;
    readonly megabytes: number;
}

/** What a node may spend, from the target. */
export const MEMORY_LIMIT_MEGABYTES = 128;
/** Flat: by the line, an hour adds at most a tenth of what a node may spend. */
export const MOST_GROWTH_MEGABYTES_PER_HOUR = MEMORY_LIMIT_MEGABYTES / 10;

const SECONDS_PER_HOUR = 3_600;
/** The first third of a run is the warming up. */
const WARM_UP_SHARE = 1 / 3;
/** Between two collections memory rises and falls; the least value of a window is what stays. */
const WINDOW_SECONDS = 30;

/** The line through the floor. */
export interface MemoryTrend {
    readonly largestMegabytes: number;
    readonly growthMegabytesPerHour: number;
    /** The largest value with an hour's growth added. */
    readonly afterAnHourMegabytes: number;
}

/** Finds the trend of one process. */
export function findTrend(samples: readonly MemorySample[]): MemoryTrend {
    const endSeconds = Math.max(...samples.map(sample => sample.atSeconds));
    const settled = samples.filter(sample => sample.atSeconds >= endSeconds * WARM_UP_SHARE);
    const floors = new Map<number, number>();
    for (const { atSeconds, megabytes } of settled) {
        const window = Math.floor(atSeconds / WINDOW_SECONDS);
        floors.set(window, Math.min(megabytes, floors.get(window) ?? Infinity));
    }
    const line = fitLine([...floors].map(([window, figure]) => ({ size: window * WINDOW_SECONDS, figure })));
    const growthMegabytesPerHour = line.slope * SECONDS_PER_HOUR;
    const largestMegabytes = Math.max(...samples.map(sample => sample.megabytes));
    const afterAnHourMegabytes = largestMegabytes + Math.max(0, growthMegabytesPerHour);
    return { largestMegabytes, growthMegabytesPerHour, afterAnHourMegabytes };
}
