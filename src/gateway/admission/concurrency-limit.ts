/**
 * Adaptive limit on the requests of one service under way at once, by the gradient of their latency.
 *
 * While latency stays near the best that was seen lately, the limit rises; where requests take longer, they wait in
 * the upstream's queue, and the limit falls so that they wait here, where they can be shed by priority.
 */

/** Options of the limit. */
export interface LimitOptions {
    readonly firstLimit: number;
    readonly largestLimit: number;
}

/** An adaptive limit. */
export interface ConcurrencyLimit {
    current(): number;
    /** Takes in the latency of a whole answer, and the requests under way when it arrived. */
    observe(latencyMilliseconds: number, inFlight: number): void;
    /** Takes in a time-out. */
    observeTimeout(): void;
    /** Decayed mean latency; 0 before the first answer. */
    meanLatencyMilliseconds(): number;
}

const SMALLEST_LIMIT = 4;
/** Latency may stand this far above the best before the limit falls. */
const LATENCY_TOLERANCE_FACTOR = 2;
const LATENCY_SAMPLE_WEIGHT = 0.05;
/** The best latency creeps up, so that an upstream that has become slower for good is believed in the end. */
const BEST_LATENCY_DRIFT_PER_ANSWER = 0.000_02;
const SMALLEST_GRADIENT = 0.5;
const LIMIT_SMOOTHING = 0.02;
const TIMEOUT_FACTOR = 0.98;

/** Creates the limit of one service. */
export function createConcurrencyLimit(options: LimitOptions): ConcurrencyLimit {
    let limit = options.firstLimit;
    let meanLatency = 0;
    let bestLatency = 0;
    const clamp = (value: number) => Math.min(options.largestLimit, Math.max(SMALLEST_LIMIT, value));
    return {
        current: () => Math.floor(limit),
        meanLatencyMilliseconds: () => meanLatency,
        observe(latency, inFlight) {
            meanLatency = meanLatency === 0 ? latency : meanLatency + LATENCY_SAMPLE_WEIGHT * (latency - meanLatency);
            bestLatency = bestLatency === 0 || meanLatency < bestLatency
                ? meanLatency
                : bestLatency + BEST_LATENCY_DRIFT_PER_ANSWER * (meanLatency - bestLatency);
            const gradient = Math.max(
                SMALLEST_GRADIENT,
                Math.min(1, (LATENCY_TOLERANCE_FACTOR * bestLatency) / meanLatency),
            );
            if (gradient === 1 && inFlight < limit / 2) {
                // A limit that is not in use says nothing about what the upstreams can bear.
                return;
            }
            limit = clamp(limit + LIMIT_SMOOTHING * (limit * gradient + Math.sqrt(limit) - limit));
        },
        observeTimeout() {
            limit = clamp(limit * TIMEOUT_FACTOR);
        },
    };
}
