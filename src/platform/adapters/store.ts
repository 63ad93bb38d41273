/**
 * Store adapter for the JSON gateway of the etcd v3 API.
 */
import { Result } from "true-myth/result";
import { Agent, request } from "undici";
import type { z } from "zod";
import { createFailure, describeThrown } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import { parse } from "../../core/parse.js";
import { createTimeout } from "../../core/time.js";
import type { Comparison, KeyValue, ReadRequest, Store, Transaction, WatchRequest, WriteOperation } from "../store.js";
import {
    decodeText,
    encodeText,
    endOfPrefix,
    EtcdError,
    EtcdKeepAliveAnswer,
    EtcdLeaseAnswer,
    etcdPaths,
    EtcdRangeAnswer,
    etcdStatus,
    EtcdTransactionAnswer,
    EtcdWatchAnswer,
} from "./etcd.js";
import type { EtcdKeyValue } from "./etcd.js";

/** Options of the adapter. */
export interface StoreOptions {
    /** Origins of the store; a call that certainly had no effect at one is tried at the next. */
    readonly origins: readonly string[];
    readonly timeoutMilliseconds: number;
}

type CallKind = "read" | "write";

/** Creates the adapter. */
export function createStore(options: StoreOptions): Store {
    const dispatcher = new Agent({ connect: { timeout: options.timeoutMilliseconds }, bodyTimeout: 0 });
    const call = <Schema extends z.ZodType>(path: string, body: object, schema: Schema, kind: CallKind) =>
        callStore({ options, dispatcher, path, body, schema, kind });
    return {
        async read(readRequest) {
            const answer = await call(etcdPaths.range, toRange(readRequest), EtcdRangeAnswer, "read");
            return answer.map(({ header, kvs, more }) => ({
                revision: header.revision,
                entries: kvs.map(toKeyValue),
                more,
            }));
        },
        async transact(transaction) {
            const answer = await call(etcdPaths.txn, toTransaction(transaction), EtcdTransactionAnswer, "write");
            return answer.map(({ header, succeeded, responses }) => ({
                revision: header.revision,
                succeeded,
                conflicting: responses.flatMap(response => response.response_range?.kvs.map(toKeyValue) ?? []),
            }));
        },
        async grantLease(ttlSeconds) {
            const answer = await call(etcdPaths.leaseGrant, { TTL: String(ttlSeconds) }, EtcdLeaseAnswer, "write");
            return answer.map(({ ID, TTL }) => ({ leaseId: ID, ttlSeconds: TTL }));
        },
        async renewLease(leaseId) {
            const answer = await call(etcdPaths.leaseKeepAlive, { ID: leaseId }, EtcdKeepAliveAnswer, "read");
            return answer.andThen(({ result }) =>
                result.TTL > 0
                    ? Result.ok({ leaseId, ttlSeconds: result.TTL })
                    : Result.err(createFailure("not-found", "store lease", `lease ${leaseId} has lapsed`))
            );
        },
        async revokeLease(leaseId) {
            const answer = await call(etcdPaths.leaseRevoke, { ID: leaseId }, EtcdLeaseAnswer.partial(), "write");
            return answer.map(() => undefined);
        },
        watch: watchRequest => watchStore(watchRequest, options),
    };
}

interface StoreCall<Schema extends z.ZodType> {
    readonly options: StoreOptions;
    readonly dispatcher: Agent;
    readonly path: string;
    readonly body: object;
    readonly schema: Schema;
    readonly kind: CallKind;
}

async function callStore<Schema extends z.ZodType>(
    storeCall: StoreCall<Schema>,
): Promise<Result<z.output<Schema>, Failure>> {
    let failure = createFailure("unavailable", `store ${storeCall.path}`, "no origin of the store is set");
    for (const origin of storeCall.options.origins) {
        const answer = await callOrigin(origin, storeCall);
        if (answer.isOk || answer.error.code !== "unavailable") {
            return answer;
        }
        failure = answer.error;
    }
    return Result.err(failure);
}

async function callOrigin<Schema extends z.ZodType>(
    origin: string,
    { options, dispatcher, path, body, schema, kind }: StoreCall<Schema>,
): Promise<Result<z.output<Schema>, Failure>> {
    const step = `store ${path}`;
    try {
        const answer = await request(origin + path, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
            signal: createTimeout(options.timeoutMilliseconds),
            dispatcher,
        });
        const content = await answer.body.json();
        if (answer.statusCode !== 200) {
            return Result.err(toRefusal(content, step, origin, kind));
        }
        return parse(schema, content, step).mapErr(failure => ({ ...failure, peer: origin }));
    }
    catch (thrown) {
        return Result.err(toTransportFailure(thrown, step, origin, kind));
    }
}

function toRefusal(content: unknown, step: string, peer: string, kind: CallKind): Failure {
    const error = EtcdError.parse(content);
    switch (error.code) {
        case etcdStatus.notFound:
            return createFailure("not-found", step, error.message, { peer });
        case etcdStatus.invalidArgument:
        case etcdStatus.resourceExhausted:
        case etcdStatus.outOfRange:
            return createFailure("refused", step, error.message, { peer });
        default:
            return createFailure(kind === "write" ? "ambiguous" : "unavailable", step, error.message, { peer });
    }
}

