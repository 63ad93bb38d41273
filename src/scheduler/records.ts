/**
 * Reads records with a common prefix again and again: values only where the keys' revisions show a change.
 */
import { Result } from "true-myth/result";
import type { z } from "zod";
import type { Failure } from "../core/errors.js";
import { parseJson } from "../core/parse.js";
import type { KeyValue, Store } from "../platform/store.js";

/** Reader of the records under one prefix. */
export interface RecordReader<Value> {
    /** Reads the records as they are in the store now. */
    read(): Promise<Result<readonly Value[], Failure>>;
}

/** Creates a reader that has read nothing. */
export function createRecordReader<Schema extends z.ZodType>(
    store: Store,
    prefix: string,
    schema: Schema,
): RecordReader<z.output<Schema>> {
    let cached: { readonly revisions: string; readonly records: readonly z.output<Schema>[]; } | undefined;

    const readValues = async (): Promise<Result<readonly z.output<Schema>[], Failure>> => {
        const found = await store.read({ key: prefix, prefix: true });
        return found.andThen(({ entries }) => {
            const records: z.output<Schema>[] = [];
            for (const entry of entries) {
                const record = parseJson(schema, entry.value, `record ${entry.key}`);
                if (record.isErr) {
                    return Result.err(record.error);
                }
                records.push(record.value);
            }
            cached = { revisions: listRevisions(entries), records };
            return Result.ok(records);
        });
    };

    return {
        async read() {
            if (cached === undefined) {
                return readValues();
            }
            const keys = await store.read({ key: prefix, prefix: true, keysOnly: true });
            if (keys.isErr) {
                return Result.err(keys.error);
            }
            return listRevisions(keys.value.entries) === cached.revisions ? Result.ok(cached.records) : readValues();
        },
    };
}

/** A key's last write has a revision of its own, so equal lists stand for equal values. */
function listRevisions(entries: readonly KeyValue[]): string {
    return entries.map(({ key, modRevision }) => `${key}@${modRevision}`).join("\n");
}
