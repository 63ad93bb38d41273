/**
 * Open-loop load: calls leave at times drawn from a seed, whether or not earlier ones have been answered.
 */
import type { Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { createRandom } from "../../src/core/random.js";
import { MILLISECONDS_PER_SECOND, pause } from "../../src/core/time.js";
import { headers } from "../../src/platform/worker.js";
import { createHistogram } from "./closed.js";
import { SERVICE } from "./sources.js";
import { CALL_HEADER } from "./upstream.js";

const MICROSECONDS_PER_MILLISECOND = 1_000;
/** Time beyond its deadline after which a caller gives a call up. */
const PATIENCE_MILLISECONDS = 2_000;

/** What an open load is made of. */
export interface OpenLoad {
    readonly seed: number;
    readonly name: string;
    /** Gives the origins to call; a caller goes to the next one when the connection is refused. */
    origins(): readonly string[];
    readonly perSecond: number;
    readonly durationMilliseconds: number;
    readonly deadlineMilliseconds: number;
    readonly answerBytes: number;
    readonly method: "GET" | "POST";
    /** Ends the load early; calls under way are waited for. */
    readonly signal?: AbortSignal;
}

/** What an open load gave. */
export interface OpenLoadResult {
    sent: number;
    /** Whole answers within the deadline. */
    good: number;
    /** Whole answers after it. */
    late: number;
    notRun: number;
    unknown: number;
    /** Connections that broke after a call was sent, without an answer of the gateway. */
    cut: number;
    /** Calls that no origin took, as their connections were refused. */
    refused: number;
    /** Latency of whole answers from the time at which the call was due, in microseconds. */
    readonly latency: Histogram;
}

/** Runs an open load to the end of its last call. */
export async function runOpenLoad(load: OpenLoad): Promise<OpenLoadResult> {
    const random = createRandom(load.seed);
    const agent = new Agent({ connections: 1_024 });
    const result: OpenLoadResult = {
        sent: 0,
        good: 0,
        late: 0,
        notRun: 0,
        unknown: 0,
        cut: 0,
        refused: 0,
        latency: createHistogram(),
    };
    const calls: Promise<void>[] = [];
    const startedAt = performance.now();
    let dueAt = startedAt;
    for (;;) {
        dueAt += -Math.log(1 - random()) * MILLISECONDS_PER_SECOND / load.perSecond;
        if (dueAt - startedAt > load.durationMilliseconds || load.signal?.aborted === true) {
            break;
        }
        if (dueAt > performance.now()) {
            await pause(dueAt - performance.now());
        }
        result.sent += 1;
        calls.push(makeCall(load, agent, result, dueAt, Math.floor(random() * load.origins().length)));
    }
    await Promise.all(calls);
    await agent.destroy();
    return result;
}

async function makeCall(
    load: OpenLoad,
    agent: Agent,
    result: OpenLoadResult,
    dueAt: number,
    first: number,
): Promise<void> {
    const call = `${load.name}-${result.sent}`;
    const origins = load.origins();
    for (let step = 0; step < origins.length; step += 1) {
        const origin = origins[(first + step) % origins.length] ?? "";
        try {
            const answer = await request(`${origin}/${SERVICE}/kits/17`, {
                method: load.method,
                headers: { [CALL_HEADER]: call, [headers.deadline]: String(load.deadlineMilliseconds) },
                ...(load.method === "POST" ? { body: call } : {}),
                dispatcher: agent,
                signal: AbortSignal.timeout(load.deadlineMilliseconds + PATIENCE_MILLISECONDS),
            });
            const body = await answer.body.arrayBuffer();
            count(load, result, answer.statusCode, answer.headers[headers.outcome], body.byteLength, dueAt);
            return;
        }
        catch (thrown) {
            if ((thrown as { code?: string; }).code !== "ECONNREFUSED") {
                result.cut += 1;
                return;
            }
        }
    }
    result.refused += 1;
}

function count(
    load: OpenLoad,
    result: OpenLoadResult,
    status: number,
    outcome: string | string[] | undefined,
    size: number,
    dueAt: number,
): void {
    if (outcome === "not-run") {
        result.notRun += 1;
        return;
    }
    if (status !== 200 || size !== load.answerBytes) {
        result.unknown += 1;
        return;
    }
    const latency = performance.now() - dueAt;
    result.latency.recordValue(Math.max(1, Math.round(latency * MICROSECONDS_PER_MILLISECOND)));
    if (latency <= load.deadlineMilliseconds) {
        result.good += 1;
        return;
    }
    result.late += 1;
}
