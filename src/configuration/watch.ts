/**
 * Reads the rules from the store, then watches it where this process is one of the few that do.
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

/** Runs until the signal is aborted. */
export async function runStoreWatch(context: FeedContext, signal: AbortSignal): Promise<void> {
    const { settings, logger } = context;
    let wait = settings.storeRetryMilliseconds;
    while (!signal.aborted) {
        const needed = !context.isInformed() || isWatcher(context);
        const outcome = needed ? await readAndWatch(context, signal) : Result.ok<void, Failure>(undefined);
        if (outcome.isErr) {
            logger.warn("store not followed", { failure: formatFailure(outcome.error) });
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
        // The store may have answered from a replica that lags, so the peers are heard as well.
        await Promise.race([
            readFromListedPeers(context, signal),
            pause(context.settings.startLimitMilliseconds, signal),
        ]);
        context.becomeInformed();
    }
    return isWatcher(context) ? watch(context, read.value + 1, signal) : Result.ok(undefined);
}

/** Asks all peers, once the instance list has named some. */
async function readFromListedPeers(context: FeedContext, signal: AbortSignal): Promise<void> {
    while (context.membership.members().length === 0 && !context.isInformed() && !signal.aborted) {
        await pause(PEERS_POLL_MILLISECONDS, signal);
    }
    await readFromAllPeers(context);
}

/**
 * Reads every record, page by page, and gives the store's revision from which a watch goes on. It may be later than the
 * head, whose revision may be compacted by now; what a watch misses in between, the check of the head finds.
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
        // Pages are read at different moments; nothing is missing up to the head that the first of them shows.
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

/** Revision of the head among some entries; 0 without one. */
function findHeadRevision(entries: readonly KeyValue[]): number {
    return entries.findLast(entry => entry.key === HEAD_KEY)?.modRevision ?? 0;
}

function decodeEntries(context: FeedContext, entries: readonly KeyValue[]): RevisedRecord[] {
    return entries.filter(entry => entry.key !== HEAD_KEY).flatMap(entry => {
        const decoded = decodeRulesEntry(entry);
        if (decoded.isErr) {
            context.logger.error("record unreadable", { failure: formatFailure(decoded.error) });
            return [];
        }
        return [decoded.value];
    });
}

/** Watches until the watch breaks or falls silent, the process is no longer one of the watchers, or the signal. */
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

/** A watch can fall silent without breaking; the revision of the latest change tells. */
async function checkHead(context: FeedContext, signal: AbortSignal, abortWatch: () => void): Promise<void> {
    let missedChecks = 0;
    while (!signal.aborted) {
        await pause(context.settings.headIntervalMilliseconds, signal);
        const head = await context.store.read({ key: HEAD_KEY, keysOnly: true });
        const latest = head.isOk ? head.value.entries[0]?.modRevision ?? 0 : 0;
        missedChecks = context.catalog.covers(latest) ? 0 : missedChecks + 1;
        // An event may be on its way when the head is read first.
        if (missedChecks === MAX_MISSED_CHECKS) {
            context.logger.warn("watch fell silent", { latest });
            abortWatch();
        }
    }
}
