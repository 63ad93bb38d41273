/**
 * How long tasks take, from what earlier ones of the same image took.
 *
 * The load that this answers: callers' estimates are off by half or more either way, and jobs of a few seconds have a few
 * hundred milliseconds to spare.
 */
import type { Attempt } from "../job-table/task.js";
import type { JobStep } from "../model/job.js";

/** Durations of steps. */
export interface Durations {
    /** An attempt is done that began without a checkpoint, after this time. */
    record(attempt: Attempt, milliseconds: number): void;
    /** Expected time that a task of the step works. */
    estimate(step: JobStep): number;
}

/** Taken where neither the caller nor experience says anything. */
const DEFAULT_ESTIMATE_MILLISECONDS = 1_000;

/** How far the mean of an image moves towards a new duration. */
const SMOOTHING_FACTOR = 0.2;

/** Creates durations that know nothing yet. */
export function createDurations(): Durations {
    const means = new Map<string, number>();
    return {
        record({ task: { step: { image, isLasting } } }, milliseconds) {
            if (image === "" || isLasting) {
                return;
            }
            const mean = means.get(image) ?? milliseconds;
            means.set(image, mean + SMOOTHING_FACTOR * (milliseconds - mean));
        },
        estimate({ estimateMilliseconds, image }) {
            return means.get(image)
                ?? (estimateMilliseconds > 0 ? estimateMilliseconds : DEFAULT_ESTIMATE_MILLISECONDS);
        },
    };
}
