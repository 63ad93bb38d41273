/**
 * Guard of requests with an idempotency key: at most one run, and the recorded outcome for each repeat.
 *
 * An intent is committed before the request is sent and the outcome after it; through whichever gateway a repeat comes,
 * it finds the one or the other.
 */
import { randomUUID } from "node:crypto";
import type { Failure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import type { Metrics } from "../../core/metrics.js";
import { parseJson } from "../../core/parse.js";
import type { Clock } from "../../core/time.js";
import { createTimeout, MILLISECONDS_PER_SECOND, pause } from "../../core/time.js";
import type { KeyValue, Store } from "../../platform/store.js";
import type { Admission, Guard, GuardedRequest, Permit, PermitOutcome, RecordedAnswer } from "../guard.js";
import { IdempotencyRecord, nameRecord } from "./record.js";
import { createRetention } from "./retention.js";
import type { Retention } from "./retention.js";
import type { IdempotencySettings } from "./settings.js";
import { createRecordWriter } from "./writer.js";
import type { RecordWriter } from "./writer.js";

const STATUS_UNAVAILABLE = 503;
const STATUS_CONFLICT = 409;
const STATUS_UNPROCESSABLE = 422;
const BASE64_BYTES_PER_BYTE = 4 / 3;

/** Options of the guard. */
export interface IdempotencyOptions {
    readonly settings: IdempotencySettings;
    readonly store: Store;
    /** Number of gateways that share the store's rate, this one included. */
    countGateways(): number;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** The guard, and the records that it still has to write. */
export interface IdempotencyGuard extends Guard {
    /** Waits until all outcomes are recorded, at most for a time; called when no request is under way any more. */
    flush(limitMilliseconds: number): Promise<void>;
}

interface GuardContext extends IdempotencyOptions {
    /** Outcomes that are being recorded. */
    readonly pendingOutcomes: Set<Promise<void>>;
    readonly writer: RecordWriter;
    readonly retention: Retention;
}

/** Creates the guard. */
export function createIdempotencyGuard(options: IdempotencyOptions): IdempotencyGuard {
    const transactions = options.metrics.counter(
        "flamingowell_gateway_idempotency_transactions_total",
        "Transactions of idempotency records",
    );
    const records = options.metrics.counter(
        "flamingowell_gateway_idempotency_records_total",
        "Idempotency records written",
    );
    const writer = createRecordWriter({
        settings: options.settings,
        store: options.store,
        spacingMilliseconds: () =>
            options.countGateways() * MILLISECONDS_PER_SECOND / options.settings.transactionsPerSecond,
        onTransaction: count => {
            transactions.inc();
            records.inc(count);
        },
    });
    const context = {
        ...options,
        writer,
        retention: createRetention(options),
        pendingOutcomes: new Set<Promise<void>>(),
    };
    return {
        admit: async request => {
            if (request.idempotencyKey === undefined) {
                return { kind: "proceed", permit: { maySend: () => true, finish: async () => undefined } };
            }
            return admitWithKey(request, context);
        },
        flush: async limitMilliseconds => {
            await waitAtMost(Promise.all(context.pendingOutcomes), limitMilliseconds);
        },
    };
}

async function waitAtMost(work: Promise<unknown>, limitMilliseconds: number): Promise<void> {
    const limit = new AbortController();
    await Promise.race([work, pause(limitMilliseconds, limit.signal)]);
    limit.abort();
}

async function admitWithKey(request: GuardedRequest, context: GuardContext): Promise<Admission> {
    const now = context.clock();
    const leaseId = await context.retention.findLease(now);
    if (leaseId.isErr) {
        return refuseUnrecorded(leaseId.error);
    }
    const intent = createIntent(request);
    const deadline = createTimeout(request.deadlineMilliseconds - now);
    const write = { key: nameRecord(request), value: encode(intent), expectedRevision: 0, leaseId: leaseId.value };
    const outcome = await context.writer.write(write, deadline);
    if (outcome.isErr) {
        if (outcome.error.code === "not-found") {
            context.retention.invalidateLease();
        }
        void deleteIntent(write.key, intent, context);
        return refuseUnrecorded(outcome.error);
    }
    if (outcome.value.kind === "conflict") {
        return answerRepeat(request, outcome.value.entry, context);
    }
    const permit = createPermit({
        request,
        key: write.key,
        revision: outcome.value.revision,
        leaseId: leaseId.value,
        context,
    });
    return { kind: "proceed", permit };
}

function createIntent(request: GuardedRequest): IdempotencyRecord {
    return {
        fingerprint: request.fingerprint ?? "",
        // Unlike the caller's request id it differs between two attempts to write the same request's intent.
        requestId: `${request.requestId}/${randomUUID()}`,
        state: "intent",
        deadlineMilliseconds: request.deadlineMilliseconds,
    };
}

function encode(record: IdempotencyRecord): string {
    return JSON.stringify(record);
}

function refuseUnrecorded(failure: Failure): Admission {
    return refuse("idempotency-store-unavailable", `the request could not be recorded: ${failure.message}`);
}

function refuse(
    reason: string,
    message: string,
    status: number = STATUS_UNAVAILABLE,
    outcome: "not-run" | "unknown" = "not-run",
): Admission {
    return { kind: "refuse", status, outcome, reason, message };
}

/** Answers a request whose key has a record, waiting for the outcome while the earlier request may still run. */
async function answerRepeat(
    request: GuardedRequest,
    entry: KeyValue | undefined,
    context: GuardContext,
): Promise<Admission> {
    let latest = entry;
    while (context.clock() < request.deadlineMilliseconds) {
        const answer = latest === undefined ? undefined : readOutcome(request, latest, context.clock());
        if (answer !== undefined) {
            return answer;
        }
        await pause(context.settings.pollMilliseconds);
        const found = await context.store.read({ key: nameRecord(request) });
        if (found.isOk && found.value.entries.length === 0) {
            return refuse("idempotency-withdrawn", "the earlier request did not run; send the request again");
        }
        latest = found.isOk ? found.value.entries[0] : latest;
    }
    return refuse(
        "idempotency-in-progress",
        "an earlier request of the same key is running",
        STATUS_CONFLICT,
        "unknown",
    );
}

function readOutcome(request: GuardedRequest, entry: KeyValue, now: number): Admission | undefined {
    const record = parseJson(IdempotencyRecord, entry.value, `record ${entry.key}`);
    if (record.isErr) {
        return refuse("idempotency-record-unreadable", record.error.message, STATUS_CONFLICT, "unknown");
    }
    const { answer, deadlineMilliseconds, fingerprint, state } = record.value;
    if (fingerprint !== request.fingerprint) {
        return refuse("idempotency-key-reused", "the key was used for a different request", STATUS_UNPROCESSABLE);
    }
    if (state === "answered") {
        return answer === undefined
            ? refuse(
                "idempotency-answer-too-large",
                "the request ran; its answer was not kept",
                STATUS_CONFLICT,
                "unknown",
            )
            : { kind: "replay", answer: { ...answer } };
    }
    const ended = state === "unknown" || now > deadlineMilliseconds;
    return ended
        ? refuse("idempotency-outcome-unknown", "the earlier request may have run", STATUS_CONFLICT, "unknown")
        : undefined;
}

interface PermitOptions {
    readonly request: GuardedRequest;
    readonly key: string;
    readonly revision: number;
    readonly leaseId: string;
    readonly context: GuardContext;
}

function createPermit({ request, key, revision, leaseId, context }: PermitOptions): Permit {
    return {
        maySend: now => now < request.deadlineMilliseconds,
        finish: async (outcome, answer) => {
            const record = createOutcomeRecord(request, outcome, answer, context.settings);
            const value = record === undefined ? undefined : encode(record);
            const recorded = recordOutcome({ key, value, expectedRevision: revision, leaseId }, context);
            context.pendingOutcomes.add(recorded);
            void recorded.finally(() => context.pendingOutcomes.delete(recorded));
            await waitAtMost(recorded, context.settings.outcomeWaitMilliseconds);
        },
    };
}

/** Gives the record of an outcome; `undefined` deletes the intent, so that the key can be used again. */
function createOutcomeRecord(
    request: GuardedRequest,
    outcome: PermitOutcome,
    answer: RecordedAnswer | undefined,
    settings: IdempotencySettings,
): IdempotencyRecord | undefined {
    if (outcome === "not-run") {
        return undefined;
    }
    const record = { ...createIntent(request), state: outcome };
    const bodyBytes = (answer?.body.length ?? 0) / BASE64_BYTES_PER_BYTE;
    if (outcome === "unknown" || answer === undefined || bodyBytes > settings.largestAnswerBytes) {
        return record;
    }
    const headers = answer.headers.map(([name, value]): [string, string] => [name, value]);
    return { ...record, answer: { status: answer.status, headers, body: answer.body } };
}

/** Records an outcome, trying again while the store is away, for as long as anybody may ask for it. */
async function recordOutcome(
    write: { key: string; value: string | undefined; expectedRevision: number; leaseId: string; },
    context: GuardContext,
): Promise<void> {
    const limit = createTimeout(context.settings.retentionSeconds * MILLISECONDS_PER_SECOND);
    while (!limit.aborted) {
        const outcome = await context.writer.write(write, limit);
        if (outcome.isOk) {
            if (outcome.value.kind === "conflict") {
                context.logger.warn("idempotency outcome not recorded", { key: write.key });
            }
            return;
        }
        await pause(context.settings.retryMilliseconds, limit);
    }
}

/** Takes back an intent that may have been written although nothing will be sent for it. */
async function deleteIntent(key: string, intent: IdempotencyRecord, context: GuardContext): Promise<void> {
    const limit = createTimeout(context.settings.retentionSeconds * MILLISECONDS_PER_SECOND);
    while (!limit.aborted) {
        await pause(context.settings.retryMilliseconds, limit);
        const found = await context.store.read({ key });
        if (found.isOk) {
            const [entry] = found.value.entries;
            if (entry?.value === encode(intent)) {
                await context.writer.write({ key, value: undefined, expectedRevision: entry.modRevision }, limit);
            }
            return;
        }
    }
}
