/**
 * Sends one request to replicas until one has answered, or until a retry could run the request twice.
 */
import type { Route } from "../core/messages/routes.js";
import type { Random } from "../core/random.js";
import { jitter } from "../core/random.js";
import type { Clock } from "../core/time.js";
import { pause } from "../core/time.js";
import { headers } from "../platform/worker.js";
import type { RetryBudget } from "./admission/retry-budget.js";
import type { Reservation, UpstreamSelector } from "./admission/selector.js";
import type { WholeAnswer } from "./callers/answer.js";
import type { CallerRequest } from "./callers/request.js";
import { reasons } from "./counters.js";
import type { RequestCounters } from "./counters.js";
import { notRun, unknownOutcome } from "./refusal.js";
import type { Refusal } from "./refusal.js";
import { nameAttempt } from "./routes/table.js";
import type { RequestSettings } from "./settings.js";
import { exchange } from "./upstream/exchange.js";
import type { AnswerSink, ExchangeResult } from "./upstream/exchange.js";
import type { ReplicaOutcome } from "./upstream/health.js";

/** Reasons with which an upstream refuses because it is leaving, or because the attempt does not run there. */
const LEAVING_REASONS = new Set(["leaving", "attempt"]);
/** Outcomes for the replica's health by reason; all other failures count as `failed`. */
const REPLICA_OUTCOMES = new Map<string, ReplicaOutcome>([
    [reasons.permitLapsed, "unused"],
    [reasons.callerTooSlow, "unused"],
    [reasons.upstreamTimeout, "timed-out"],
]);
const FIRST_SERVER_ERROR = 500;
const RETRY_SPREAD = 0.5;

