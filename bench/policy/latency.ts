/**
 * Latency of all requests of a run, as a weighted mixture of log-normal distributions.
 */

/** Collects latencies, in units of the service's base. */
export interface LatencyMixture {
    /** Adds requests whose latency is log-normal around a median. */
    add(median: number, requests: number): void;
    quantile(share: number): number;
}

/** Sigma of the latency of single requests. */
export const LATENCY_SIGMA = 0.5;
const BINS_PER_UNIT = 200;

/** Creates a mixture; with `parts`, one that holds the requests of all of them. */
export function createLatencyMixture(parts: readonly BinnedMixture[] = []): BinnedMixture {
    const bins = new Map<number, number>();
    const mixture: BinnedMixture = {
        bins,
        add(median, requests) {
            const bin = Math.round(Math.log(median) * BINS_PER_UNIT);
            bins.set(bin, (bins.get(bin) ?? 0) + requests);
        },
        quantile(share) {
            let low = -5;
            let high = 10;
            while (high - low > 0.000_1) {
                const middle = (low + high) / 2;
                if (shareBelow(bins, middle) < share) {
                    low = middle;
                }
                else {
                    high = middle;
                }
            }
            return Math.exp(high);
        },
    };
    for (const part of parts) {
        for (const [bin, requests] of part.bins) {
            bins.set(bin, (bins.get(bin) ?? 0) + requests);
        }
    }
    return mixture;
}

/** A mixture whose bins can be joined with others. */
export interface BinnedMixture extends LatencyMixture {
    readonly bins: ReadonlyMap<number, number>;
}

function shareBelow(bins: ReadonlyMap<number, number>, logLatency: number): number {
    let below = 0;
    let total = 0;
    for (const [bin, requests] of bins) {
        below += requests * normalShare((logLatency - bin / BINS_PER_UNIT) / LATENCY_SIGMA);
        total += requests;
    }
    return below / total;
}

/** Distribution function of the standard normal distribution (approximation by Abramowitz and Stegun, 26.2.17). */
function normalShare(value: number): number {
    const t = 1 / (1 + 0.231_641_9 * Math.abs(value));
    const polynomial = t
        * (0.319_381_53 + t * (-0.356_563_782 + t * (1.781_477_937 + t * (-1.821_255_978 + t * 1.330_274_429))));
    const upper = Math.exp(-value * value / 2) / Math.sqrt(2 * Math.PI) * polynomial;
    return value >= 0 ? 1 - upper : upper;
}
