/**
 * Group commit of idempotency records. A gateway leaves a time between its transactions, so that all gateways together
 * stay within a rate; a write that comes alone leaves at once, and what comes in between leaves together.
 *
 * A transaction fails whole when one comparison fails; the writes whose records have changed are told so, and the rest
 * is tried again without them.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import { pause } from "../../core/time.js";
import type { KeyValue, Store } from "../../platform/store.js";
import type { IdempotencySettings } from "./settings.js";

const READ_BACK_RETRY_MILLISECONDS = 50;

/** One write: a value, or `undefined` to delete. */
export interface RecordWrite {
    readonly key: string;
    readonly value: string | undefined;
    /** Revision of the record that it replaces; 0 where there must be none. */
    readonly expectedRevision: number;
    readonly leaseId?: string;
}

/** What became of a write: its revision, or the record that was there instead. */
export type WriteOutcome =
    | { readonly kind: "written"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly entry: KeyValue | undefined; };

/** Writes records in groups. */
export interface RecordWriter {
    /**
     * Fails with `unavailable` or `refused` where nothing was written. An answer that was lost is settled by reading back,
     * for as long as the store is silent; the signal ends that with `ambiguous`.
     */
    write(write: RecordWrite, signal: AbortSignal): Promise<Result<WriteOutcome, Failure>>;
}

interface QueuedWrite extends RecordWrite {
    readonly signal: AbortSignal;
    resolve(outcome: Result<WriteOutcome, Failure>): void;
}

/** Options of a writer. */
export interface RecordWriterOptions {
    readonly settings: IdempotencySettings;
    readonly store: Store;
    /** Time between the starts of two transactions. */
    spacingMilliseconds(): number;
    /** Called for each transaction, with the number of records in it. */
    onTransaction(records: number): void;
}

/** Creates a writer. */
export function createRecordWriter(options: RecordWriterOptions): RecordWriter {
    let queue: QueuedWrite[] = [];
    let isFlushing = false;
    const flush = async (): Promise<void> => {
        isFlushing = true;
        while (queue.length > 0) {
            const { group, rest } = splitGroup(queue, options.settings);
            queue = rest;
            void commitGroup(group, options);
            await pause(options.spacingMilliseconds());
        }
        isFlushing = false;
    };
    return {
        write: (write, signal) =>
            new Promise(resolve => {
                queue.push({ ...write, signal, resolve });
                if (!isFlushing) {
                    void flush();
                }
            }),
    };
}

/** Takes the oldest write of each key, up to the limits; a transaction holds one write of a key at most. */
function splitGroup(
    queue: readonly QueuedWrite[],
    settings: IdempotencySettings,
): { group: QueuedWrite[]; rest: QueuedWrite[]; } {
    const keys = new Set<string>();
    const group: QueuedWrite[] = [];
    const rest: QueuedWrite[] = [];
    let bytes = 0;
    for (const write of queue) {
        bytes += write.value?.length ?? 0;
        const isWithinLimits = group.length < settings.groupRecords
            && (group.length === 0 || bytes <= settings.groupBytes);
        const fits = isWithinLimits && !keys.has(write.key);
        keys.add(write.key);
        (fits ? group : rest).push(write);
    }
    return { group, rest };
}

async function commitGroup(group: readonly QueuedWrite[], options: RecordWriterOptions): Promise<void> {
    if (group.length === 0) {
        return;
    }
    options.onTransaction(group.length);
    const answer = await options.store.transact({
        comparisons: group.map(({ key, expectedRevision }) => ({
            key,
            target: "modRevision",
            relation: "equal",
            value: expectedRevision,
        })),
        writes: group.map(({ key, value, leaseId }) =>
            value === undefined
                ? { kind: "delete", key }
                : { kind: "put", key, value, ...(leaseId === undefined ? {} : { leaseId }) }
        ),
        readOnConflict: group.map(({ key }) => key),
    });
    if (answer.isErr) {
        await handleFailure(group, answer.error, options);
        return;
    }
    if (answer.value.succeeded) {
        group.forEach(write => write.resolve(Result.ok({ kind: "written", revision: answer.value.revision })));
        return;
    }
    await retryWithoutConflicts(group, answer.value.conflicting, options);
}

async function handleFailure(
    group: readonly QueuedWrite[],
    failure: Failure,
    options: RecordWriterOptions,
): Promise<void> {
    if (failure.code === "ambiguous") {
        await Promise.all(group.map(write => readBack(write, options)));
        return;
    }
    group.forEach(write => write.resolve(Result.err(failure)));
}

async function retryWithoutConflicts(
    group: readonly QueuedWrite[],
    entries: readonly KeyValue[],
    options: RecordWriterOptions,
): Promise<void> {
    const found = new Map(entries.map(entry => [entry.key, entry]));
    const rest: QueuedWrite[] = [];
    for (const write of group) {
        const entry = found.get(write.key);
        if ((entry?.modRevision ?? 0) === write.expectedRevision) {
            rest.push(write);
        }
        else {
            write.resolve(Result.ok({ kind: "conflict", entry }));
        }
    }
    await commitGroup(rest, options);
}

/** Reads back a write that got no answer; values differ from write to write, so finding ours shows that it is there. */
async function readBack(write: QueuedWrite, options: RecordWriterOptions): Promise<void> {
    while (!write.signal.aborted) {
        const found = await options.store.read({ key: write.key });
        if (found.isOk) {
            await resolveFromEntry(write, found.value.entries[0], options);
            return;
        }
        await pause(READ_BACK_RETRY_MILLISECONDS, write.signal);
    }
    write.resolve(Result.err(createFailure("ambiguous", "record write", `no answer for ${write.key}`)));
}

async function resolveFromEntry(
    write: QueuedWrite,
    entry: KeyValue | undefined,
    options: RecordWriterOptions,
): Promise<void> {
    if (entry?.value === write.value) {
        write.resolve(Result.ok({ kind: "written", revision: entry?.modRevision ?? 0 }));
    }
    else if ((entry?.modRevision ?? 0) === write.expectedRevision) {
        // Not there, or not yet: the same write again, and whichever comes second fails its comparison.
        await commitGroup([write], options);
    }
    else {
        write.resolve(Result.ok({ kind: "conflict", entry }));
    }
}
