/**
 * Places that a service has had lately: how many requests were under way at once.
 *
 * After an idle time connections and their credits are gone, and a burst finds almost nothing under way; the number that
 * was under way before says better how long its queue will be.
 */

const FADE_PER_SWEEP = 0.005;

/** Requests that were under way at once lately. */
export interface RecentPlaces {
    /** Takes in the number of requests under way. */
    observe(inFlight: number): void;
    /** Lets old news fade; called at each sweep. */
    fade(): void;
    /** At least 1. */
    current(): number;
}

/** Creates a count that has seen nothing. */
export function createRecentPlaces(): RecentPlaces {
    let places = 1;
    return {
        observe: inFlight => {
            places = Math.max(places, inFlight);
        },
        fade: () => {
            places = Math.max(1, places * (1 - FADE_PER_SWEEP));
        },
        current: () => places,
    };
}