/** Result of a request after all attempts. */
export type AttemptsResult =
    | { readonly kind: "whole"; readonly answer: WholeAnswer; }
    | { readonly kind: "streamed"; readonly status: number; }
    /** The caller's connection was closed in the middle of an answer. */
    | { readonly kind: "cut"; readonly reason: string; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** Dependencies of attempts. */
export interface AttemptsOptions {
    /** Name under which workers report this gateway's connections. */
    readonly holder: string;
    readonly settings: RequestSettings;
    readonly selector: UpstreamSelector;
    readonly counters: RequestCounters;
    readonly clock: Clock;
    readonly random: Random;
    budgetOf(service: string): RetryBudget;
    /** Called after a time-out on a replica. */
    onTimeout(route: Route, startedAtMilliseconds: number): void;
    /** Called when a replica refuses a request because it is leaving. */
    onLeaving(route: Route): void;
}

/** A request with its answer's sink and its limits. */
export interface AttemptsRequest {
    readonly request: CallerRequest;
    readonly sink: AnswerSink;
    /** Deadline that the upstream is given; never later than the caller's deadline. */
    readonly latestEndMilliseconds: number;
    /** Called right before the first byte of each attempt is sent. */
    maySend(now: number): boolean;
    /** True once nobody can read the answer any more. */
    readonly hasCallerLeft: () => boolean;
}

/** Makes attempts. Retries a request only where its last attempt provably did not run. */
export async function makeAttempts(
    attemptsRequest: AttemptsRequest,
    options: AttemptsOptions,
): Promise<AttemptsResult> {
    const { request } = attemptsRequest;
    const { settings, selector, clock } = options;
    const tried = new Set<Route>();
    const budget = options.budgetOf(request.service);
    let lastRefusal: Refusal | undefined;
    for (let attempt = 1; attempt <= settings.attempts; attempt += 1) {
        const { service, priority, deadlineMilliseconds } = request;
        const acquireRequest = {
            service,
            priority,
            deadlineMilliseconds,
            tried,
            hasCallerLeft: attemptsRequest.hasCallerLeft,
        };
        if (lastRefusal !== undefined) {
            if (!selector.hasUntried(acquireRequest, clock()) || !budget.tryAcquire()) {
                return { kind: "refused", refusal: lastRefusal };
            }
            options.counters.countRetry(lastRefusal.reason);
            await pause(jitter(settings.retryDelayMilliseconds, RETRY_SPREAD, options.random));
        }
        // The body, the guards or the pause before a retry may have taken the time.
        if (clock() >= deadlineMilliseconds) {
            const refusal = notRun(503, reasons.deadlinePassed, "the deadline passed before the request could be sent");
            return { kind: "refused", refusal };
        }
        const acquired = await selector.acquire(acquireRequest, clock());
        if (acquired.isErr) {
            return { kind: "refused", refusal: lastRefusal ?? acquired.error };
        }
        const outcome = await makeAttempt(acquired.value, attemptsRequest, options);
        if (outcome.kind !== "refused" || outcome.refusal.outcome !== "not-run" || !outcome.mayRetry) {
            if (outcome.kind === "whole" || outcome.kind === "streamed") {
                budget.observeSuccess();
            }
            return outcome;
        }
        tried.add(acquired.value.route);
        lastRefusal = outcome.refusal;
    }
    return { kind: "refused", refusal: lastRefusal ?? notRun(503, reasons.noUpstream, "no attempt was made") };
}

type AttemptResult =
    | Exclude<AttemptsResult, { kind: "refused"; }>
    | { readonly kind: "refused"; readonly refusal: Refusal; readonly mayRetry: boolean; };

async function makeAttempt(
    reservation: Reservation,
    attemptsRequest: AttemptsRequest,
    options: AttemptsOptions,
): Promise<AttemptResult> {
    const { request, sink } = attemptsRequest;
    const { settings, selector, clock, holder } = options;
    const { route, connection } = reservation;
    const { requestId, idempotencyKey } = request.guarded;
    const sentHeaders = request.headers;
    sentHeaders[headers.service] = request.service;
    sentHeaders[headers.attempt] = nameAttempt(route);
    sentHeaders[headers.deadline] = String(Math.floor(attemptsRequest.latestEndMilliseconds));
    sentHeaders[headers.gateway] = holder;
    sentHeaders[headers.requestId] = requestId;
    sentHeaders[headers.priority] = String(request.priority);
    const result = await exchange(connection.client, {
        method: request.method,
        path: request.path,
        headers: sentHeaders,
        body: request.body,
        requestId,
        bufferBytes: idempotencyKey === undefined ? settings.answerBufferBytes : settings.recordedAnswerBytes,
        limitBytes: settings.answerLimitBytes,
        timeoutMilliseconds: attemptsRequest.latestEndMilliseconds - clock(),
        maySend: () => attemptsRequest.maySend(clock()),
    }, sink);
    const replicaOutcome = classifyForHealth(result);
    selector.finish(reservation, replicaOutcome, clock());
    if (replicaOutcome === "timed-out") {
        options.onTimeout(route, reservation.startedAtMilliseconds);
    }
    if (replicaOutcome === "left") {
        options.onLeaving(route);
    }
    return toAttemptResult(result);
}

function classifyForHealth(result: ExchangeResult): ReplicaOutcome {
    if (result.kind === "failed") {
        return REPLICA_OUTCOMES.get(result.reason) ?? "failed";
    }
    if (result.kind === "whole" && result.headers[headers.outcome] === "not-run") {
        return LEAVING_REASONS.has(String(result.headers[headers.reason])) ? "left" : "refused";
    }
    return result.status >= FIRST_SERVER_ERROR ? "erred" : "answered";
}

function toAttemptResult(result: ExchangeResult): AttemptResult {
    if (result.kind === "whole") {
        const { status, headers: answerHeaders, body } = result;
        if (answerHeaders[headers.outcome] === "not-run") {
            const message = `an upstream refused the request: ${String(answerHeaders[headers.reason] ?? status)}`;
            return { kind: "refused", refusal: notRun(503, reasons.upstreamRefused, message), mayRetry: true };
        }
        if (answerHeaders[headers.outcome] === "unknown") {
            const message = `an upstream abandoned the request: ${String(answerHeaders[headers.reason] ?? status)}`;
            return {
                kind: "refused",
                refusal: unknownOutcome(status, reasons.upstreamGaveUp, message),
                mayRetry: false,
            };
        }
        return { kind: "whole", answer: { status, headers: answerHeaders, body } };
    }
    if (result.kind === "streamed") {
        return { kind: "streamed", status: result.status };
    }
    const { reason, message, responseStarted: begun, sent } = result;
    if (begun) {
        return { kind: "cut", reason };
    }
    if (!sent) {
        const isConnectFailure = reason === reasons.connectFailed;
        return {
            kind: "refused",
            refusal: notRun(isConnectFailure ? 502 : 503, reason, message),
            mayRetry: isConnectFailure,
        };
    }
    const status = reason === reasons.upstreamTimeout ? 504 : 502;
    return { kind: "refused", refusal: unknownOutcome(status, reason, message), mayRetry: false };
}
