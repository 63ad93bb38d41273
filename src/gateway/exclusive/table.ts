/**
 * What a gateway knows of the partitions' holders, as last read from the store.
 */
import { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import { decodeRecord } from "../../platform/commit.js";
import type { StoredRecord } from "../../platform/commit.js";
import type { Store } from "../../platform/store.js";
import { nameKey, PARTITION_PREFIX, PartitionRecord } from "./partition.js";

/** The table of holders. */
export interface PartitionTable {
    get(partition: number): StoredRecord<PartitionRecord> | undefined;
    /** Takes in a record that was read or written; an older revision than the known one changes nothing. */
    put(partition: number, record: StoredRecord<PartitionRecord>): void;
    /** Whether the table has been read at least once. */
    loaded(): boolean;
    /** Reads the whole table. */
    refresh(): Promise<Result<void, Failure>>;
    /** Reads one partition. */
    refreshOne(partition: number): Promise<Result<void, Failure>>;
}

/** Creates a table that has not been read yet. */
export function createPartitionTable(store: Store): PartitionTable {
    const records = new Map<number, StoredRecord<PartitionRecord>>();
    let loaded = false;
    const put = (partition: number, record: StoredRecord<PartitionRecord>): void => {
        const current = records.get(partition);
        if (current === undefined || current.revision < record.revision) {
            records.set(partition, record);
        }
    };
    const read = async (key: string, prefix: boolean): Promise<Result<void, Failure>> => {
        const answer = await store.read({ key, prefix });
        if (answer.isErr) {
            return Result.err(answer.error);
        }
        for (const entry of answer.value.entries) {
            const record = decodeRecord(entry, PartitionRecord);
            if (record.isErr) {
                return Result.err(record.error);
            }
            put(Number(entry.key.slice(PARTITION_PREFIX.length)), record.value);
        }
        return Result.ok(undefined);
    };
    return {
        get: partition => records.get(partition),
        put,
        loaded: () => loaded,
        refresh: async () => {
            const answer = await read(PARTITION_PREFIX, true);
            loaded ||= answer.isOk;
            return answer;
        },
        refreshOne: partition => read(nameKey(partition), false),
    };
}
