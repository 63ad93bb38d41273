/**
 * Reads the rules from the store, then watches it where this process is one of the few that do.
 */
import { Result } from "true-myth/result";
import { formatFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import { pause } from "../core/time.js";
import type { KeyValue } from "../platform/store.js";
import { askAll } from "./exchange.js";
import { isWatcher } from "./feed.js";
import type { FeedContext } from "./feed.js";
import { decodeRulesEntry, RULES_PREFIX } from "./record.js";
import type { RevisedRecord } from "./record.js";

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
        await Promise.race([askAll(context), pause(context.settings.startLimitMilliseconds, signal)]);
        context.becomeInformed();
    }
    return isWatcher(context) ? watch(context, read.value + 1, signal) : Result.ok(undefined);
}

/** Reads every record, page by page, and gives the revision up to which nothing is missing. */
async function readAll(context: FeedContext): Promise<Result<number, Failure>> {
    const { store, settings } = context;
    const records: RevisedRecord[] = [];
    let complete: number | undefined;
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
        // Pages are read at different revisions; nothing is missing up to the first of them.
        complete ??= page.value.revision;
        records.push(...decodeEntries(context, page.value.entries));
        after = page.value.entries.at(-1)?.key;
        if (!page.value.more || after === undefined) {
            context.take(records, complete, "store");
            return Result.ok(complete);
        }
    }
}

function decodeEntries(context: FeedContext, entries: readonly KeyValue[]): RevisedRecord[] {
    return entries.flatMap(entry => {
        const decoded = decodeRulesEntry(entry);
        if (decoded.isErr) {
            context.logger.error("record unreadable", { failure: formatFailure(decoded.error) });
            return [];
        }
        return [decoded.value];
    });
}

/** Watches until the watch breaks, the process is no longer one of the watchers, or the signal is aborted. */
async function watch(context: FeedContext, fromRevision: number, signal: AbortSignal): Promise<Result<void, Failure>> {
    const ended = new AbortController();
    const unsubscribe = context.membership.onChange(() => {
        if (!isWatcher(context)) {
            ended.abort();
        }
    });
    try {
        return await context.store.watch({
            prefix: RULES_PREFIX,
            fromRevision,
            signal: AbortSignal.any([signal, ended.signal]),
            onEvents(events, revision) {
                const entries = events.filter(event => event.kind === "put").map(event => event.entry);
                context.take(decodeEntries(context, entries), revision, "store");
            },
        });
    }
    finally {
        unsubscribe();
    }
}
