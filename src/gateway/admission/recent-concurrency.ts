/**
 * Places that a service has had lately: how many requests were under way at once.
 *
 * After an idle time connections and their credits are gone, and a burst finds almost nothing under way; the number that
 * was under way before says better how long its queue will be.
 */

const DECAY_PER_SWEEP = 0.005;

/** Requests that were under way at once lately. */
export interface RecentConcurrency {
    /** Takes in the number of requests under way. */
    observe(inFlight: number): void;
    /** Lets old news fade; called at each sweep. */
    decay(): void;
    /** At least 1. */
    current(): number;
}

/** Creates a count that has seen nothing. */
export function createRecentConcurrency(): RecentConcurrency {
    let concurrency = 1;
    return {
        observe: inFlight => {
            concurrency = Math.max(concurrency, inFlight);
        },
        decay: () => {
            concurrency = Math.max(1, concurrency * (1 - DECAY_PER_SWEEP));
        },
        current: () => concurrency,
    };
}
