/**
 * Recent concurrency of a service: a decaying maximum of its concurrent requests.
 *
 * After an idle time connections and their credits are gone, and a burst starts with almost no concurrent requests. The
 * earlier concurrency then gives the better estimate of how long the queue takes.
 */

const DECAY_PER_SWEEP = 0.005;

/** Decaying maximum of concurrent requests. */
export interface RecentConcurrency {
    /** Records the number of concurrent requests. */
    observe(inFlight: number): void;
    /** Lowers the maximum by a fixed share; called at each sweep. */
    decay(): void;
    /** Current maximum; at least 1. */
    current(): number;
}

/** Creates a maximum of 1. */
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
