/**
 * The ledger of a cell in the store: claim, group commit, compaction and load.
 *
 * Each commit replaces the head by compare-and-swap together with its segment, and so does a claim, which raises the epoch:
 * whatever a former owner believes, its next commit fails.
 */
import { Result } from "true-myth/result";
import * as z from "zod";
import type { Failure } from "../../core/errors.js";
import { createFailure } from "../../core/errors.js";
import { parseJson } from "../../core/parse.js";
import type { Clock } from "../../core/time.js";
import { commitRecord, readRecord } from "../../platform/commit.js";
import type { StoredRecord } from "../../platform/commit.js";
import type { KeyValue, Store, WriteOperation } from "../../platform/store.js";
import { Segment, splitChanges } from "./segment.js";
import type { Changes } from "./segment.js";

/** Fewer segments are not worth a snapshot: a takeover reads them within milliseconds. */
const MINIMUM_SEGMENTS_PER_SNAPSHOT = 100;

/** Segments after which a snapshot takes their place in any case: with those not yet removed, a takeover reads two pages. */
const MAXIMUM_SEGMENTS_PER_SNAPSHOT = 480;

/** Bytes of JSON of one value; the store takes 1 MB, and base64 and the envelope need room. */
export const VALUE_LIMIT_BYTES = 600_000;

/** Bytes of JSON of one part of a snapshot: 0.2 s on the slowest link of a deployment, 7 Mbit/s. */
const SNAPSHOT_CHUNK_BYTES = 130_000;

/** Old segments that a commit removes; a transaction of the store takes 32 entries in all. */
const REMOVALS_PER_COMMIT = 24;

/** Entries that a read asks for at once. */
const PAGE_ENTRIES = 500;

/** Longest wait between attempts to settle a commit whose answer was lost; callers wait for it. */
const LONGEST_SETTLE_WAIT_MILLISECONDS = 200;

/** Who owns a cell. */
export const CellOwner = z.object({
    instance: z.string(),
    /** Differs with each start of the process. */
    incarnation: z.string(),
});
export type CellOwner = z.infer<typeof CellOwner>;

/** The record that each commit compares and swaps. */
export const Head = z.object({
    epoch: z.int(),
    owner: CellOwner,
    /** The owner has given the cell up, and orders nothing any more. */
    isReleased: z.boolean(),
    /** Sequence of the last segment. */
    sequence: z.int(),
    /** Sequence that the snapshot includes; 0 without one. */
    snapshotSequence: z.int(),
    snapshotChunks: z.int(),
});
export type Head = z.infer<typeof Head>;

/** What a claim needs. */
export interface ClaimOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly cell: string;
    readonly owner: CellOwner;
    /** Writes that take effect together with the claim, such as the record that names the owner. */
    alongside(epoch: number): readonly WriteOperation[];
    readonly signal: AbortSignal;
}

/** Ledger of an owned cell. */
export interface Ledger {
    readonly epoch: number;
    /** The head as its predecessor left it; absent for a cell that nobody has owned. */
    readonly predecessor: Head | undefined;
    /** Segments of all former owners, the snapshot first. */
    load(): Promise<Result<Segment[], Failure>>;
    /**
     * Commits changes. Failures: `conflict` (the cell has another owner), `unavailable` or `refused` (nothing was written),
     * `ambiguous` (stopped before the outcome was known).
     */
    commit(commit: Commit): Promise<Result<void, Failure>>;
}

/** A commit to a ledger. */
export interface Commit {
    readonly changes: Changes;
    /** Describes the books with the changes, for a snapshot. */
    createSnapshot(): Changes;
    /** Gives the cell up. */
    readonly isRelease?: boolean;
    /** Writes outside the ledger that take effect together with the commit; at most four. */
    readonly alongside?: readonly WriteOperation[];
    /** The store has taken a part of a snapshot, and nobody else had claimed the cell when it was sent. */
    readonly onChunkWritten?: (sentAtMilliseconds: number) => void;
}

/** Prefix of a cell's keys. */
function keyPrefixOf(cell: string): string {
    return `/flamingowell/cells/${cell}/`;
}

