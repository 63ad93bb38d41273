/**
 * What the store does: ranges, transactions and leases over the keyspace.
 */
import type { KeyChange, Keyspace, KeyView } from "./keyspace.js";
import { decodeKey, grpcStatus, StoreRefusal, toRange, writeEntry, writeHeader } from "./messages.js";
import type { CompareRequest, Operation, RangeRequest, TransactionRequest } from "./messages.js";

interface Lease {
    readonly ttlSeconds: number;
    lapsesAtMilliseconds: number;
    readonly keys: Set<string>;
}

/** Carries out calls; refused ones throw `StoreRefusal` and have no effect. */
export interface Engine {
    range(request: RangeRequest, view: KeyView): object;
    readonly transact: (request: TransactionRequest) => object;
    grant(ttlSeconds: number, now: number, wantedId?: string): object;
    keepAlive(leaseId: string, now: number): object;
    revoke(leaseId: string): object;
    /** Deletes the keys of leases that have lapsed. */
    expire(now: number): void;
    leases(): number;
}

/** Options of the engine. */
export interface EngineOptions {
    readonly keyspace: Keyspace;
    readonly valueLimitBytes: number;
    /** Called once for each revision that changed something. */
    readonly onChanges: (changes: readonly KeyChange[], revision: number) => void;
}

const FIRST_LEASE_ID = 7_587_800_000_000_001;

/** Creates the engine. */
export function createEngine({ keyspace, valueLimitBytes, onChanges }: EngineOptions): Engine {
    const leases = new Map<string, Lease>();
    let nextLeaseId = FIRST_LEASE_ID;

    function commit(changes: readonly KeyChange[], revision: number): void {
        if (changes.length > 0) {
            keyspace.commit(revision, changes);
            onChanges(changes, revision);
        }
    }

    function unbind(key: string): void {
        const lease = keyspace.get(key)?.lease ?? "";
        leases.get(lease)?.keys.delete(key);
    }

    function put(request: { key: string; value: string; lease: string; }, revision: number): KeyChange {
        const key = decodeKey(request.key);
        unbind(key);
        const lease = request.lease === "0" ? "" : request.lease;
        leases.get(lease)?.keys.add(key);
        return keyspace.put(key, request.value, lease, revision);
    }

    function remove(keys: readonly string[], revision: number): KeyChange[] {
        return keys.map(key => {
            unbind(key);
            return keyspace.remove(key, revision);
        });
    }

    function apply(operation: Operation, revision: number, changes: KeyChange[]): object {
        if ("request_put" in operation) {
            changes.push(put(operation.request_put, revision));
            return { response_put: { header: writeHeader(revision) } };
        }
        if ("request_delete_range" in operation) {
            const keys = keyspace.list(toRange(operation.request_delete_range)).map(entry => entry.key);
            changes.push(...remove(keys, revision));
            return { response_delete_range: { header: writeHeader(revision), deleted: String(keys.length) } };
        }
        return { response_range: range(operation.request_range, keyspace) };
    }

    function range(request: RangeRequest, view: KeyView): object {
        const found = view.list(toRange(request));
        const limited = request.limit > 0 ? found.slice(0, request.limit) : found;
        return {
            header: writeHeader(keyspace.revision()),
            kvs: request.count_only ? [] : limited.map(entry => writeEntry(entry, request.keys_only)),
            more: limited.length < found.length,
            count: String(found.length),
        };
    }

    function check(operations: readonly Operation[]): void {
        for (const operation of operations) {
            if (!("request_put" in operation)) {
                continue;
            }
            if (Buffer.byteLength(operation.request_put.value, "base64") > valueLimitBytes) {
                throw new StoreRefusal(grpcStatus.invalidArgument, "etcdserver: request is too large");
            }
            const { lease } = operation.request_put;
            if (lease !== "" && lease !== "0" && !leases.has(lease)) {
                throw new StoreRefusal(grpcStatus.notFound, "etcdserver: requested lease not found");
            }
        }
    }

    function endLease(leaseId: string): void {
        const lease = leases.get(leaseId);
        leases.delete(leaseId);
        const revision = keyspace.revision() + 1;
        commit(remove([...lease?.keys ?? []].sort(), revision), revision);
    }

    return {
        range,
        transact(request) {
            const succeeded = request.compare.every(comparison => holds(comparison, keyspace));
            const operations = succeeded ? request.success : request.failure;
            check(operations);
            const revision = keyspace.revision() + 1;
            const changes: KeyChange[] = [];
            const responses = operations.map(operation => apply(operation, revision, changes));
            commit(changes, revision);
            return { header: writeHeader(keyspace.revision()), ...(succeeded ? { succeeded } : {}), responses };
        },
        grant(ttlSeconds, now, wantedId) {
            const id = wantedId === undefined || wantedId === "0" ? String(nextLeaseId) : wantedId;
            nextLeaseId += 1;
            leases.set(id, { ttlSeconds, lapsesAtMilliseconds: now + ttlSeconds * 1_000, keys: new Set() });
            return { header: writeHeader(keyspace.revision()), ID: id, TTL: String(ttlSeconds) };
        },
        keepAlive(leaseId, now) {
            const header = writeHeader(keyspace.revision());
            const lease = leases.get(leaseId);
            if (lease === undefined) {
                return { result: { header, ID: leaseId } };
            }
            lease.lapsesAtMilliseconds = now + lease.ttlSeconds * 1_000;
            return { result: { header, ID: leaseId, TTL: String(lease.ttlSeconds) } };
        },
        revoke(leaseId) {
            if (!leases.has(leaseId)) {
                throw new StoreRefusal(grpcStatus.notFound, "etcdserver: requested lease not found");
            }
            endLease(leaseId);
            return { header: writeHeader(keyspace.revision()) };
        },
        expire(now) {
            for (const [id, lease] of leases) {
                if (lease.lapsesAtMilliseconds <= now) {
                    endLease(id);
                }
            }
        },
        leases: () => leases.size,
    };
}

function holds(comparison: CompareRequest, keyspace: Keyspace): boolean {
    const entry = keyspace.get(decodeKey(comparison.key));
    switch (comparison.target) {
        case "MOD":
            return compare(entry?.modRevision ?? 0, comparison.mod_revision, comparison.result);
        case "CREATE":
            return compare(entry?.createRevision ?? 0, comparison.create_revision, comparison.result);
        case "VERSION":
            return compare(entry?.version ?? 0, comparison.version, comparison.result);
        case "VALUE":
            return entry !== undefined && compare(entry.value, comparison.value, comparison.result);
    }
}

function compare<Value extends string | number>(
    left: Value,
    right: Value,
    relation: CompareRequest["result"],
): boolean {
    switch (relation) {
        case "EQUAL":
            return left === right;
        case "NOT_EQUAL":
            return left !== right;
        case "GREATER":
            return left > right;
        case "LESS":
            return left < right;
    }
}
