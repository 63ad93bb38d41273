/**
 * Requests of the JSON gateway of the etcd v3 API, as far as the stand-in serves them.
 */
import * as z from "zod";
import type { KeyChange, KeyRange, StoredKey } from "./keyspace.js";

const NumberText = z.union([z.string(), z.number()]).transform(Number).pipe(z.number());
const LeaseText = z.union([z.string(), z.number()]).transform(String);

export const RangeRequest = z.object({
    key: z.string(),
    range_end: z.string().optional(),
    limit: NumberText.default(0),
    keys_only: z.boolean().default(false),
    count_only: z.boolean().default(false),
});
export type RangeRequest = z.infer<typeof RangeRequest>;

export const PutRequest = z.object({ key: z.string(), value: z.string().default(""), lease: LeaseText.default("") });
export const DeleteRequest = z.object({ key: z.string(), range_end: z.string().optional() });

export const CompareRequest = z.object({
    key: z.string(),
    target: z.enum(["MOD", "CREATE", "VERSION", "VALUE"]),
    result: z.enum(["EQUAL", "GREATER", "LESS", "NOT_EQUAL"]).default("EQUAL"),
    mod_revision: NumberText.default(0),
    create_revision: NumberText.default(0),
    version: NumberText.default(0),
    value: z.string().default(""),
});
export type CompareRequest = z.infer<typeof CompareRequest>;

export const Operation = z.union([
    z.object({ request_put: PutRequest }),
    z.object({ request_delete_range: DeleteRequest }),
    z.object({ request_range: RangeRequest }),
]);
export type Operation = z.infer<typeof Operation>;

export const TransactionRequest = z.object({
    compare: z.array(CompareRequest).default([]),
    success: z.array(Operation).default([]),
    failure: z.array(Operation).default([]),
});
export type TransactionRequest = z.infer<typeof TransactionRequest>;

export const LeaseGrantRequest = z.object({ TTL: NumberText, ID: LeaseText.optional() });
export const LeaseRequest = z.object({ ID: LeaseText });

export const WatchRequest = z.object({
    create_request: z.object({
        key: z.string(),
        range_end: z.string().optional(),
        start_revision: NumberText.default(0),
        progress_notify: z.boolean().default(false),
    }),
});
export type WatchRequest = z.infer<typeof WatchRequest>;

/** gRPC status codes that the stand-in answers with, and their HTTP statuses. */
export const grpcStatus = {
    invalidArgument: { code: 3, status: 400 },
    notFound: { code: 5, status: 404 },
    resourceExhausted: { code: 8, status: 429 },
    unavailable: { code: 14, status: 503 },
} as const;

/** A call that is refused without effect. */
export class StoreRefusal extends Error {
    constructor(readonly grpc: { readonly code: number; readonly status: number; }, message: string) {
        super(message);
    }
}

/** Reads a range from a request; keys become latin1 strings of their bytes. */
export function toRange(request: { key: string; range_end?: string | undefined; }): KeyRange {
    return {
        key: decodeKey(request.key),
        rangeEnd: request.range_end === undefined || request.range_end === ""
            ? undefined
            : decodeKey(request.range_end),
    };
}

/** Decodes a key to a latin1 string of its bytes. */
export function decodeKey(encoded: string): string {
    return Buffer.from(encoded, "base64").toString("latin1");
}

/** Writes an entry as the API does: 64-bit numbers as text. */
export function writeEntry(entry: StoredKey, keysOnly = false): object {
    return {
        key: Buffer.from(entry.key, "latin1").toString("base64"),
        create_revision: String(entry.createRevision),
        mod_revision: String(entry.modRevision),
        version: String(entry.version),
        ...(keysOnly ? {} : { value: entry.value }),
        ...(entry.lease === "" ? {} : { lease: entry.lease }),
    };
}

/** Writes a change as an event of a watch; the API leaves out the type of a put. */
export function writeEvent(change: KeyChange): object {
    return { ...(change.type === "DELETE" ? { type: "DELETE" } : {}), kv: writeEntry(change.entry) };
}

/** Writes the header of an answer. */
export function writeHeader(revision: number): object {
    return { revision: String(revision) };
}
