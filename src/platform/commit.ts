/**
 * Writes to the store whose outcome is always known in the end.
 *
 * A write that got no answer may have taken effect. Each record carries a write id; reading it back settles whether the
 * write is there before anything else is decided.
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth/result";
import * as z from "zod";
import { createFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import { parse, parseJson } from "../core/parse.js";
import { pause } from "../core/time.js";
import type { Comparison, KeyValue, ReadAnswer, Store, TransactionAnswer, WriteOperation } from "./store.js";

const SETTLE_FIRST_WAIT_MILLISECONDS = 50;
const SETTLE_LONGEST_WAIT_MILLISECONDS = 2_000;

/** Time without an answer after which the record is read, and between two such reads: the answer may have been lost. */
const EARLY_READ_MILLISECONDS = 250;

const Envelope = z.object({ writeId: z.string(), body: z.unknown() });

/** A record under one key, replaced only where nobody else has replaced it since. */
export interface RecordCommit {
    readonly key: string;
    readonly body: unknown;
    /** Revision of the record that the new one replaces; 0 where there must be none. */
    readonly expectedRevision: number;
    readonly leaseId?: string;
    /** Further conditions; where one does not hold, the commit is a conflict though the record is the expected one. */
    readonly comparisons?: readonly Comparison[];
    /** Writes that take effect together with the record. */
    readonly alongside?: readonly WriteOperation[];
    /** Ends the attempts to settle an ambiguous write; its outcome then stays `ambiguous`. */
    readonly signal?: AbortSignal;
    /** Longest time between two attempts to settle an ambiguous write; 2 s where it is left out. */
    readonly longestSettleWaitMilliseconds?: number;
}

/** A record as read. */
export interface StoredRecord<Body> {
    readonly body: Body;
    readonly revision: number;
    readonly leaseId: string;
}

/**
 * Commits a record and gives its new revision. Codes: `conflict` (someone else wrote it), `unavailable` or `refused`
 * (nothing was written), `not-found` (nothing was written, and a lease that the writes name has ended), `ambiguous`
 * (aborted before the outcome could be read, or lost while a further condition ceased to hold or the store refused to
 * take the write again).
 */
export async function commitRecord(store: Store, commit: RecordCommit): Promise<Result<number, Failure>> {
    const writeId = randomUUID();
    const answered = write(store, commit, writeId).then(answer => {
        if (answer.isErr) {
            return answer.error.code === "ambiguous"
                ? settle(store, commit, writeId, answer.error)
                : Result.err<number, Failure>(answer.error);
        }
        return answer.value.succeeded ? Result.ok(answer.value.revision) : Result.err(toConflict(commit));
    });
    return findWhileUnanswered(answered, async () => {
        const found = await store.read({ key: commit.key });
        const outcome = found.isOk ? readOutcome(found.value.entries[0], commit, writeId) : undefined;
        return outcome?.isOk === true ? outcome : undefined;
    });
}

/** Looks for the effect of a write at intervals until it is found or the write is answered, whichever comes first. */
function findWhileUnanswered<Outcome>(
    answered: Promise<Outcome>,
    find: () => Promise<Outcome | undefined>,
): Promise<Outcome> {
    return new Promise((resolve, reject) => {
        let timer: NodeJS.Timeout | undefined;
        let isSettled = false;
        const finish = (outcome: Outcome): void => {
            isSettled = true;
            clearTimeout(timer);
            resolve(outcome);
        };
        const look = async (): Promise<void> => {
            const found = await find();
            if (found !== undefined) {
                finish(found);
            }
            else if (!isSettled) {
                schedule();
            }
        };
        const schedule = (): void => {
            timer = setTimeout(() => void look().catch(reject), EARLY_READ_MILLISECONDS);
        };
        schedule();
        answered.then(finish, reject);
    });
}

function write(store: Store, commit: RecordCommit, writeId: string): Promise<Result<TransactionAnswer, Failure>> {
    return store.transact({
        comparisons: [
            { key: commit.key, target: "modRevision", relation: "equal", value: commit.expectedRevision },
            ...commit.comparisons ?? [],
        ],
        writes: [
            {
                kind: "put",
                key: commit.key,
                value: JSON.stringify({ writeId, body: commit.body }),
                ...(commit.leaseId === undefined ? {} : { leaseId: commit.leaseId }),
            },
            ...commit.alongside ?? [],
        ],
    });
}

