/**
 * Open-loop load: requests leave at times drawn from a seed, whether or not earlier ones have been answered.
 *
 * Latency is measured from the time at which a request was due, so that a slow system cannot hide behind its callers.
 */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import type { Dispatcher } from "undici";
import { describeThrown } from "../../src/core/errors.js";
import { createRandom } from "../../src/core/random.js";
import type { Random } from "../../src/core/random.js";
import { pause } from "../../src/core/time.js";
import type { Clock } from "../../src/core/time.js";
import { headers } from "../../src/platform/worker.js";
import { findFault } from "../../stand-ins/worker/index.js";

/** A request to make. */
export interface Call {
    readonly service: string;
    /** First segment of the path after the service's name; the key of exclusive services. */
    readonly key: string;
    readonly method: "GET" | "POST";
    readonly idempotencyKey?: string;
    /** Time within which the caller needs its answer. */
    readonly deadlineMilliseconds?: number;
    readonly priority?: number;
}

/** How a call ended, as its caller saw it. */
export type CallOutcome = "answered" | "not-run" | "unknown" | "wrong" | "partial" | "cut" | "refused" | "error";

/** What a caller writes down of one call. */
export interface CallRecord extends Call {
    /** The caller's own id of the call. */
    readonly call: string;
    /** Id that travels in the request and comes back in its answer; repeats of an idempotency key share it. */
    readonly wire: string;
    readonly gateway: string;
    /** Milliseconds since the Unix epoch: when it was due, was sent, and ended. */
    readonly dueAt: number;
    readonly sentAt: number;
    readonly endedAt: number;
    readonly outcome: CallOutcome;
    readonly status: number;
    /** Reason of a refusal, or what was wrong with the answer. */
    readonly detail: string;
}

/** Options of a load. */
export interface LoadOptions {
    readonly seed: number;
    /** Callers' origins of gateways, or a balancer that gives them anew for each call. */
    readonly origins: readonly string[] | (() => readonly string[]);
    readonly callsPerSecond: number;
    readonly durationMilliseconds: number;
    /** Prefix of call ids, so that several loads do not share any. */
    readonly name: string;
    readonly clock: Clock;
    drawCall(random: Random, index: number): Call;
    onRecord?(record: CallRecord): void;
    readonly signal?: AbortSignal;
    /** A call without an answer is given up after this. */
    readonly timeoutMilliseconds?: number;
    readonly connectionsPerOrigin?: number;
    /** False leaves the header out while repeats stay the same request. */
    readonly idempotencyHeader?: boolean;
}

