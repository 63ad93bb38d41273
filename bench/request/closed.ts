/**
 * Closed-loop load: a number of callers, each of which makes its next call once it has the answer to the last.
 */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { createRandom } from "../../src/core/random.js";
import { MILLISECONDS_PER_SECOND } from "../../src/core/time.js";
import { headers } from "../../src/platform/worker.js";
import { callKinds, drawCall } from "./mix.js";
import type { Call, CallKind } from "./mix.js";

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** What a closed load is made of. */
export interface ClosedLoad {
    readonly seed: number;
    readonly origin: string;
    /** Gives the path of a call at this origin. */
    readonly namePath: (call: Call) => string;
    readonly callers: number;
    readonly durationMilliseconds: number;
    readonly answerBytes: number;
}

/** What the calls of one kind gave. */
export interface KindResult {
    /** Latency in microseconds. */
    readonly latency: Histogram;
    answered: number;
    /** Calls without an answer of status 200 and the expected size. */
    failed: number;
    /** Failed calls by the gateway's reason, or by the status or error where it gave none. */
    readonly failures: Map<string, number>;
}

/** What a closed load gave. */
export interface ClosedLoadResult {
    readonly perSecond: number;
    readonly kinds: Readonly<Record<CallKind, KindResult>>;
}

/** Runs a closed load. */
export async function runClosedLoad(load: ClosedLoad): Promise<ClosedLoadResult> {
    const pool = new Pool(load.origin, { connections: load.callers, pipelining: 1 });
    const kinds = createKindResults();
    const random = createRandom(load.seed);
    const startedAt = performance.now();
    const endsAt = startedAt + load.durationMilliseconds;
    const callOn = async () => {
        while (performance.now() < endsAt) {
            const call = drawCall(random, nextCallNumber());
            const sentAt = performance.now();
            const failure = await callOnce(pool, call, load);
            const result = kinds[call.kind];
            result.latency.recordValue(
                Math.max(1, Math.round((performance.now() - sentAt) * MICROSECONDS_PER_MILLISECOND)),
            );
            note(result, failure);
        }
    };
    await Promise.all(Array.from({ length: load.callers }, callOn));
    const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
    await pool.destroy();
    const answered = callKinds.reduce((sum, kind) => sum + kinds[kind].answered, 0);
    return { perSecond: answered / seconds, kinds };
}

/** Creates empty results of all kinds. */
export function createKindResults(): Record<CallKind, KindResult> {
    const create = (): KindResult => ({ latency: createHistogram(), answered: 0, failed: 0, failures: new Map() });
    return { plain: create(), exclusive: create(), keyed: create() };
}

/** Creates a histogram of microseconds. */
export function createHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
}

function note(result: KindResult, failure: string | undefined): void {
    if (failure === undefined) {
        result.answered += 1;
        return;
    }
    result.failed += 1;
    result.failures.set(failure, (result.failures.get(failure) ?? 0) + 1);
}

let lastCallNumber = 0;

/** Numbers go on from load to load, so that no idempotency key is used twice in a run. */
function nextCallNumber(): number {
    lastCallNumber += 1;
    return lastCallNumber;
}

/** Makes a call; answers with what is wrong with its answer, or `undefined`. */
function callOnce(pool: Pool, call: Call, load: ClosedLoad): Promise<string | undefined> {
    return new Promise(resolve => {
        let status = 0;
        let reason: string | undefined;
        let size = 0;
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: () => undefined,
            onResponseStart: (controller, statusCode, received) => {
                status = statusCode;
                reason = received[headers.reason]?.toString();
            },
            onResponseData: (controller, chunk) => {
                size += chunk.length;
            },
            onResponseEnd: () => {
                const isWhole = status === 200 && size === load.answerBytes;
                resolve(isWhole ? undefined : reason ?? `status ${status}`);
            },
            onResponseError: (controller, error) => resolve(error.message),
        };
        pool.dispatch({
            path: load.namePath(call),
            method: call.method,
            headers: call.headers,
            ...(call.body === undefined ? {} : { body: call.body }),
        }, handler);
    });
}
