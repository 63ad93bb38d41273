/**
 * Exports the ledgers of all cells from the store into one document.
 */
import { Result } from "true-myth/result";
import * as z from "zod";
import type { Failure } from "../../core/errors.js";
import { decodeRecord } from "../../platform/commit.js";
import type { StoredRecord } from "../../platform/commit.js";
import type { KeyValue, Store } from "../../platform/store.js";
import { Assignment, ASSIGNMENTS_PREFIX } from "../jobs/assignment.js";
import { Head, HEADS_PREFIX, segmentsPrefix, snapshotPrefix } from "../ledger/head.js";
import { loadLedger, readHead } from "../ledger/journal.js";
import { Admission, Drain, Task, TaskSpec } from "../ledger/task.js";

const PAGE_ENTRIES = 200;
const LOAD_TRIES = 5;

/** Ledger of one cell. */
export const ExportedCell = z.strictObject({
    head: Head,
    tasks: z.array(Task),
    specs: z.array(TaskSpec),
    admissions: z.array(Admission),
    drains: z.array(Drain),
    /** Numbers of the log segments found in the store; the expected ones follow from the head. */
    segments: z.array(z.int()),
    /** Number of the snapshot's chunks found in the store. */
    chunks: z.int().min(0),
});
export type ExportedCell = z.infer<typeof ExportedCell>;

/** Ledgers and assignments of all schedulers. */
export const ExportedState = z.strictObject({
    exportedAtMilliseconds: z.number(),
    /** Store's revision at the first read; cells are read one after the other. */
    revision: z.int(),
    cells: z.array(ExportedCell),
    assignments: z.array(Assignment),
});
export type ExportedState = z.infer<typeof ExportedState>;

/** Reads the ledgers of all cells; each cell is as of one commit. */
export async function exportState(store: Store, now: number): Promise<Result<ExportedState, Failure>> {
    const heads = await readPrefix(store, HEADS_PREFIX, Head);
    if (heads.isErr) {
        return Result.err(heads.error);
    }
    const cells: ExportedCell[] = [];
    for (const record of heads.value.records) {
        const cell = await exportCell(store, record, LOAD_TRIES);
        if (cell.isErr) {
            return Result.err(cell.error);
        }
        cells.push(cell.value);
    }
    const assignments = await readPrefix(store, ASSIGNMENTS_PREFIX, Assignment);
    return assignments.map(({ records }) => ({
        exportedAtMilliseconds: now,
        revision: heads.value.revision,
        cells,
        assignments: records.map(({ body }) => body),
    }));
}

/** Reads the cell again if the head's revision changed between the reads, which means a commit. */
async function exportCell(
    store: Store,
    record: StoredRecord<Head>,
    triesLeft: number,
): Promise<Result<ExportedCell, Failure>> {
    const ledger = await loadLedger(store, record.body);
    const stored = await listStored(store, record.body);
    const after = await readHead(store, record.body.cell);
    if (after.isErr) {
        return Result.err(after.error);
    }
    if (after.value !== undefined && after.value.revision !== record.revision && triesLeft > 1) {
        return exportCell(store, after.value, triesLeft - 1);
    }
    return stored.andThen(found => ledger.map(loaded => ({ found, loaded }))).map(({ found, loaded }) => ({
        head: record.body,
        tasks: [...loaded.committed.values()],
        specs: [...loaded.specs.values()],
        admissions: [...loaded.admissions.values()],
        drains: [...loaded.drains.values()],
        ...found,
    }));
}

/** Lists the segments and counts the snapshot chunks that are in the store. */
async function listStored(
    store: Store,
    { cell, snapshotSequence }: Head,
): Promise<Result<Pick<ExportedCell, "segments" | "chunks">, Failure>> {
    const prefix = segmentsPrefix(cell);
    const segments = await store.read({ key: prefix, prefix: true, keysOnly: true });
    const chunks = await store.read({ key: snapshotPrefix(cell, snapshotSequence), prefix: true, keysOnly: true });
    return segments.andThen(log =>
        chunks.map(snapshot => ({
            segments: log.entries.map(({ key }) => Number(key.slice(prefix.length))),
            chunks: snapshot.entries.length,
        }))
    );
}

interface PrefixRecords<Body> {
    readonly revision: number;
    readonly records: StoredRecord<Body>[];
}

async function readPrefix<Schema extends z.ZodType>(
    store: Store,
    prefix: string,
    schema: Schema,
): Promise<Result<PrefixRecords<z.output<Schema>>, Failure>> {
    const entries: KeyValue[] = [];
    let revision = 0;
    for (let after: string | undefined;;) {
        const page = await store.read({
            key: prefix,
            prefix: true,
            limit: PAGE_ENTRIES,
            ...(after === undefined ? {} : { after }),
        });
        if (page.isErr) {
            return Result.err(page.error);
        }
        revision = revision === 0 ? page.value.revision : revision;
        entries.push(...page.value.entries);
        after = page.value.entries.at(-1)?.key;
        if (!page.value.more || after === undefined) {
            break;
        }
    }
    const records: StoredRecord<z.output<Schema>>[] = [];
    for (const entry of entries) {
        const record = decodeRecord(entry, schema);
        if (record.isErr) {
            return Result.err(record.error);
        }
        records.push(record.value);
    }
    return Result.ok({ revision, records });
}
