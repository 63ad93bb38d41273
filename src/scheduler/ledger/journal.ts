/**
 * Journal of one cell in the store: claim, group commit, compaction and load.
 *
 * Each commit replaces the head of the ledger by compare-and-swap together with its segment. A successor's claim replaces
 * the head too, so the next commit of a former owner fails, whatever it believes.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import { parseJson } from "../../core/parse.js";
import { commitRecord, readRecord } from "../../platform/commit.js";
import type { StoredRecord } from "../../platform/commit.js";
import type { Comparison, KeyValue, Store, WriteOperation } from "../../platform/store.js";
import { Head, keyOfClaim, keyOfHead, keyOfSegment, Segment, segmentsPrefix, snapshotPrefix } from "./head.js";
import type { Holder } from "./head.js";
import { createLedger } from "./ledger.js";
import type { Changes, Ledger } from "./ledger.js";
import type { Task } from "./task.js";

const TASKS_PER_CHUNK = 1_000;
const CHUNKS_PER_PAGE = 4;
const SEGMENTS_PER_PAGE = 16;

/** Journal of an owned cell. */
export interface Journal {
    head(): Head;
    /** Holds as long as nobody has replaced the head since the last commit. */
    fence(): Comparison;
    /**
     * Commits the draft's changes. Codes: `conflict` (the cell has another owner, nothing was written), `unavailable`,
     * `refused` (nothing was written) or `ambiguous` (aborted before the outcome was known).
     */
    commit(options: CommitOptions): Promise<Result<void, Failure>>;
}

/** A commit of a ledger. */
export interface CommitOptions {
    readonly ledger: Ledger;
    readonly now: number;
    readonly horizonMilliseconds: number;
    /** Gives the cell up in the same write. */
    readonly release?: boolean;
    /** Writes outside the ledger that take effect together with the commit. */
    readonly alongside?: readonly WriteOperation[];
    readonly signal?: AbortSignal;
}

/** A claim of a cell. */
export interface ClaimOptions {
    readonly store: Store;
    readonly cell: string;
    readonly holder: Holder;
    /** Head as read before, absent for a cell that nobody has owned. */
    readonly previousHead: StoredRecord<Head> | undefined;
    readonly now: number;
    readonly horizonMilliseconds: number;
    /** The last holder is certainly gone, so its renewals have ended. */
    readonly predecessorGone: boolean;
    readonly segmentsPerSnapshot: number;
    readonly signal?: AbortSignal;
}

/** Reads the head of a cell's ledger. */
export function readHead(store: Store, cell: string): Promise<Result<StoredRecord<Head> | undefined, Failure>> {
    return readRecord(store, keyOfHead(cell), Head);
}

/** Claims a cell: raises its epoch, which shuts the last owner out. */
export async function claimCell(options: ClaimOptions): Promise<Result<Journal, Failure>> {
    const previous = options.previousHead?.body;
    const head: Head = {
        cell: options.cell,
        epoch: (previous?.epoch ?? 0) + 1,
        holder: options.holder,
        released: false,
        horizonMilliseconds: options.now + options.horizonMilliseconds,
        sequence: previous?.sequence ?? 0,
        snapshotSequence: previous?.snapshotSequence ?? 0,
        snapshotChunks: previous?.snapshotChunks ?? 0,
        predecessorsEndMilliseconds: endOfPredecessors(previous, options),
    };
    const committed = await commitRecord(options.store, {
        key: keyOfHead(options.cell),
        body: head,
        expectedRevision: options.previousHead?.revision ?? 0,
        alongside: [putClaim(head)],
        ...(options.signal === undefined ? {} : { signal: options.signal }),
    });
    return committed.map(revision => createJournal(options, head, revision));
}

function endOfPredecessors(previous: Head | undefined, { predecessorGone, now }: ClaimOptions): number {
    if (previous === undefined) {
        return now;
    }
    const last = predecessorGone || previous.released ? now : previous.horizonMilliseconds;
    return Math.max(last, previous.predecessorsEndMilliseconds);
}

function putClaim(head: Head): WriteOperation {
    const claim = { cell: head.cell, epoch: head.epoch, holder: head.holder, released: head.released };
    return { kind: "put", key: keyOfClaim(head.cell), value: JSON.stringify(claim) };
}

function createJournal(options: ClaimOptions, claimed: Head, claimedRevision: number): Journal {
    let head = claimed;
    let headRevision = claimedRevision;
    return {
        head: () => head,
        fence: () => ({
            key: keyOfHead(options.cell),
            target: "modRevision",
            relation: "equal",
            value: headRevision,
        }),
        async commit(commit) {
            const needsCompaction = head.sequence + 1 - head.snapshotSequence > options.segmentsPerSnapshot;
            let next: Head = {
                ...head,
                sequence: head.sequence + 1,
                released: commit.release === true,
                horizonMilliseconds: commit.now + commit.horizonMilliseconds,
            };
            if (needsCompaction) {
                const written = await writeSnapshot(options, next, commit, headRevision);
                if (written.isErr) {
                    return Result.err(written.error);
                }
                next = { ...next, snapshotSequence: next.sequence, snapshotChunks: written.value };
            }
            const committed = await commitRecord(options.store, {
                key: keyOfHead(options.cell),
                body: next,
                expectedRevision: headRevision,
                alongside: [
                    ...needsCompaction ? deleteCompacted(head) : [putSegment(next, commit)],
                    ...next.released ? [putClaim(next)] : [],
                    ...commit.alongside ?? [],
                ],
                ...(commit.signal === undefined ? {} : { signal: commit.signal }),
            });
            return committed.map(revision => {
                head = next;
                headRevision = revision;
                commit.ledger.markCommitted();
            });
        },
    };
}

