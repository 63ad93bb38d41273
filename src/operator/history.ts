/**
 * Earlier versions of the teams' rules: who changed what and when, for as long as the settings say.
 */
import { Result } from "true-myth/result";
import { decodeRulesEntry, historyPrefix } from "../configuration/record.js";
import type { RevisedRecord } from "../configuration/record.js";
import type { Failure } from "../core/errors.js";
import { MILLISECONDS_PER_DAY } from "../core/time.js";
import type { OperatorContext } from "./operator.js";

/** Versions beyond their time that one apply removes. */
const EXPIRED_PER_APPLY = 20;

/** Reads a team's versions, the oldest first. */
export async function readHistory(
    context: OperatorContext,
    team: string,
): Promise<Result<RevisedRecord[], Failure>> {
    const versions: RevisedRecord[] = [];
    let after: string | undefined;
    for (;;) {
        const page = await context.store.read({
            key: historyPrefix(team),
            prefix: true,
            limit: context.settings.historyEntries,
            ...(after === undefined ? {} : { after }),
        });
        if (page.isErr) {
            return Result.err(page.error);
        }
        versions.push(...page.value.entries.flatMap(entry => {
            const decoded = decodeRulesEntry(entry);
            return decoded.isOk ? [decoded.value] : [];
        }));
        after = page.value.entries.at(-1)?.key;
        if (!page.value.more || after === undefined) {
            return Result.ok(versions);
        }
    }
}

/**
 * Keys of versions that are older than the settings keep; the oldest few. The version in force (`sequence`) stays, so
 * that the next apply can be reverted, however old it is.
 */
export async function findExpired(
    context: OperatorContext,
    team: string,
    sequence: number,
    now: number,
): Promise<string[]> {
    const limit = now - context.settings.historyDays * MILLISECONDS_PER_DAY;
    const oldest = await context.store.read({ key: historyPrefix(team), prefix: true, limit: EXPIRED_PER_APPLY });
    if (oldest.isErr) {
        return [];
    }
    return oldest.value.entries
        .filter(entry => {
            const decoded = decodeRulesEntry(entry);
            return decoded.isOk
                && decoded.value.record.sequence < sequence
                && decoded.value.record.appliedAtMilliseconds < limit;
        })
        .map(entry => entry.key);
}
