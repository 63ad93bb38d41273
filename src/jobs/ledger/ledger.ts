/**
 * The ledger of a cell in the store: claim, group commit, compaction and load.
 *
 * Each commit replaces the head by compare-and-swap together with its segment, and so does a claim, which raises the epoch:
 * the next commit of a former owner fails.
 */
import { Result } from "true-myth/result";
import * as z from "zod";
import type { Failure } from "../../core/errors.js";
import { createFailure } from "../../core/errors.js";
import { parseJson } from "../../core/parse.js";
import type { Clock } from "../../core/time.js";
import { commitRecord, readRecord } from "../../platform/commit.js";
import type { StoredRecord } from "../../platform/commit.js";
import type { Store, WriteOperation } from "../../platform/store.js";
import type { Submission } from "../model/job.js";
import { Segment, splitChanges } from "./segment.js";
import type { Changes } from "./segment.js";

/** A takeover reads fewer segments within milliseconds, so a snapshot would save nothing. */
const MINIMUM_SEGMENTS_PER_SNAPSHOT = 100;

/** Segments that always trigger a snapshot. Including segments not deleted yet, a takeover then reads two pages. */
const MAXIMUM_SEGMENTS_PER_SNAPSHOT = 480;

/** Largest JSON value in bytes. The store accepts 1 MB, which includes base64 encoding and the envelope. */
export const VALUE_LIMIT_BYTES = 600_000;

/** Largest submission: a value holds at least one job, with its id and the other fields of a segment. */
const LONGEST_SUBMISSION_BYTES = VALUE_LIMIT_BYTES - 2_000;

/** Bytes of JSON in one snapshot chunk: 0.2 s on the slowest link of a deployment, 7 Mbit/s. */
const SNAPSHOT_CHUNK_BYTES = 130_000;

/** Superseded keys deleted by one commit. A transaction of the store is limited to 32 entries. */
const REMOVALS_PER_COMMIT = 24;

/** Entries requested by one read. */
const PAGE_ENTRIES = 500;

/** Longest wait between attempts to find the outcome of a commit whose answer was lost. Callers wait for the result. */
const LONGEST_SETTLE_WAIT_MILLISECONDS = 200;

/** The process that owns a cell. */
export const CellOwner = z.object({
    instance: z.string(),
    /** Differs with each start of the process. */
    incarnation: z.string(),
});
export type CellOwner = z.infer<typeof CellOwner>;

/** A former owner that may still send orders to workers, because it has neither released the cell nor certainly ended. */
export const FormerOwner = CellOwner.extend({ epoch: z.int() });
export type FormerOwner = z.infer<typeof FormerOwner>;

/** The record that each commit replaces by compare-and-swap. */
export const Head = z.object({
    epoch: z.int(),
    owner: CellOwner,
    /** Whether the owner has released the cell. It sends no orders after that. */
    isReleased: z.boolean(),
    /** Sequence of the last segment. */
    sequence: z.int(),
    /** Sequence of the last segment in the snapshot; 0 if there is no snapshot. */
    snapshotSequence: z.int(),
    snapshotChunks: z.int(),
    /**
     * Former owners whose attempts the owner has not finished taking over. A successor that claims the cell in between has to
     * wait for them as well.
     */
    formerOwners: z.array(FormerOwner).default([]),
});
export type Head = z.infer<typeof Head>;

/** Options of a claim. */
export interface ClaimOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly cell: string;
    readonly owner: CellOwner;
    /** Whether a former owner has certainly stopped sending orders. */
    hasStopped(owner: FormerOwner): boolean;
    /** Writes in the same transaction as the claim, such as the record that names the owner. */
    alongside(epoch: number): readonly WriteOperation[];
    readonly signal: AbortSignal;
}

/** The ledger of a cell, open for its owner. */
export interface Ledger {
    readonly epoch: number;
    /** The head before the claim; absent if the cell had no owner before. */
    readonly predecessor: Head | undefined;
    /** Former owners that may still have been sending orders when the cell was claimed. */
    readonly formerOwners: readonly FormerOwner[];
    /** Records that no attempt of a former owner runs unseen any more; part of the next commit. */
    settleFormerOwners(): void;
    /** Loads the snapshot and the segments after it. */
    load(): Promise<Result<Segment[], Failure>>;
    /**
     * Commits changes. Failures: `conflict` (the cell has another owner), `unavailable` or `refused` (nothing was written),
     * `not-found` (nothing was written, and a lease of the writes alongside has ended), `ambiguous` (the outcome was not
     * determined).
     */
    commit(commit: Commit): Promise<Result<void, Failure>>;
}

/** A commit to a ledger. */
export interface Commit {
    readonly changes: Changes;
    /** Returns the job table, including these changes but not the jobs that a later commit accepts. */
    createSnapshot(): Changes;
    /** Whether the commit releases the cell. */
    readonly isRelease?: boolean;
    /** Writes outside the ledger in the same transaction; at most four. */
    readonly alongside?: readonly WriteOperation[];
    /** Called after a snapshot chunk was written, which proves that the cell had no other owner when it was sent. */
    readonly onChunkWritten?: (sentAtMilliseconds: number) => void;
}