function toConflict(commit: RecordCommit): Failure {
    return createFailure("conflict", "commit", `${commit.key} is no longer at revision ${commit.expectedRevision}`);
}

/**
 * Finds the outcome of an ambiguous write. A write that is not there yet may still be on its way, so the same write is
 * repeated: whichever of the two arrives first makes the other fail its comparison.
 */
async function settle(
    store: Store,
    commit: RecordCommit,
    writeId: string,
    ambiguity: Failure,
): Promise<Result<number, Failure>> {
    /** Why repeating the write once more is pointless; the record is read once more before that counts. */
    let finalFailure: Failure | undefined;
    for (;;) {
        const found = await readUntilAnswered(store, commit);
        if (found === undefined) {
            return Result.err(ambiguity);
        }
        const outcome = readOutcome(found.entries[0], commit, writeId);
        if (outcome !== undefined) {
            return outcome;
        }
        if (finalFailure !== undefined) {
            return Result.err(finalFailure);
        }
        const repeated = await write(store, commit, writeId);
        if (repeated.isOk && repeated.value.succeeded) {
            return Result.ok(repeated.value.revision);
        }
        finalFailure = findFinalFailure(repeated, commit, ambiguity);
        if (finalFailure === undefined) {
            await pause(SETTLE_FIRST_WAIT_MILLISECONDS, commit.signal);
        }
    }
}

/** Returns the failure of a commit whose repeated write cannot succeed at a later attempt either. */
function findFinalFailure(
    repeated: Result<TransactionAnswer, Failure>,
    commit: RecordCommit,
    ambiguity: Failure,
): Failure | undefined {
    if (repeated.isOk) {
        // Where another condition no longer holds, repeating shuts nothing out: the first write may have come, or may come yet.
        return (commit.comparisons ?? []).length > 0 ? ambiguity : undefined;
    }
    switch (repeated.error.code) {
        case "not-found":
            // Both writes name a lease that has ended, so the first one cannot take effect any more.
            return repeated.error;
        case "refused":
            return ambiguity;
        default:
            return undefined;
    }
}

/** Reads the record until the store answers; `undefined` if the commit is aborted before that. */
async function readUntilAnswered(store: Store, commit: RecordCommit): Promise<ReadAnswer | undefined> {
    let wait = SETTLE_FIRST_WAIT_MILLISECONDS;
    while (commit.signal?.aborted !== true) {
        const found = await store.read({ key: commit.key });
        if (found.isOk) {
            return found.value;
        }
        await pause(wait, commit.signal);
        wait = Math.min(wait * 2, commit.longestSettleWaitMilliseconds ?? SETTLE_LONGEST_WAIT_MILLISECONDS);
    }
    return undefined;
}

function readOutcome(
    entry: KeyValue | undefined,
    commit: RecordCommit,
    writeId: string,
): Result<number, Failure> | undefined {
    if ((entry?.modRevision ?? 0) === commit.expectedRevision) {
        return undefined;
    }
    const envelope = entry === undefined ? undefined : Envelope.safeParse(JSON.parse(entry.value));
    if (entry !== undefined && envelope?.success === true && envelope.data.writeId === writeId) {
        return Result.ok(entry.modRevision);
    }
    return Result.err(toConflict(commit));
}

/** Reads a record; `undefined` where there is none. */
export async function readRecord<Schema extends z.ZodType>(
    store: Store,
    key: string,
    schema: Schema,
): Promise<Result<StoredRecord<z.output<Schema>> | undefined, Failure>> {
    const found = await store.read({ key });
    return found.andThen(({ entries: [entry] }) =>
        entry === undefined ? Result.ok(undefined) : decodeRecord(entry, schema)
    );
}

/** Decodes a record that a read or a watch has brought. */
export function decodeRecord<Schema extends z.ZodType>(
    entry: KeyValue,
    schema: Schema,
): Result<StoredRecord<z.output<Schema>>, Failure> {
    const step = `record ${entry.key}`;
    return parseJson(Envelope, entry.value, step)
        .andThen(envelope => parse(schema, envelope.body, step))
        .map(body => ({ body, revision: entry.modRevision, leaseId: entry.leaseId }));
}
