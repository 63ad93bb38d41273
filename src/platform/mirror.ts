/**
 * A copy of all entries under a prefix of the store, kept up to date by a watch.
 */
import { Result } from "true-myth/result";
import { formatFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import type { Logger } from "../core/log.js";
import { pause } from "../core/time.js";
import type { Clock } from "../core/time.js";
import type { KeyValue, Store, WatchEvent } from "./store.js";

/** Entries of one page; the store gives fewer where they are large. */
const PAGE_ENTRIES = 500;

/** Options of a mirror. */
export interface MirrorOptions {
    readonly store: Store;
    readonly prefix: string;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Wait after a read or watch that failed. */
    readonly retryMilliseconds: number;
    /** Called after each change, with the keys that changed. */
    onChange(keys: readonly string[], now: number): void;
}

/** A copy of the entries under a prefix. */
export interface Mirror {
    readonly entries: ReadonlyMap<string, KeyValue>;
    /** Whether all entries have been read at least once. */
    isRead(): boolean;
    /** When the store last answered, in the clock's milliseconds; 0 before it has. */
    confirmedAtMilliseconds(): number;
    /** Reads everything anew. */
    refresh(): Promise<Result<void, Failure>>;
    /** Follows the store until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

/** Creates an empty mirror. */
export function createMirror(options: MirrorOptions): Mirror {
    const { clock, logger, prefix, store } = options;
    const entries = new Map<string, KeyValue>();
    let revision = 0;
    let isRead = false;
    let confirmedAt = 0;
    let isLost = false;

    const noteAnswer = (): void => {
        confirmedAt = clock();
        if (isLost) {
            isLost = false;
            logger.info("store regained", { prefix, revision });
        }
    };

    const noteFailure = (failure: Failure): void => {
        if (!isLost) {
            isLost = true;
            const ageMilliseconds = Math.round(clock() - confirmedAt);
            logger.warn("store lost", { prefix, revision, ageMilliseconds, failure: formatFailure(failure) });
        }
    };

    const readAll = async (): Promise<Result<void, Failure>> => {
        const found = new Map<string, KeyValue>();
        let startRevision: number | undefined;
        let after: string | undefined;
        for (;;) {
            const page = await store.read({
                key: prefix,
                prefix: true,
                limit: PAGE_ENTRIES,
                ...(after === undefined ? {} : { after }),
            });
            if (page.isErr) {
                return Result.err(page.error);
            }
            startRevision ??= page.value.revision;
            page.value.entries.forEach(entry => found.set(entry.key, entry));
            after = page.value.entries.at(-1)?.key;
            if (!page.value.more || after === undefined) {
                break;
            }
        }
        if (startRevision < revision) {
            return Result.ok(undefined);
        }
        const changed = [...found.values()]
            .filter(entry => (entries.get(entry.key)?.modRevision ?? 0) < entry.modRevision)
            .map(({ key }) => key);
        const gone = [...entries.keys()].filter(key => !found.has(key));
        changed.forEach(key => entries.set(key, found.get(key) as KeyValue));
        gone.forEach(key => entries.delete(key));
        revision = startRevision;
        isRead = true;
        noteAnswer();
        options.onChange([...changed, ...gone], clock());
        return Result.ok(undefined);
    };

    const takeEvents = (events: readonly WatchEvent[], upTo: number): void => {
        noteAnswer();
        const changed = events.filter(({ entry }) => entry.modRevision > revision);
        for (const { kind, entry } of changed) {
            if (kind === "put") {
                entries.set(entry.key, entry);
            }
            else {
                entries.delete(entry.key);
            }
        }
        revision = Math.max(revision, upTo);
        if (changed.length > 0) {
            options.onChange(changed.map(({ entry }) => entry.key), clock());
        }
    };

    return {
        entries,
        isRead: () => isRead,
        confirmedAtMilliseconds: () => confirmedAt,
        refresh: readAll,
        async run(signal) {
            let mustRead = true;
            while (!signal.aborted) {
                const outcome: Result<void, Failure> = mustRead
                    ? await readAll()
                    : await store.watch({ prefix, fromRevision: revision + 1, signal, onEvents: takeEvents });
                if (outcome.isOk) {
                    mustRead = false;
                    continue;
                }
                // A watch that broke goes on where it was; only history that is gone makes a new read necessary.
                mustRead ||= outcome.error.code === "not-found";
                noteFailure(outcome.error);
                await pause(options.retryMilliseconds, signal);
            }
        },
    };
}
