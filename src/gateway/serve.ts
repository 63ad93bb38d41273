/**
 * Handles one request, from its head to the last byte of its answer.
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { describeThrown } from "../core/errors.js";
import type { Logger } from "../core/log.js";
import type { Clock } from "../core/time.js";
import type { ServiceRule } from "../rules/rule.js";
import { makeAttempts } from "./attempts.js";
import type { AttemptsOptions, AttemptsResult } from "./attempts.js";
import { createAnswerSink, fromRecordedAnswer, toRecordedAnswer, writeAnswer } from "./callers/answer.js";
import { readBody } from "./callers/body.js";
import { readCallerRequest, readTarget } from "./callers/request.js";
import type { CallerRequest } from "./callers/request.js";
import { reasons } from "./counters.js";
import type { RequestCounters } from "./counters.js";
import type { PeerForwarder } from "./forward.js";
import type { Admission, Guard, Permit, PermitOutcome } from "./guard.js";
import { notRun, unknownOutcome, writeRefusal } from "./refusal.js";
import type { Refusal } from "./refusal.js";
import type { RequestSettings } from "./settings.js";
import type { AnswerSink } from "./upstream/exchange.js";

const STATUS_CLASS_DIVISOR = 100;

/** Dependencies of request handling. */
export interface ServeOptions {
    readonly settings: RequestSettings;
    readonly guards: readonly Guard[];
    readonly attempts: AttemptsOptions;
    readonly forwarder: PeerForwarder;
    readonly counters: RequestCounters;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Rule of a service; `undefined` where the configuration has none, or where there is no configuration. */
    findRule(service: string): ServiceRule | undefined;
    isConfigured(): boolean;
}

/** Serves one request; does not reject. */
export async function serve(
    incoming: IncomingMessage,
    response: ServerResponse,
    url: string,
    forwarded: boolean,
    options: ServeOptions,
): Promise<void> {
    // A closed connection is detected by `destroyed`; an error event without a listener would end the process.
    response.on("error", ignoreError);
    try {
        const refusal = await handleRequest(incoming, response, url, forwarded, options);
        if (refusal !== undefined) {
            options.counters.countRefusal(refusal.reason);
            writeRefusal(response, refusal);
        }
    }
    catch (thrown) {
        options.logger.error("request-failed", { step: "serve", message: describeThrown(thrown) });
        options.counters.countRefusal(reasons.internal);
        writeRefusal(response, unknownOutcome(500, reasons.internal, "the gateway failed with an internal error"));
    }
}

function ignoreError(): void {
    // See `serve`.
}

async function handleRequest(
    incoming: IncomingMessage,
    response: ServerResponse,
    url: string,
    forwarded: boolean,
    options: ServeOptions,
): Promise<Refusal | undefined> {
    const { settings, clock } = options;
    const target = readTarget(url);
    const rule = options.findRule(target.service);
    if (rule === undefined) {
        return options.isConfigured()
            ? notRun(404, reasons.unknownService, "no rule names the service")
            : notRun(503, reasons.noConfiguration, "the gateway has not read a configuration yet");
    }
    const arrivedAt = clock();
    const body = await readBody(incoming, settings);
    if (body.isErr) {
        return body.error;
    }
    const request = readCallerRequest(incoming, {
        target,
        rule,
        body: body.value,
        longestDeadlineMilliseconds: settings.longestDeadlineMilliseconds,
        isForwarded: forwarded,
        createRequestId: randomUUID,
    }, arrivedAt);
    if (request.isErr) {
        return request.error;
    }
    return sendRequest(request.value, response, options);
}

async function sendRequest(
    request: CallerRequest,
    response: ServerResponse,
    options: ServeOptions,
): Promise<Refusal | undefined> {
    const { requestId, idempotencyKey } = request.guarded;
    const sink = createAnswerSink(response, requestId);
    const permits: Permit[] = [];
    const admission = await passGuards(request, permits, options);
    if (admission !== undefined) {
        await finishAll(permits, "not-run");
        return finishResponse(await resolveAdmission(admission, request, sink, options), request, response, options);
    }
    let outcome: PermitOutcome = "unknown";
    let result: AttemptsResult | undefined;
    try {
        const maySend = (now: number) => permits.every(permit => permit.maySend(now));
        const latestEndMilliseconds = permits.reduce(
            (earliest, permit) => Math.min(earliest, permit.latestEndMilliseconds ?? earliest),
            request.deadlineMilliseconds,
        );
        const hasCallerLeft = () => response.destroyed;
        result = await makeAttempts(
            { request, sink, maySend, latestEndMilliseconds, hasCallerLeft },
            options.attempts,
        );
        outcome = findPermitOutcome(result);
    }
    finally {
        // The outcome is recorded before the answer is written, so that a repeat after the answer finds the record.
        const recorded = idempotencyKey !== undefined && result?.kind === "whole"
            ? toRecordedAnswer(result.answer)
            : undefined;
        await finishAll(permits, outcome, recorded);
    }
    return finishResponse(result, request, response, options);
}

/** Runs the guards in order; returns the first decision other than `proceed`. */
async function passGuards(
    request: CallerRequest,
    permits: Permit[],
    options: ServeOptions,
): Promise<Exclude<Admission, { kind: "proceed"; }> | undefined> {
    for (const guard of options.guards) {
        const admission = await guard.admit(request.guarded, options.clock());
        if (admission.kind !== "proceed") {
            return admission;
        }
        permits.push(admission.permit);
    }
    return undefined;
}

async function resolveAdmission(
    admission: Exclude<Admission, { kind: "proceed"; }>,
    request: CallerRequest,
    sink: AnswerSink,
    options: ServeOptions,
): Promise<AttemptsResult> {
    if (admission.kind === "forward") {
        return options.forwarder.forward(admission.origin, request, sink);
    }
    if (admission.kind === "replay") {
        return { kind: "whole", answer: fromRecordedAnswer(admission.answer) };
    }
    const { status, outcome, reason, message } = admission;
    return { kind: "refused", refusal: { status, outcome, reason, message } };
}

async function finishAll(
    permits: readonly Permit[],
    outcome: PermitOutcome,
    recorded?: ReturnType<typeof toRecordedAnswer>,
): Promise<void> {
    for (const permit of permits.toReversed()) {
        await permit.finish(outcome, recorded);
    }
}

function findPermitOutcome(result: AttemptsResult): PermitOutcome {
    switch (result.kind) {
        case "whole":
        case "streamed":
            return "answered";
        case "cut":
            return "unknown";
        case "refused":
            return result.refusal.outcome;
    }
}

function finishResponse(
    result: AttemptsResult,
    request: CallerRequest,
    response: ServerResponse,
    options: ServeOptions,
): Refusal | undefined {
    switch (result.kind) {
        case "whole":
            countAnswer(request, result.answer.status, options);
            writeAnswer(response, result.answer, request.method, request.guarded.requestId);
            return undefined;
        case "streamed":
            countAnswer(request, result.status, options);
            return undefined;
        case "cut":
            options.counters.countRefusal(result.reason);
            return undefined;
        case "refused":
            return result.refusal;
    }
}

function countAnswer(request: CallerRequest, status: number, options: ServeOptions): void {
    options.counters.countAnswer(request.service, `${Math.floor(status / STATUS_CLASS_DIVISOR)}xx`);
}