function putSegment(head: Head, { ledger, now }: CommitOptions): WriteOperation {
    const segment: Segment = toSegment(head, ledger.changes(), now);
    return { kind: "put", key: keyOfSegment(head.cell, head.sequence), value: JSON.stringify(segment) };
}

function toSegment(head: Head, changes: Changes, now: number): Segment {
    return {
        sequence: head.sequence,
        epoch: head.epoch,
        atMilliseconds: now,
        tasks: [...changes.tasks],
        removed: [...changes.removed],
        specs: [...changes.specs],
        admissions: [...changes.admissions],
        drains: [...changes.drains],
        drainsEnded: [...changes.drainsEnded],
    };
}

/** Chunks take no effect until a head refers to them; a snapshot that no head refers to is overwritten or dropped. */
async function writeSnapshot(
    { store, cell }: ClaimOptions,
    next: Head,
    { ledger, now }: CommitOptions,
    headRevision: number,
): Promise<Result<number, Failure>> {
    const whole = toSegment(next, ledger.snapshot(), now);
    const prefix = snapshotPrefix(cell, next.sequence);
    const chunks = splitTasks(whole.tasks);
    for (const [index, tasks] of chunks.entries()) {
        const chunk: Segment = index === 0
            ? { ...whole, tasks }
            : { ...whole, tasks, specs: [], admissions: [], drains: [] };
        const written = await store.transact({
            comparisons: [{
                key: keyOfHead(cell),
                target: "modRevision",
                relation: "equal",
                value: headRevision,
            }],
            writes: [{ kind: "put", key: prefix + String(index).padStart(4, "0"), value: JSON.stringify(chunk) }],
        });
        if (written.isErr) {
            // The chunk is written again before any head refers to it, so this write's own outcome does not matter.
            return Result.err({ ...written.error, code: "unavailable" });
        }
        if (!written.value.succeeded) {
            return Result.err(createFailure("conflict", "snapshot", `${cell} has another owner`));
        }
    }
    return Result.ok(chunks.length);
}

function splitTasks(tasks: readonly Task[]): Task[][] {
    const chunks: Task[][] = [];
    for (let start = 0; start === 0 || start < tasks.length; start += TASKS_PER_CHUNK) {
        chunks.push(tasks.slice(start, start + TASKS_PER_CHUNK));
    }
    return chunks;
}

function deleteCompacted(head: Head): WriteOperation[] {
    return [
        { kind: "delete", key: segmentsPrefix(head.cell), prefix: true },
        ...head.snapshotSequence === 0
            ? []
            : [{ kind: "delete", key: snapshotPrefix(head.cell, head.snapshotSequence), prefix: true } as const],
    ];
}

/** Loads a ledger up to a head: the snapshot and the segments after it. */
export async function loadLedger(store: Store, head: Head): Promise<Result<Ledger, Failure>> {
    const ledger = createLedger();
    if (head.snapshotSequence > 0) {
        const chunks = await readAll(store, snapshotPrefix(head.cell, head.snapshotSequence), CHUNKS_PER_PAGE);
        if (chunks.isErr) {
            return Result.err(chunks.error);
        }
        const replayed = replayAll(ledger, chunks.value.slice(0, head.snapshotChunks));
        if (replayed.isErr) {
            return Result.err(replayed.error);
        }
    }
    const segments = await readAll(store, segmentsPrefix(head.cell), SEGMENTS_PER_PAGE);
    return segments.andThen(entries => replayAll(ledger, entries)).map(() => ledger);
}

function replayAll(ledger: Ledger, entries: readonly KeyValue[]): Result<void, Failure> {
    for (const entry of entries) {
        const segment = parseJson(Segment, entry.value, `ledger ${entry.key}`);
        if (segment.isErr) {
            return Result.err(segment.error);
        }
        ledger.replay(segment.value);
    }
    return Result.ok(undefined);
}

async function readAll(store: Store, prefix: string, limit: number): Promise<Result<KeyValue[], Failure>> {
    const entries: KeyValue[] = [];
    for (let after: string | undefined;;) {
        const page = await store.read({ key: prefix, prefix: true, limit, ...(after === undefined ? {} : { after }) });
        if (page.isErr) {
            return Result.err(page.error);
        }
        entries.push(...page.value.entries);
        after = page.value.entries.at(-1)?.key;
        if (!page.value.more || after === undefined) {
            return Result.ok(entries);
        }
    }
}