/** Reads the head of a cell's ledger. */
export function readHead(store: Store, cell: string): Promise<Result<StoredRecord<Head> | undefined, Failure>> {
    return readRecord(store, `${keyPrefixOf(cell)}head`, Head);
}

/** Claims a cell. Fails with `conflict` where someone else was faster. */
export async function claimCell(
    options: ClaimOptions,
    current: StoredRecord<Head> | undefined,
): Promise<Result<Ledger, Failure>> {
    const previousHead = current?.body;
    const head: Head = {
        epoch: (previousHead?.epoch ?? 0) + 1,
        owner: options.owner,
        isReleased: false,
        sequence: previousHead?.sequence ?? 0,
        snapshotSequence: previousHead?.snapshotSequence ?? 0,
        snapshotChunks: previousHead?.snapshotChunks ?? 0,
    };
    const committed = await commitRecord(options.store, {
        key: `${keyPrefixOf(options.cell)}head`,
        body: head,
        expectedRevision: current?.revision ?? 0,
        alongside: options.alongside(head.epoch),
        signal: options.signal,
        longestSettleWaitMilliseconds: LONGEST_SETTLE_WAIT_MILLISECONDS,
    });
    return committed.map(revision => createLedger(options, head, revision, previousHead));
}

function createLedger(
    { store, cell, clock, signal }: ClaimOptions,
    claimedHead: Head,
    claimedRevision: number,
    predecessor: Head | undefined,
): Ledger {
    const prefix = keyPrefixOf(cell);
    const segmentKey = (sequence: number) => `${prefix}log/${String(sequence).padStart(12, "0")}`;
    const chunkKey = (sequence: number, chunk: number) =>
        `${prefix}snapshot/${String(sequence).padStart(12, "0")}/${String(chunk).padStart(4, "0")}`;
    let head = claimedHead;
    let revision = claimedRevision;
    let supersededKeys: string[] = [];
    /** Bytes of the last snapshot, and of the segments after it. */
    let snapshotBytes = 0;
    let logBytes = 0;
    /** A part of a failed snapshot may still arrive, so that no other one is written under its keys. */
    let failedSnapshotSequence: number | undefined;

    /** A snapshot pays once the segments hold more than it would save a takeover; so its cost stays below theirs. */
    const isSnapshotDue = (sequence: number): boolean => {
        const segments = sequence - head.snapshotSequence;
        return sequence !== failedSnapshotSequence
            && segments > (logBytes > snapshotBytes ? MINIMUM_SEGMENTS_PER_SNAPSHOT : MAXIMUM_SEGMENTS_PER_SNAPSHOT);
    };

    /** Writes the books part by part; parts take no effect before a head refers to them. */
    const writeSnapshot = async (
        sequence: number,
        content: Changes,
        onChunkWritten: Commit["onChunkWritten"],
    ): Promise<Result<{ chunks: number; bytes: number; }, Failure>> => {
        const chunks = splitChanges(content, SNAPSHOT_CHUNK_BYTES);
        let bytes = 0;
        for (const [index, chunk] of chunks.entries()) {
            const sentAt = clock();
            const value = JSON.stringify({ ...chunk, sequence });
            const written = await store.transact({
                comparisons: [{
                    key: `${prefix}head`,
                    target: "modRevision",
                    relation: "equal",
                    value: revision,
                }],
                writes: [{
                    kind: "put",
                    key: chunkKey(sequence, index),
                    value,
                }],
            });
            if (written.isErr) {
                failedSnapshotSequence = sequence;
                supersededKeys.push(...Array.from({ length: index + 1 }, (_, part) => chunkKey(sequence, part)));
                // A chunk without a head does no harm, so it does not matter whether it has been written.
                return Result.err({ ...written.error, code: "unavailable" });
            }
            if (!written.value.succeeded) {
                return Result.err(createFailure("conflict", "snapshot", `cell ${cell} has another owner`));
            }
            bytes += value.length;
            onChunkWritten?.(sentAt);
        }
        return Result.ok({ chunks: chunks.length, bytes });
    };

    const listSuperseded = ({ sequence, snapshotChunks, snapshotSequence }: Head): string[] => [
        ...Array.from(
            { length: sequence - snapshotSequence },
            (_, index) => segmentKey(snapshotSequence + 1 + index),
        ),
        ...Array.from({ length: snapshotChunks }, (_, index) => chunkKey(snapshotSequence, index)),
    ];

    const readPrefix = async (keyPrefix: string): Promise<Result<KeyValue[], Failure>> => {
        const entries: KeyValue[] = [];
        for (let after: string | undefined;;) {
            const page = await store.read({
                key: keyPrefix,
                prefix: true,
                limit: PAGE_ENTRIES,
                ...(after === undefined ? {} : { after }),
            });
            if (page.isErr) {
                return Result.err(page.error);
            }
            entries.push(...page.value.entries);
            after = page.value.entries.at(-1)?.key;
            if (!page.value.more || after === undefined) {
                return Result.ok(entries);
            }
        }
    };

    return {
        epoch: claimedHead.epoch,
        predecessor,
        async load() {
            const { sequence, snapshotChunks, snapshotSequence } = claimedHead;
            const snapshot = snapshotSequence === 0
                ? Result.ok<KeyValue[], Failure>([])
                : await readPrefix(chunkKey(snapshotSequence, 0).slice(0, -"0000".length));
            if (snapshot.isErr) {
                return Result.err(snapshot.error);
            }
            const log = await readPrefix(`${prefix}log/`);
            if (log.isErr) {
                return Result.err(log.error);
            }
            const segments: Segment[] = [];
            for (const entry of [...snapshot.value.slice(0, snapshotChunks), ...log.value]) {
                const segment = parseJson(Segment, entry.value, `ledger ${entry.key}`);
                if (segment.isErr) {
                    return Result.err(segment.error);
                }
                const isChunk = entry.key.startsWith(`${prefix}snapshot/`);
                if (isChunk) {
                    snapshotBytes += entry.value.length;
                }
                else {
                    logBytes += entry.value.length;
                }
                // Segments that a snapshot has taken in may be left over.
                if (isChunk || segment.value.sequence > snapshotSequence && segment.value.sequence <= sequence) {
                    segments.push(segment.value);
                }
                else if (segment.value.sequence <= snapshotSequence) {
                    supersededKeys.push(entry.key);
                }
            }
            return Result.ok(segments);
        },
        async commit(commit) {
            const { alongside: otherWrites = [], changes, isRelease = false } = commit;
            const sequence = head.sequence + 1;
            const isSnapshot = isSnapshotDue(sequence);
            let next: Head = { ...head, sequence, isReleased: isRelease };
            let bytes = 0;
            const removedKeys = supersededKeys.slice(0, REMOVALS_PER_COMMIT);
            const alongside: WriteOperation[] = [
                ...otherWrites,
                ...removedKeys.map(key => ({ kind: "delete", key } as const)),
            ];
            if (isSnapshot) {
                const snapshot = await writeSnapshot(sequence, commit.createSnapshot(), commit.onChunkWritten);
                if (snapshot.isErr) {
                    return Result.err(snapshot.error);
                }
                next = { ...next, snapshotSequence: sequence, snapshotChunks: snapshot.value.chunks };
                bytes = snapshot.value.bytes;
            }
            else {
                const value = JSON.stringify({ ...changes, sequence });
                alongside.push({ kind: "put", key: segmentKey(sequence), value });
                bytes = value.length;
            }
            const committed = await commitRecord(store, {
                key: `${prefix}head`,
                body: next,
                expectedRevision: revision,
                alongside,
                signal,
                longestSettleWaitMilliseconds: LONGEST_SETTLE_WAIT_MILLISECONDS,
            });
            return committed.map(written => {
                supersededKeys = [
                    ...supersededKeys.slice(removedKeys.length),
                    ...isSnapshot ? listSuperseded(head) : [],
                ];
                snapshotBytes = isSnapshot ? bytes : snapshotBytes;
                logBytes = isSnapshot ? 0 : logBytes + bytes;
                head = next;
                revision = written;
            });
        },
    };
}