/** What a load gives back. */
export interface LoadResult {
    /** Latency from due time to whole answer, in milliseconds, of answered calls. */
    readonly latency: Histogram;
    readonly outcomes: Record<CallOutcome, number>;
    readonly sent: number;
    /** How late the generator itself was at most, in milliseconds. */
    readonly latestStartMilliseconds: number;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 15_000;
const DEFAULT_CONNECTIONS = 256;

interface Load {
    readonly options: LoadOptions;
    readonly dispatcher: Dispatcher;
    readonly result: { latestStartMilliseconds: number; sent: number; } & LoadResult;
}

/** Runs a load to its end; all calls have ended when it resolves. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
    const { clock, signal } = options;
    const random = createRandom(options.seed);
    const dispatcher = new Agent({ connections: options.connectionsPerOrigin ?? DEFAULT_CONNECTIONS });
    const load: Load = { options, dispatcher, result: createResult() };
    const startedAt = clock();
    const calls: Promise<void>[] = [];
    let dueAt = startedAt;
    for (let index = 0; signal?.aborted !== true; index += 1) {
        dueAt += drawGap(options.callsPerSecond, random);
        if (dueAt - startedAt >= options.durationMilliseconds) {
            break;
        }
        const call = options.drawCall(random, index);
        const choice = random();
        const wait = dueAt - clock();
        if (wait > 0) {
            await pause(wait, signal);
        }
        const origins = typeof options.origins === "function" ? options.origins() : options.origins;
        const origin = origins[Math.floor(choice * origins.length)] ?? "http://127.0.0.1:1";
        calls.push(makeCall(load, call, `${options.name}-${index}`, origin, dueAt));
    }
    await Promise.all(calls);
    await dispatcher.close();
    return load.result;
}

function createResult(): Load["result"] {
    return {
        latency: build({
            lowestDiscernibleValue: 1,
            highestTrackableValue: 3_600_000,
            numberOfSignificantValueDigits: 3,
        }),
        outcomes: { answered: 0, "not-run": 0, unknown: 0, wrong: 0, partial: 0, cut: 0, refused: 0, error: 0 },
        sent: 0,
        latestStartMilliseconds: 0,
    };
}

/** Draws the time to the next call of a Poisson process. */
function drawGap(perSecond: number, random: Random): number {
    return -Math.log(1 - random()) * 1_000 / perSecond;
}

async function makeCall(load: Load, call: Call, id: string, origin: string, dueAt: number): Promise<void> {
    const { options, result } = load;
    const sentAt = options.clock();
    result.sent += 1;
    result.latestStartMilliseconds = Math.max(result.latestStartMilliseconds, sentAt - dueAt);
    const ended = await send(load, call, id, origin);
    const endedAt = options.clock();
    result.outcomes[ended.outcome] += 1;
    if (ended.outcome === "answered") {
        result.latency.recordValue(Math.max(1, Math.round(endedAt - dueAt)));
    }
    options.onRecord?.({
        ...call,
        call: id,
        wire: nameWire(call, id),
        gateway: origin,
        dueAt,
        sentAt,
        endedAt,
        ...ended,
    });
}

/** A repeat under an idempotency key is the same request, byte for byte. */
function nameWire(call: Call, id: string): string {
    return call.idempotencyKey ?? id;
}

type Ended = Pick<CallRecord, "outcome" | "status" | "detail">;

async function send(load: Load, call: Call, id: string, origin: string): Promise<Ended> {
    const wire = nameWire(call, id);
    const body = call.method === "POST" ? JSON.stringify({ call: wire, content: `${call.service} ${call.key}` }) : "";
    let status = 0;
    try {
        const answer = await request(
            `${origin}/${call.service}/${encodeURIComponent(call.key)}?call=${encodeURIComponent(wire)}`,
            {
                method: call.method,
                headers: createHeaders(call, load.options.idempotencyHeader ?? true),
                ...(body === "" ? {} : { body }),
                signal: AbortSignal.timeout(load.options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS),
                dispatcher: load.dispatcher,
            },
        );
        status = answer.statusCode;
        const text = await answer.body.text();
        return judge(status, answer.headers, text, wire, body);
    }
    catch (thrown) {
        const code = (thrown as { code?: string; }).code ?? "";
        const outcome = code === "ECONNREFUSED" ? "refused" : "cut";
        return { outcome, status, detail: `${code} ${describeThrown(thrown)}`.trim() };
    }
}

function createHeaders(call: Call, idempotencyHeader: boolean): Record<string, string> {
    return {
        [headers.service]: call.service,
        ...(call.method === "POST" ? { "content-type": "application/json" } : {}),
        ...(call.idempotencyKey === undefined || !idempotencyHeader ? {} : { "idempotency-key": call.idempotencyKey }),
        ...(call.deadlineMilliseconds === undefined
            ? {}
            : { [headers.deadline]: String(call.deadlineMilliseconds) }),
        ...(call.priority === undefined ? {} : { [headers.priority]: String(call.priority) }),
    };
}

function judge(
    status: number,
    answerHeaders: Record<string, string | string[] | undefined>,
    text: string,
    wire: string,
    body: string,
): Ended {
    const outcome = answerHeaders[headers.outcome];
    const reason = String(answerHeaders[headers.reason] ?? "");
    if (outcome === "not-run" || outcome === "unknown") {
        return { outcome, status, detail: reason };
    }
    if (status !== 200) {
        return { outcome: "error", status, detail: text.slice(0, 200) };
    }
    const fault = findFault(text, wire, body);
    if (fault === undefined) {
        return { outcome: "answered", status, detail: "" };
    }
    return { outcome: fault.startsWith("crossed") ? "wrong" : "partial", status, detail: fault };
}
