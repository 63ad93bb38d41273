/**
 * Counts of calls and bytes, and limits on rates.
 */

/** Kinds of calls. A watch counts once, however long it waits. */
export type CallKind = "range" | "txn" | "leaseGrant" | "leaseKeepAlive" | "leaseRevoke" | "watch";

/** Counts since the start of the stand-in. */
export interface StoreCounts {
    readonly calls: Record<CallKind, number>;
    reads: number;
    writes: number;
    refusedByRate: number;
    refusedBySize: number;
    lostAnswers: number;
    bytesIn: number;
    bytesOut: number;
    openWatches: number;
}

/** Creates counts of zero. */
export function createCounts(): StoreCounts {
    return {
        calls: { range: 0, txn: 0, leaseGrant: 0, leaseKeepAlive: 0, leaseRevoke: 0, watch: 0 },
        reads: 0,
        writes: 0,
        refusedByRate: 0,
        refusedBySize: 0,
        lostAnswers: 0,
        bytesIn: 0,
        bytesOut: 0,
        openWatches: 0,
    };
}

/** Admits calls up to a rate, with a burst of one second's worth. */
export interface RateLimit {
    admit(now: number): boolean;
}

/** Creates a token bucket. */
export function createRateLimit(perSecond: number): RateLimit {
    let tokens = perSecond;
    let refilledAtMilliseconds = 0;
    return {
        admit(now) {
            tokens = Math.min(perSecond, tokens + (now - refilledAtMilliseconds) * perSecond / 1_000);
            refilledAtMilliseconds = now;
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        },
    };
}