function toTransportFailure(thrown: unknown, step: string, peer: string, kind: CallKind): Failure {
    const code = (thrown as { code?: unknown; }).code;
    if (code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT") {
        return createFailure("unavailable", step, describeThrown(thrown), { peer });
    }
    if (kind === "write") {
        return createFailure("ambiguous", step, describeThrown(thrown), { peer });
    }
    return createFailure("timeout", step, describeThrown(thrown), { peer });
}

function toRange(readRequest: ReadRequest): object {
    const start = readRequest.after === undefined ? readRequest.key : `${readRequest.after}\0`;
    return {
        key: encodeText(start),
        ...(readRequest.prefix === true ? { range_end: encodeText(endOfPrefix(readRequest.key)) } : {}),
        ...(readRequest.limit === undefined ? {} : { limit: String(readRequest.limit) }),
        ...(readRequest.keysOnly === true ? { keys_only: true } : {}),
    };
}

const targetNames = {
    modRevision: { target: "MOD", field: "mod_revision" },
    createRevision: { target: "CREATE", field: "create_revision" },
    version: { target: "VERSION", field: "version" },
} as const;

function toTransaction(transaction: Transaction): object {
    return {
        compare: transaction.comparisons.map(toComparison),
        success: transaction.writes.map(toWrite),
        failure: (transaction.readOnConflict ?? []).map(key => ({ request_range: { key: encodeText(key) } })),
    };
}

function toComparison(comparison: Comparison): object {
    const { target, field } = targetNames[comparison.target];
    return {
        key: encodeText(comparison.key),
        target,
        result: comparison.relation.toUpperCase(),
        [field]: String(comparison.value),
    };
}

function toWrite(write: WriteOperation): object {
    if (write.kind === "put") {
        return {
            request_put: {
                key: encodeText(write.key),
                value: encodeText(write.value),
                ...(write.leaseId === undefined ? {} : { lease: write.leaseId }),
            },
        };
    }
    return {
        request_delete_range: {
            key: encodeText(write.key),
            ...(write.prefix === true ? { range_end: encodeText(endOfPrefix(write.key)) } : {}),
        },
    };
}

function toKeyValue(entry: EtcdKeyValue): KeyValue {
    return {
        key: decodeText(entry.key),
        value: decodeText(entry.value),
        createRevision: entry.create_revision,
        modRevision: entry.mod_revision,
        version: entry.version,
        leaseId: entry.lease === "0" ? "" : entry.lease,
    };
}

async function watchStore(watchRequest: WatchRequest, options: StoreOptions): Promise<Result<void, Failure>> {
    const [origin = ""] = options.origins;
    const step = `store ${etcdPaths.watch}`;
    // A connection of its own, so that a silent watch never holds up other calls.
    const dispatcher = new Agent({ connect: { timeout: options.timeoutMilliseconds }, bodyTimeout: 0 });
    try {
        const answer = await request(origin + etcdPaths.watch, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({
                create_request: {
                    key: encodeText(watchRequest.prefix),
                    range_end: encodeText(endOfPrefix(watchRequest.prefix)),
                    start_revision: String(watchRequest.fromRevision),
                    progress_notify: true,
                },
            }),
            headersTimeout: options.timeoutMilliseconds,
            signal: watchRequest.signal,
            dispatcher,
        });
        for await (const line of readLines(answer.body)) {
            const failure = deliver(line, watchRequest);
            if (failure !== undefined) {
                return Result.err({ ...failure, step, peer: origin });
            }
        }
        return Result.err(createFailure("unavailable", step, "the watch ended", { peer: origin }));
    }
    catch (thrown) {
        if (watchRequest.signal.aborted) {
            return Result.ok(undefined);
        }
        return Result.err(createFailure("unavailable", step, describeThrown(thrown), { peer: origin }));
    }
    finally {
        void dispatcher.destroy();
    }
}

function deliver(line: string, watchRequest: WatchRequest): Failure | undefined {
    const parsed = EtcdWatchAnswer.safeParse(JSON.parse(line));
    if (!parsed.success) {
        return createFailure("internal", "store watch", "the answer does not fit the etcd v3 API");
    }
    const { header, events, canceled } = parsed.data.result;
    if (canceled) {
        return createFailure("refused", "store watch", "the store cancelled the watch");
    }
    const changes = events.map(event => ({
        kind: event.type === "PUT" ? "put" as const : "delete" as const,
        entry: toKeyValue(event.kv),
    }));
    watchRequest.onEvents(changes, header.revision);
    return undefined;
}

async function* readLines(body: AsyncIterable<Buffer>): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of body) {
        rest += decoder.decode(chunk, { stream: true });
        const lines = rest.split("\n");
        rest = lines.pop() ?? "";
        yield* lines.filter(line => line !== "");
    }
}
