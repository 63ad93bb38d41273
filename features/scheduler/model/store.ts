/**
 * A store in memory: compare-and-swap, leases and watches, with outages, lost answers and writes that arrive late.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../../src/core/errors.js";
import type { Failure } from "../../../src/core/errors.js";
import type {
    KeyValue,
    ReadAnswer,
    Store,
    Transaction,
    TransactionAnswer,
    WatchRequest,
} from "../../../src/platform/store.js";
import type { Gate } from "./gate.js";

const LATE_MILLISECONDS = 700;

interface Lease {
    readonly ttlSeconds: number;
    lapsesAt: number;
}

interface Watcher {
    readonly request: WatchRequest;
    readonly gate: Gate;
    break(): void;
}

/** The store and its faults. */
export interface ModelStore {
    /** A client for one process. */
    connect(gate: Gate): Store;
    setDown(isDown: boolean): void;
    /** Watches stay open and tell nothing; what happens meanwhile never reaches them. */
    silenceWatches(areSilent: boolean): void;
    /** The next writes take effect, and their answers are lost. */
    loseAnswers(count: number): void;
    /** The next writes are given up by their callers and take effect later. */
    delayWrites(count: number): void;
    step(now: number): void;
    entries(): readonly KeyValue[];
}

/** Creates an empty store. */
export function createModelStore(clock: () => number): ModelStore {
    const keys = new Map<string, KeyValue>();
    const leases = new Map<string, Lease>();
    const watchers = new Set<Watcher>();
    let delayedWrites: { readonly at: number; readonly apply: () => void; }[] = [];
    let revision = 0;
    let lastLease = 0;
    let isDown = false;
    let areWatchesSilent = false;
    let answersToLose = 0;
    let writesToDelay = 0;

    const notifyWatchers = (kind: "put" | "delete", entry: KeyValue) => {
        for (const { request, gate } of [...watchers]) {
            if (entry.key.startsWith(request.prefix) && !areWatchesSilent) {
                const at = revision;
                void gate.pass().then(() => request.onEvents([{ kind, entry }], at));
            }
        }
    };

    const put = (key: string, value: string, leaseId: string) => {
        const before = keys.get(key);
        const entry: KeyValue = {
            key,
            value,
            createRevision: before?.createRevision ?? revision,
            modRevision: revision,
            version: (before?.version ?? 0) + 1,
            leaseId,
        };
        keys.set(key, entry);
        notifyWatchers("put", entry);
    };

    const remove = (key: string) => {
        const before = keys.get(key);
        if (before !== undefined) {
            keys.delete(key);
            notifyWatchers("delete", before);
        }
    };

    const listKeys = (key: string, prefix: boolean) =>
        [...keys.keys()].filter(other => prefix ? other.startsWith(key) : other === key).sort();

    const transact = (transaction: Transaction): TransactionAnswer => {
        const succeeded = transaction.comparisons.every(comparison => {
            const entry = keys.get(comparison.key);
            const actual = entry === undefined ? 0 : entry[comparison.target];
            return comparison.relation === "equal"
                ? actual === comparison.value
                : comparison.relation === "greater"
                ? actual > comparison.value
                : actual < comparison.value;
        });
        if (succeeded) {
            revision += 1;
            for (const write of transaction.writes) {
                if (write.kind === "put") {
                    put(write.key, write.value, write.leaseId ?? "");
                }
                else {
                    listKeys(write.key, write.prefix === true).forEach(remove);
                }
            }
        }
        const conflicting = succeeded ? [] : (transaction.readOnConflict ?? []).flatMap(key => keys.get(key) ?? []);
        return { succeeded, revision, conflicting };
    };

    const unavailable = <Value>(step: string): Result<Value, Failure> =>
        Result.err(createFailure("unavailable", step, "the store is down"));

    /** Carries a write out under the faults in force. */
    const write = async <Value>(
        gate: Gate,
        step: string,
        apply: () => Result<Value, Failure>,
    ): Promise<Result<Value, Failure>> => {
        await gate.pass();
        if (isDown) {
            await gate.pass();
            return unavailable(step);
        }
        const ambiguous = Result.err<Value, Failure>(createFailure("ambiguous", step, "no answer"));
        if (writesToDelay > 0) {
            writesToDelay -= 1;
            delayedWrites.push({ at: clock() + LATE_MILLISECONDS, apply });
            return ambiguous;
        }
        const answer = apply();
        await gate.pass();
        if (answersToLose > 0) {
            answersToLose -= 1;
            return ambiguous;
        }
        return answer;
    };

    const read = async (gate: Gate, find: () => ReadAnswer): Promise<Result<ReadAnswer, Failure>> => {
        await gate.pass();
        if (isDown) {
            return unavailable("read");
        }
        const answer = find();
        await gate.pass();
        return Result.ok(answer);
    };

    return {
        entries: () => [...keys.values()],
        setDown(down) {
            isDown = down;
            if (down) {
                [...watchers].forEach(watcher => watcher.break());
            }
        },
        silenceWatches(areSilent) {
            areWatchesSilent = areSilent;
        },
        loseAnswers(count) {
            answersToLose += count;
        },
        delayWrites(count) {
            writesToDelay += count;
        },
        step(now) {
            const due = delayedWrites.filter(({ at }) => at <= now);
            delayedWrites = delayedWrites.filter(({ at }) => at > now);
            due.forEach(({ apply }) => apply());
            for (const [leaseId, lease] of [...leases]) {
                if (lease.lapsesAt <= now) {
                    leases.delete(leaseId);
                    revision += 1;
                    [...keys.values()].filter(entry => entry.leaseId === leaseId).forEach(({ key }) => remove(key));
                }
            }
        },
        connect: gate => ({
            read: request =>
                read(gate, () => {
                    const found = listKeys(request.key, request.prefix === true)
                        .filter(key => request.after === undefined || key > request.after);
                    const limit = request.limit ?? found.length;
                    return {
                        revision,
                        entries: found.slice(0, limit).flatMap(key => keys.get(key) ?? []),
                        more: found.length > limit,
                    };
                }),
            transact: transaction => write(gate, "transact", () => Result.ok(transact(transaction))),
            grantLease: ttlSeconds =>
                write(gate, "grant lease", () => {
                    lastLease += 1;
                    const leaseId = String(lastLease);
                    leases.set(leaseId, { ttlSeconds, lapsesAt: clock() + ttlSeconds * 1_000 });
                    return Result.ok({ leaseId, ttlSeconds });
                }),
            renewLease: leaseId =>
                write(gate, "renew lease", () => {
                    const lease = leases.get(leaseId);
                    if (lease === undefined) {
                        return Result.err(createFailure("not-found", "renew lease", "it has lapsed"));
                    }
                    lease.lapsesAt = clock() + lease.ttlSeconds * 1_000;
                    return Result.ok({ leaseId, ttlSeconds: lease.ttlSeconds });
                }),
            revokeLease: leaseId =>
                write(gate, "revoke lease", () => {
                    leases.delete(leaseId);
                    revision += 1;
                    [...keys.values()].filter(entry => entry.leaseId === leaseId).forEach(({ key }) => remove(key));
                    return Result.ok(undefined);
                }),
            async watch(request) {
                await gate.pass();
                if (isDown) {
                    return unavailable("watch");
                }
                return new Promise(resolve => {
                    const watcher: Watcher = {
                        request,
                        gate,
                        break: () => {
                            watchers.delete(watcher);
                            resolve(Result.err(createFailure("unavailable", "watch", "broken")));
                        },
                    };
                    watchers.add(watcher);
                    request.signal.addEventListener("abort", () => {
                        watchers.delete(watcher);
                        resolve(Result.ok(undefined));
                    }, { once: true });
                    const missed = [...keys.values()].filter(entry =>
                        entry.key.startsWith(request.prefix) && entry.modRevision >= request.fromRevision
                    );
                    if (missed.length > 0) {
                        request.onEvents(missed.map(entry => ({ kind: "put", entry })), revision);
                    }
                });
            },
        }),
    };
}