/** A segment or snapshot chunk as read from the store, with the length of its text. */
interface StoredSegment {
    readonly key: string;
    readonly bytes: number;
    readonly segment: Segment;
}

/** Whether a job fits into a value of the ledger. */
export function isStorable(submission: Submission): boolean {
    return JSON.stringify(submission).length <= LONGEST_SUBMISSION_BYTES;
}

/** Returns the prefix of a cell's keys. */
function keyPrefixOf(cell: string): string {
    return `/flamingowell/cells/${cell}/`;
}

/** Reads the head of a cell's ledger. */
export function readHead(store: Store, cell: string): Promise<Result<StoredRecord<Head> | undefined, Failure>> {
    return readRecord(store, `${keyPrefixOf(cell)}head`, Head);
}

/**
 * Claims a cell. Failures: `conflict` (another instance claimed it first), `not-found` (a lease of the writes alongside has
 * ended, so that the claim needs a new one), and the others of a commit.
 */
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
        formerOwners: listFormerOwners(previousHead).filter(owner => !options.hasStopped(owner)),
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

function listFormerOwners(head: Head | undefined): FormerOwner[] {
    if (head === undefined) {
        return [];
    }
    const { epoch, formerOwners, isReleased, owner } = head;
    return isReleased ? formerOwners : [...formerOwners, { ...owner, epoch }];
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
    let areFormerOwnersSettled = false;
    let supersededKeys: string[] = [];
    /** Bytes of the last snapshot; `logBytes` counts the segments after it. */
    let snapshotBytes = 0;
    let logBytes = 0;
    /** A chunk of a failed snapshot may still be written late, so its keys are not reused for another snapshot. */
    let failedSnapshotSequence: number | undefined;

    /** A snapshot is due once the segments exceed the last snapshot in bytes, so that it costs less than the segments. */
    const isSnapshotDue = (sequence: number): boolean => {
        const segments = sequence - head.snapshotSequence;
        return sequence !== failedSnapshotSequence
            && segments > (logBytes > snapshotBytes ? MINIMUM_SEGMENTS_PER_SNAPSHOT : MAXIMUM_SEGMENTS_PER_SNAPSHOT);
    };

    /** Writes a snapshot chunk by chunk. Chunks have no effect until a head refers to them. */
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
                // A chunk has no effect without a head, so it does not matter whether this one was written.
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

    /** Reads segments page by page, so that their text is held only until it has been parsed. */
    const readSegments = async (keyPrefix: string): Promise<Result<StoredSegment[], Failure>> => {
        const segments: StoredSegment[] = [];
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
            for (const { key, value } of page.value.entries) {
                const segment = parseJson(Segment, value, `ledger ${key}`);
                if (segment.isErr) {
                    return Result.err(segment.error);
                }
                segments.push({ key, bytes: value.length, segment: segment.value });
            }
            after = page.value.entries.at(-1)?.key;
            if (!page.value.more || after === undefined) {
                return Result.ok(segments);
            }
        }
    };

    return {
        epoch: claimedHead.epoch,
        predecessor,
        formerOwners: claimedHead.formerOwners,
        settleFormerOwners() {
            areFormerOwnersSettled = true;
        },
        async load() {
            const { sequence, snapshotChunks, snapshotSequence } = claimedHead;
            const snapshot = snapshotSequence === 0
                ? Result.ok<StoredSegment[], Failure>([])
                : await readSegments(chunkKey(snapshotSequence, 0).slice(0, -"0000".length));
            if (snapshot.isErr) {
                return Result.err(snapshot.error);
            }
            const log = await readSegments(`${prefix}log/`);
            if (log.isErr) {
                return Result.err(log.error);
            }
            const segments: Segment[] = [];
            for (const { bytes, key, segment } of [...snapshot.value.slice(0, snapshotChunks), ...log.value]) {
                const isChunk = key.startsWith(`${prefix}snapshot/`);
                if (isChunk) {
                    snapshotBytes += bytes;
                }
                else {
                    logBytes += bytes;
                }
                // Segments that are part of the snapshot may not be deleted yet.
                if (isChunk || segment.sequence > snapshotSequence && segment.sequence <= sequence) {
                    segments.push(segment);
                }
                else if (segment.sequence <= snapshotSequence) {
                    supersededKeys.push(key);
                }
            }
            return Result.ok(segments);
        },
        async commit(commit) {
            const { alongside: otherWrites = [], changes, isRelease = false } = commit;
            const sequence = head.sequence + 1;
            const isSnapshot = isSnapshotDue(sequence);
            const formerOwners = areFormerOwnersSettled ? [] : head.formerOwners;
            let next: Head = { ...head, sequence, isReleased: isRelease, formerOwners };
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
