/**
 * Versioned keys in byte order, with a bounded history of changes.
 *
 * Keys are latin1 strings of the keys' bytes, so that comparing strings compares bytes. Values stay in base64.
 */

/** A key as stored. */
export interface StoredKey {
    readonly key: string;
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
    readonly lease: string;
}

/** A change: a put with the new entry, or a delete with key and revision only. */
export interface KeyChange {
    readonly type: "PUT" | "DELETE";
    readonly entry: StoredKey;
}

/** Which keys: one, those from `key` up to `rangeEnd` (exclusive), or all from `key` where `rangeEnd` is a zero byte. */
export interface KeyRange {
    readonly key: string;
    readonly rangeEnd: string | undefined;
}

/** Entries in byte order as they are at one moment. */
export interface KeyView {
    get(key: string): StoredKey | undefined;
    list(range: KeyRange): StoredKey[];
}

/** The keys with their history. */
export interface Keyspace extends KeyView {
    revision(): number;
    size(): number;
    compactedRevision(): number;
    put(key: string, value: string, lease: string, revision: number): KeyChange;
    remove(key: string, revision: number): KeyChange;
    /** Closes a revision and keeps its changes for later watches. */
    commit(revision: number, changes: readonly KeyChange[]): void;
    changesSince(revision: number): readonly KeyChange[];
    /** Copies the present state. */
    freeze(): KeyView;
}

/** Creates an empty keyspace at revision 1. */
export function createKeyspace(historyLimit: number): Keyspace {
    const entries = new Map<string, StoredKey>();
    const sorted: string[] = [];
    let revision = 1;
    let compacted = 0;
    let history: KeyChange[] = [];

    const get = (key: string) => entries.get(key);
    return {
        get,
        list: range => listRange(range, () => sorted, get),
        revision: () => revision,
        size: () => entries.size,
        compactedRevision: () => compacted,
        put(key, value, lease, at) {
            const before = entries.get(key);
            const entry = {
                key,
                value,
                lease,
                createRevision: before?.createRevision ?? at,
                modRevision: at,
                version: (before?.version ?? 0) + 1,
            };
            entries.set(key, entry);
            if (before === undefined) {
                sorted.splice(findFirst(sorted, key), 0, key);
            }
            return { type: "PUT", entry };
        },
        remove(key, at) {
            if (entries.delete(key)) {
                sorted.splice(findFirst(sorted, key), 1);
            }
            return {
                type: "DELETE",
                entry: { key, value: "", createRevision: 0, modRevision: at, version: 0, lease: "" },
            };
        },
        commit(at, changes) {
            revision = at;
            history.push(...changes);
            if (history.length > historyLimit * 2) {
                const cut = history.length - historyLimit;
                compacted = history[cut - 1]?.entry.modRevision ?? compacted;
                history = history.slice(cut).filter(change => change.entry.modRevision > compacted);
            }
        },
        changesSince: from => history.filter(change => change.entry.modRevision >= from),
        freeze() {
            const copy = new Map(entries);
            const keys = [...sorted];
            const getCopy = (key: string) => copy.get(key);
            return { get: getCopy, list: range => listRange(range, () => keys, getCopy) };
        },
    };
}

/** Tells whether a key lies in a range. */
export function isInRange(key: string, range: KeyRange): boolean {
    if (range.rangeEnd === undefined) {
        return key === range.key;
    }
    return key >= range.key && (range.rangeEnd === "\0" || key < range.rangeEnd);
}

function listRange(
    range: KeyRange,
    sortedKeys: () => readonly string[],
    get: (key: string) => StoredKey | undefined,
): StoredKey[] {
    if (range.rangeEnd === undefined) {
        const entry = get(range.key);
        return entry === undefined ? [] : [entry];
    }
    const keys = sortedKeys();
    const found: StoredKey[] = [];
    for (let index = findFirst(keys, range.key); index < keys.length; index += 1) {
        const key = keys[index] ?? "";
        const entry = get(key);
        if (!isInRange(key, range) || entry === undefined) {
            break;
        }
        found.push(entry);
    }
    return found;
}

function findFirst(keys: readonly string[], key: string): number {
    let low = 0;
    let high = keys.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if ((keys[middle] ?? "") < key) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
