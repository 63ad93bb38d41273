/**
 * Port of the platform's key-value service. Adapters translate it to a wire format.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../core/errors.js";

/** A key with its value and revisions. */
export interface KeyValue {
    readonly key: string;
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    /** Number of writes since the key was created. */
    readonly version: number;
    /** Lease that the key is bound to; empty without one. */
    readonly leaseId: string;
}

/** A read of one key, or of all keys with a prefix. */
export interface ReadRequest {
    readonly key: string;
    readonly prefix?: boolean;
    readonly limit?: number;
    /** Only keys that sort after this one; for reading a long prefix page by page. */
    readonly after?: string;
    readonly keysOnly?: boolean;
}

/** What a read found, and the store's revision at that moment. */
export interface ReadAnswer {
    readonly revision: number;
    readonly entries: readonly KeyValue[];
    /** Entries remain beyond the limit. */
    readonly more: boolean;
}

/** A condition of a transaction. A `modRevision` of 0 means that the key does not exist. */
export interface Comparison {
    readonly key: string;
    readonly target: "modRevision" | "createRevision" | "version";
    readonly relation: "equal" | "greater" | "less";
    readonly value: number;
}

/** A write of a transaction. */
export type WriteOperation =
    | { readonly kind: "put"; readonly key: string; readonly value: string; readonly leaseId?: string; }
    | { readonly kind: "delete"; readonly key: string; readonly prefix?: boolean; };

/** Writes that take effect together where all comparisons hold, else not at all. */
export interface Transaction {
    readonly comparisons: readonly Comparison[];
    readonly writes: readonly WriteOperation[];
    /** Keys read at the same moment where a comparison does not hold. */
    readonly readOnConflict?: readonly string[];
}

/** What became of a transaction. */
export interface TransactionAnswer {
    readonly succeeded: boolean;
    readonly revision: number;
    /** Entries of `readOnConflict` that exist. */
    readonly conflicting: readonly KeyValue[];
}

/** A change seen by a watch. */
export interface WatchEvent {
    readonly kind: "put" | "delete";
    readonly entry: KeyValue;
}

/** A watch on a prefix. */
export interface WatchRequest {
    readonly prefix: string;
    readonly fromRevision: number;
    readonly signal: AbortSignal;
    onEvents(events: readonly WatchEvent[], revision: number): void;
}

/** A lease as granted. */
export interface StoreLease {
    readonly leaseId: string;
    readonly ttlSeconds: number;
}

/**
 * The store. Failures of a write have code `unavailable` or `refused` when it certainly did not take effect, and
 * `ambiguous` when it may have; reads fail with `unavailable` or `timeout`. A lease that has lapsed is `not-found`.
 */
export interface Store {
    read(request: ReadRequest): Promise<Result<ReadAnswer, Failure>>;
    transact(transaction: Transaction): Promise<Result<TransactionAnswer, Failure>>;
    grantLease(ttlSeconds: number): Promise<Result<StoreLease, Failure>>;
    renewLease(leaseId: string): Promise<Result<StoreLease, Failure>>;
    revokeLease(leaseId: string): Promise<Result<void, Failure>>;
    /** Runs until the signal is aborted (an ok result) or the watch breaks; the caller opens a new one. */
    watch(request: WatchRequest): Promise<Result<void, Failure>>;
}
