/**
 * Records of rules in the store and in messages between peers.
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

/** Key prefix of the records in force, one per team. */
export const RULES_PREFIX = "/flamingowell/rules/";

/** Key prefix of the history records, one per apply. */
export const HISTORY_PREFIX = "/flamingowell/history/";

/**
 * Head key, written with every apply, so that its revision is that of the latest change. It sorts before all teams and
 * is
 * read in the same range: a stale read then shows an old head, whatever revision the store's answer states.
 */
export const HEAD_KEY = `${RULES_PREFIX}!head`;

const SEQUENCE_DIGITS = 10;

/** Stored rules of a team. Only the text is stored, since every process can parse it. */
export const RulesRecord = z.object({
    team: Name,
    text: z.string(),
    appliedBy: z.string(),
    appliedAtMilliseconds: z.number(),
    /** Number of the apply within the team, from 1. */
    sequence: z.int().min(1),
    /** ID set by the client, which identifies repeats of the same apply. */
    applyId: z.string(),
});
export type RulesRecord = z.infer<typeof RulesRecord>;

/** A record with its store revision, as exchanged between peers. */
export const RevisedRecord = z.strictObject({ revision: z.int().min(1), record: RulesRecord });
export type RevisedRecord = z.infer<typeof RevisedRecord>;

/** Returns the key of a team's record in force. */
export function rulesKey(team: string): string {
    return RULES_PREFIX + team;
}

/** Returns the key prefix of a team's history. */
export function historyPrefix(team: string): string {
    return `${HISTORY_PREFIX}${team}/`;
}

/** Returns the key of an apply in a team's history; keys sort from oldest to newest. */
export function historyKey(team: string, sequence: number): string {
    return historyPrefix(team) + String(sequence).padStart(SEQUENCE_DIGITS, "0");
}

/** Decodes a store entry into a record with its revision. */
export function decodeRulesEntry(entry: KeyValue): Result<RevisedRecord, Failure> {
    return decodeRecord(entry, RulesRecord).map(({ body, revision }) => ({ revision, record: body }));
}

/** Parses a record's text; fails only if another version of the software accepted a text that this one rejects. */
export function toDocument({ revision, record }: RevisedRecord): Result<RulesDocument, Failure> {
    const { team, text, appliedBy, appliedAtMilliseconds } = record;
    const parsed = safeParseRules(text, { team });
    if (!parsed.success) {
        const reasons = parsed.failures.map(formatFailure).join("; ");
        return Result.err(createFailure("internal", `rules of ${team} at revision ${revision}`, reasons));
    }
    return Result.ok({ team, revision, text, rules: parsed.rules, appliedBy, appliedAtMilliseconds });
}
