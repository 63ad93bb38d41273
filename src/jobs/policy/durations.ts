/**
 * Expected durations of tasks, from earlier tasks of the same image.
 *
 * Workload: callers' estimates are off by half or more in either direction, and jobs of a few seconds have a few hundred
 * milliseconds of slack.
 */
import type { Attempt } from "../job-table/task.js";
import type { JobStep } from "../model/job.js";

/** Model of the durations of steps. */
export interface Durations {
    /** Records the duration of a completed attempt that started without a checkpoint. */
    record(attempt: Attempt, milliseconds: number): void;
    /** Expected duration of a task of the step, in milliseconds. */
    estimate(step: JobStep): number;
}

/** Used without an estimate by the caller and without earlier tasks. */
const DEFAULT_ESTIMATE_MILLISECONDS = 1_000;

/** Weight of a new duration in the moving average of an image. */
const SMOOTHING_FACTOR = 0.2;

/** Images whose durations are remembered; those that ended longest ago are forgotten first. */
const MAXIMUM_IMAGES = 2_000;

/** Creates an empty model. */
export function createDurations(): Durations {
    const means = new Map<string, number>();
    return {
        record({ task: { step: { image, isLasting } } }, milliseconds) {
            if (image === "" || isLasting) {
                return;
            }
            const mean = means.get(image) ?? milliseconds;
            // Puts the image last, so that the first one is the one to forget.
            means.delete(image);
            means.set(image, mean + SMOOTHING_FACTOR * (milliseconds - mean));
            const [oldest] = means.keys();
            if (means.size > MAXIMUM_IMAGES && oldest !== undefined) {
                means.delete(oldest);
            }
        },
        estimate({ estimateMilliseconds, image }) {
            return means.get(image)
                ?? (estimateMilliseconds > 0 ? estimateMilliseconds : DEFAULT_ESTIMATE_MILLISECONDS);
        },
    };
}
