/**
 * Parses callers' requests.
 */
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import { Result } from "true-myth/result";
import { headers } from "../../platform/worker.js";
import type { ServiceRule } from "../../rules/rule.js";
import { reasons } from "../counters.js";
import type { GuardedRequest } from "../guard.js";
import { notRun } from "../refusal.js";
import type { Refusal } from "../refusal.js";

/** Header that makes a request safe to repeat. */
const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
const LOWEST_PRIORITY = 9;
const KEY_LIMIT_CHARACTERS = 256;

/** Hop-by-hop headers, and headers that the gateway sets itself. */
const DROPPED_REQUEST_HEADERS = new Set<string>([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
    ...Object.values(headers),
]);

/** A caller's request with its body. */
export interface CallerRequest {
    readonly service: string;
    readonly method: string;
    /** Path and query without the service's name. */
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer;
    readonly priority: number;
    readonly guarded: GuardedRequest;
    readonly deadlineMilliseconds: number;
}

/** Service and path of a caller's URL. */
export interface Target {
    readonly service: string;
    readonly path: string;
}

/** Splits `/SERVICE/PATH?QUERY`. */
export function readTarget(url: string): Target {
    const end = url.slice(1).search(/[/?]/);
    if (end < 0) {
        return { service: url.slice(1), path: "/" };
    }
    const pathAndQuery = url.slice(end + 1);
    return { service: url.slice(1, end + 1), path: pathAndQuery.startsWith("/") ? pathAndQuery : `/${pathAndQuery}` };
}

/** Options for reading a request. */
export interface ReadOptions {
    readonly target: Target;
    readonly rule: ServiceRule;
    readonly body: Buffer;
    readonly longestDeadlineMilliseconds: number;
    /** True if another gateway forwarded the request: its deadline header is a time, a caller's a number of milliseconds. */
    readonly isForwarded: boolean;
    createRequestId(): string;
}

/** Reads deadline, priority and keys of a request whose body has been read. */
export function readCallerRequest(
    incoming: IncomingMessage,
    options: ReadOptions,
    now: number,
): Result<CallerRequest, Refusal> {
    const { rule, target, body, isForwarded } = options;
    const deadline = readDeadline(incoming.headers, options, now);
    const priority = readPriority(incoming.headers, rule.priority);
    const idempotencyKey = readHeader(incoming.headers, IDEMPOTENCY_KEY_HEADER);
    if (deadline === undefined || priority === undefined || (idempotencyKey?.length ?? 0) > KEY_LIMIT_CHARACTERS) {
        return Result.err(notRun(400, reasons.invalidRequest, "a flamingowell or idempotency header is not valid"));
    }
    const exclusiveKey = readExclusiveKey(incoming.headers, rule, target.path);
    if (rule.exclusive !== undefined && exclusiveKey === undefined) {
        return Result.err(notRun(400, reasons.invalidRequest, "the service is exclusive and the request has no key"));
    }
    const method = incoming.method ?? "GET";
    const forwardedRequestId = isForwarded ? readHeader(incoming.headers, headers.requestId) : undefined;
    return Result.ok({
        service: target.service,
        method,
        path: target.path,
        headers: copyHeaders(incoming.headers),
        body,
        priority,
        deadlineMilliseconds: deadline,
        guarded: {
            requestId: forwardedRequestId ?? options.createRequestId(),
            service: target.service,
            ...(exclusiveKey === undefined ? {} : { exclusiveKey }),
            ...(idempotencyKey === undefined
                ? {}
                : { idempotencyKey, fingerprint: computeFingerprint(method, target.path, body) }),
            deadlineMilliseconds: deadline,
            forwarded: isForwarded,
        },
    });
}

function readDeadline(incoming: IncomingHttpHeaders, options: ReadOptions, now: number): number | undefined {
    const text = readHeader(incoming, headers.deadline);
    if (text === undefined) {
        return now + Math.min(options.rule.deadlineMilliseconds, options.longestDeadlineMilliseconds);
    }
    const value = Number(text);
    if (!Number.isFinite(value) || value < 0) {
        return undefined;
    }
    const latest = now + options.longestDeadlineMilliseconds;
    return Math.min(latest, options.isForwarded ? value : now + value);
}

function readPriority(incoming: IncomingHttpHeaders, defaultPriority: number): number | undefined {
    const text = readHeader(incoming, headers.priority);
    if (text === undefined) {
        return defaultPriority;
    }
    const value = Number(text);
    return Number.isInteger(value) && value >= 0 && value <= LOWEST_PRIORITY ? value : undefined;
}

function readExclusiveKey(incoming: IncomingHttpHeaders, rule: ServiceRule, path: string): string | undefined {
    if (rule.exclusive === undefined) {
        return undefined;
    }
    if (rule.exclusive.source === "header") {
        return readHeader(incoming, rule.exclusive.name.toLowerCase());
    }
    const [pathOnly = ""] = path.split("?", 1);
    const segment = pathOnly.split("/")[rule.exclusive.segment + 1];
    return segment === "" ? undefined : segment;
}

function readHeader(incoming: IncomingHttpHeaders, name: string): string | undefined {
    const value = incoming[name];
    return Array.isArray(value) ? value[0] : value;
}

function copyHeaders(incoming: IncomingHttpHeaders): Record<string, string | string[]> {
    const copied: Record<string, string | string[]> = {};
    for (const name in incoming) {
        const value = incoming[name];
        if (value !== undefined && !DROPPED_REQUEST_HEADERS.has(name)) {
            copied[name] = value;
        }
    }
    return copied;
}

function computeFingerprint(method: string, path: string, body: Buffer): string {
    return createHash("sha256").update(`${method}\n${path}\n`).update(body).digest("hex");
}
