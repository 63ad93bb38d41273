/**
 * Records of rules in the store, and the form in which they travel between peers.
 */
import { Result } from "true-myth/result";
import * as z from "zod";
import { createFailure, formatFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import { Name } from "../core/messages/identity.js";
import { decodeRecord } from "../platform/commit.js";
import type { KeyValue } from "../platform/store.js";
import { safeParseRules } from "../rules/parse.js";
import type { RulesDocument } from "../rules/rule.js";

/** Prefix of the records in force, one per team. */
export const RULES_PREFIX = "/flamingowell/rules/";

/** Prefix of the records of earlier applies. */
export const HISTORY_PREFIX = "/flamingowell/history/";

/**
 * Key written with every apply, so that its revision is that of the latest change. It sorts before all teams and is read
 * together with them: a read of an old state shows an old head, whatever revision the answer claims.
 */
export const HEAD_KEY = `${RULES_PREFIX}!head`;

const SEQUENCE_DIGITS = 10;

/** A team's rules as kept: the text alone, since every reader can parse it. */
export const RulesRecord = z.object({
    team: Name,
    text: z.string(),
    appliedBy: z.string(),
    appliedAtMilliseconds: z.number(),
    /** Number of the apply within the team, from 1. */
    sequence: z.int().min(1),
    /** Chosen by the client; tells a repeat of an apply from another one. */
    applyId: z.string(),
});
export type RulesRecord = z.infer<typeof RulesRecord>;

/** A record with its revision, as peers exchange it. */
export const RevisedRecord = z.strictObject({ revision: z.int().min(1), record: RulesRecord });
export type RevisedRecord = z.infer<typeof RevisedRecord>;

/** Gives the key of a team's record in force. */
export function rulesKey(team: string): string {
    return RULES_PREFIX + team;
}

/** Gives the prefix of a team's history. */
export function historyPrefix(team: string): string {
    return `${HISTORY_PREFIX}${team}/`;
}

/** Gives the key of an apply in a team's history; keys sort by age. */
export function historyKey(team: string, sequence: number): string {
    return historyPrefix(team) + String(sequence).padStart(SEQUENCE_DIGITS, "0");
}

/** Decodes an entry of the store. */
export function decodeRulesEntry(entry: KeyValue): Result<RevisedRecord, Failure> {
    return decodeRecord(entry, RulesRecord).map(({ body, revision }) => ({ revision, record: body }));
}

/** Parses a record's text; fails only where another version of the system accepted it. */
export function toDocument({ revision, record }: RevisedRecord): Result<RulesDocument, Failure> {
    const { team, text, appliedBy, appliedAtMilliseconds } = record;
    const parsed = safeParseRules(text, { team });
    if (!parsed.success) {
        const reasons = parsed.failures.map(formatFailure).join("; ");
        return Result.err(createFailure("internal", `rules of ${team} at revision ${revision}`, reasons));
    }
    return Result.ok({ team, revision, text, rules: parsed.rules, appliedBy, appliedAtMilliseconds });
}
