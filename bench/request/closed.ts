/**
 * Closed-loop load: a number of callers, each of which makes its next call once it has the answer to the last.
 */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { MILLISECONDS_PER_SECOND } from "../../src/core/time.js";

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** What a closed load is made of. */
export interface ClosedLoad {
    readonly origin: string;
    readonly path: string;
    readonly callers: number;
    readonly durationMilliseconds: number;
    readonly answerBytes: number;
}

/** What a closed load gave. */
export interface ClosedLoadResult {
    readonly perSecond: number;
    /** Latency in microseconds. */
    readonly latency: Histogram;
    readonly answered: number;
    /** Calls without an answer of status 200 and the expected size. */
    readonly failed: number;
}

/** Runs a closed load. */
export async function runClosedLoad(load: ClosedLoad): Promise<ClosedLoadResult> {
    const pool = new Pool(load.origin, { connections: load.callers, pipelining: 1 });
    const latency = createHistogram();
    const startedAt = performance.now();
    const endsAt = startedAt + load.durationMilliseconds;
    let answered = 0;
    let failed = 0;
    const callOn = async () => {
        while (performance.now() < endsAt) {
            const sentAt = performance.now();
            const isWhole = await callOnce(pool, load);
            latency.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * MICROSECONDS_PER_MILLISECOND)));
            answered += isWhole ? 1 : 0;
            failed += isWhole ? 0 : 1;
        }
    };
    await Promise.all(Array.from({ length: load.callers }, callOn));
    const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
    await pool.destroy();
    return { perSecond: answered / seconds, latency, answered, failed };
}

/** Creates a histogram of microseconds. */
export function createHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
}

function callOnce(pool: Pool, load: ClosedLoad): Promise<boolean> {
    return new Promise(resolve => {
        let status = 0;
        let size = 0;
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: () => undefined,
            onResponseStart: (controller, statusCode) => {
                status = statusCode;
            },
            onResponseData: (controller, chunk) => {
                size += chunk.length;
            },
            onResponseEnd: () => resolve(status === 200 && size === load.answerBytes),
            onResponseError: () => resolve(false),
        };
        pool.dispatch({ path: load.path, method: "GET" }, handler);
    });
}
