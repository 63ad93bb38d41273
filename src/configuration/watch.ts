/**
 * Reads the rules from the store, and watches the store in the processes selected as watchers.
 */
import { Result } from "true-myth/result";
import { formatFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import { pause } from "../core/time.js";
import type { KeyValue } from "../platform/store.js";
import { readFromAllPeers } from "./exchange.js";
import { isWatcher } from "./feed.js";
import type { FeedContext } from "./feed.js";
import { decodeRulesEntry, HEAD_KEY, RULES_PREFIX } from "./record.js";
import type { RevisedRecord } from "./record.js";

const PEERS_POLL_MILLISECONDS = 20;
const MAX_MISSED_CHECKS = 2;

/** Reads and watches the store until the signal is aborted. */
export async function runStoreWatch(context: FeedContext, signal: AbortSignal): Promise<void> {
    const { settings, logger } = context;
    let wait = settings.storeRetryMilliseconds;
    while (!signal.aborted) {
        const needed = !context.isInformed() || isWatcher(context);
        const outcome = needed ? await readAndWatch(context, signal) : Result.ok<void, Failure>(undefined);
        if (outcome.isErr) {
            logger.warn("store read or watch failed", { failure: formatFailure(outcome.error) });
        }
        wait = outcome.isErr
            ? Math.min(wait * 2, settings.longestStoreRetryMilliseconds)
            : settings.storeRetryMilliseconds;
        await pause(wait, signal);
    }
}

async function readAndWatch(context: FeedContext, signal: AbortSignal): Promise<Result<void, Failure>> {
    const read = await readAll(context);
    if (read.isErr) {
        return Result.err(read.error);
    }
    if (!context.isInformed()) {
        // The store may have answered from a lagging replica, so the peers are read as well.
        await Promise.race([
            readFromListedPeers(context, signal),
            pause(context.settings.startLimitMilliseconds, signal),
        ]);
        context.becomeInformed();
    }
    return isWatcher(context) ? watch(context, read.value + 1, signal) : Result.ok(undefined);
}

/** Reads from all peers once the membership has any. */
async function readFromListedPeers(context: FeedContext, signal: AbortSignal): Promise<void> {
    while (context.membership.members().length === 0 && !context.isInformed() && !signal.aborted) {
        await pause(PEERS_POLL_MILLISECONDS, signal);
    }
    await readFromAllPeers(context);
}

/**
 * Reads all records page by page and returns the store revision after which the watch starts. The head's revision may
 * be
 * compacted already, so the later revision of the first page is used; `checkHead` detects changes missed in between.
 */
async function readAll(context: FeedContext): Promise<Result<number, Failure>> {
    const { store, settings } = context;
    const records: RevisedRecord[] = [];
    let complete: number | undefined;
    let revision: number | undefined;
    let after: string | undefined;
    for (;;) {
        const page = await store.read({
            key: RULES_PREFIX,
            prefix: true,
            limit: settings.pageEntries,
            ...(after === undefined ? {} : { after }),
        });
        if (page.isErr) {
            return Result.err(page.error);
        }
        // Pages are read at different times; the records are complete up to the head in the first page.
        complete ??= findHeadRevision(page.value.entries);
        revision ??= page.value.revision;
        records.push(...decodeEntries(context, page.value.entries));
        after = page.value.entries.at(-1)?.key;
        if (!page.value.more || after === undefined) {
            context.mergeRecords(records, complete, "store");
            return Result.ok(revision);
        }
    }
}

/** Returns the revision of the head key among the entries; 0 if absent. */
function findHeadRevision(entries: readonly KeyValue[]): number {
    return entries.findLast(entry => entry.key === HEAD_KEY)?.modRevision ?? 0;
}

function decodeEntries(context: FeedContext, entries: readonly KeyValue[]): RevisedRecord[] {
    return entries.filter(entry => entry.key !== HEAD_KEY).flatMap(entry => {
        const decoded = decodeRulesEntry(entry);
        if (decoded.isErr) {
            context.logger.error("stored rules record unreadable", { failure: formatFailure(decoded.error) });
            return [];
        }
        return [decoded.value];
    });
}

/** Watches until the watch breaks or misses changes, the process is no longer a watcher, or the signal is aborted. */
async function watch(context: FeedContext, fromRevision: number, signal: AbortSignal): Promise<Result<void, Failure>> {
    const ended = new AbortController();
    const unsubscribe = context.membership.onChange(() => {
        if (!isWatcher(context)) {
            ended.abort();
        }
    });
    const combinedSignal = AbortSignal.any([signal, ended.signal]);
    void checkHead(context, combinedSignal, () => ended.abort());
    try {
        return await context.store.watch({
            prefix: RULES_PREFIX,
            fromRevision,
            signal: combinedSignal,
            onEvents(events) {
                const entries = events.filter(event => event.kind === "put").map(event => event.entry);
                context.mergeRecords(decodeEntries(context, entries), findHeadRevision(entries), "store");
            },
        });
    }
    finally {
        unsubscribe();
        ended.abort();
    }
}

/** Detects a watch that stays open but delivers no events, by comparing the head key with the catalog. */
async function checkHead(context: FeedContext, signal: AbortSignal, abortWatch: () => void): Promise<void> {
    let missedChecks = 0;
    while (!signal.aborted) {
        await pause(context.settings.headIntervalMilliseconds, signal);
        const head = await context.store.read({ key: HEAD_KEY, keysOnly: true });
        const latest = head.isOk ? head.value.entries[0]?.modRevision ?? 0 : 0;
        missedChecks = context.catalog.covers(latest) ? 0 : missedChecks + 1;
        // One failed check isn't enough: the event may still be in transit.
        if (missedChecks === MAX_MISSED_CHECKS) {
            context.logger.warn("watch open but delivers no events", { latest });
            abortWatch();
        }
    }
}
