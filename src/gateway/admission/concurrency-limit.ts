/**
 * Adaptive limit on the concurrent requests of one service, from the gradient of their latency.
 *
 * While latency stays near the recent minimum, the limit rises. When latency grows, requests are queueing in the
 * upstream; the limit falls so that they queue in the gateway instead, where they can be shed by priority.
 */

/** Options of the limit. */
export interface LimitOptions {
    readonly firstLimit: number;
    readonly largestLimit: number;
}

/** Adaptive limit on concurrent requests. */
export interface ConcurrencyLimit {
    current(): number;
    /** Records the latency of a complete answer and the number of concurrent requests when it arrived. */
    observe(latencyMilliseconds: number, inFlight: number): void;
    /** Records a time-out. */
    observeTimeout(): void;
    /** Decayed mean latency; 0 before the first answer. */
    meanLatencyMilliseconds(): number;
}

const SMALLEST_LIMIT = 4;
/** Ratio of mean to minimum latency above which the limit falls. */
const LATENCY_TOLERANCE_FACTOR = 2;
const LATENCY_SAMPLE_WEIGHT = 0.05;
/** The minimum drifts up to the mean, so that the limit adapts to an upstream that stays slower. */
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
                // With fewer requests in flight than half of the limit, low latency doesn't show that the upstreams could serve more.
                return;
            }
            limit = clamp(limit + LIMIT_SMOOTHING * (limit * gradient + Math.sqrt(limit) - limit));
        },
        observeTimeout() {
            limit = clamp(limit * TIMEOUT_FACTOR);
        },
    };
}
