/**
 * Applies rules: checks a file whole, commits it against its base, and settles writes whose answer was lost.
 */
import { Result } from "true-myth/result";
import type { z } from "zod";
import { HEAD_KEY, historyKey, rulesKey, RulesRecord } from "../configuration/record.js";
import type { RevisedRecord } from "../configuration/record.js";
import { createFailure, formatFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import { commitRecord, readRecord } from "../platform/commit.js";
import { diffRules } from "../rules/diff.js";
import type { RuleChange } from "../rules/diff.js";
import { safeParseRules } from "../rules/parse.js";
import type { Rule } from "../rules/rule.js";
import { checkAgainstOthers } from "./check.js";
import { findExpired, readHistory } from "./history.js";
import type { ApplyAnswer, applyRules, RulesVersion } from "./messages.js";
import { claimNames } from "./names.js";
import type { NameClaim } from "./names.js";
import type { OperatorContext } from "./operator.js";

/** A name can change hands while an apply is under way; more than once is unlikely. */
const ATTEMPTS = 3;

/** Parameters of an apply. */
export type ApplyParams = z.output<typeof applyRules.params>;

/** Reads a team's record in force from the store; `undefined` where the team has none. */
export async function readCurrent(
    context: OperatorContext,
    team: string,
): Promise<Result<RevisedRecord | undefined, Failure>> {
    const found = await readRecord(context.store, rulesKey(team), RulesRecord);
    return found.map(record => record === undefined ? undefined : { revision: record.revision, record: record.body });
}

/** Turns a record into what operators see. */
export function toVersion({ revision, record }: RevisedRecord): RulesVersion {
    const { team, sequence, text, appliedBy, appliedAtMilliseconds } = record;
    return { team, revision, sequence, text, appliedBy, appliedAtMilliseconds };
}

/** Parses the text of a record that was accepted; what cannot be read any more counts as empty. */
export function readRules(text: string, team: string): Rule[] {
    const parsed = safeParseRules(text, { team });
    return parsed.success ? parsed.rules : [];
}

/** Carries out an apply. */
export async function apply(context: OperatorContext, params: ApplyParams): Promise<Result<ApplyAnswer, Failure>> {
    const parsed = safeParseRules(params.text, {
        team: params.team,
        ...(params.file === undefined ? {} : { file: params.file }),
    });
    const failures = parsed.success
        ? await checkAgainstOthers(context, params, parsed.rules)
        : parsed.failures;
    if (failures.length > 0) {
        context.applies.inc({ outcome: "rejected" });
        return Result.ok({ outcome: "rejected", failures });
    }
    const current = await readCurrent(context, params.team);
    return current.isErr ? Result.err(current.error) : applyOn(context, params, current.value);
}

async function applyOn(
    context: OperatorContext,
    params: ApplyParams,
    current: RevisedRecord | undefined,
    attempt = 1,
): Promise<Result<ApplyAnswer, Failure>> {
    if (current !== undefined && isRepeat(params, current)) {
        context.feed.accept(current);
        context.applies.inc({ outcome: "unchanged" });
        return Result.ok({ outcome: "accepted", revision: current.revision, changed: false, changes: [] });
    }
    if ((current?.revision ?? 0) !== params.baseRevision) {
        return conflict(context, params, current);
    }
    const before = current === undefined ? [] : readRules(current.record.text, params.team);
    const after = readRules(params.text, params.team);
    const claim = await claimNames(context, params, before, after);
    if (claim.isErr) {
        return Result.err(claim.error);
    }
    if (claim.value.refusals.length > 0) {
        context.applies.inc({ outcome: "rejected" });
        return Result.ok({ outcome: "rejected", failures: [...claim.value.refusals] });
    }
    const committed = await commit(context, params, current, claim.value);
    if (committed.isErr) {
        return committed.error.code === "conflict"
            ? settleConflict(context, params, attempt)
            : Result.err(committed.error);
    }
    return Result.ok(accept(context, params, committed.value, diffRules(before, after)));
}

function accept(
    context: OperatorContext,
    params: ApplyParams,
    revised: RevisedRecord,
    changes: RuleChange[],
): ApplyAnswer {
    context.feed.accept(revised);
    context.applies.inc({ outcome: "accepted" });
    context.logger.info("rules accepted", { team: params.team, revision: revised.revision, by: params.by });
    return { outcome: "accepted", revision: revised.revision, changed: true, changes };
}

/** The same apply once more, or the same text against the version in force. */
function isRepeat(params: ApplyParams, current: RevisedRecord): boolean {
    return current.record.applyId === params.applyId || current.record.text === params.text;
}

async function commit(
    context: OperatorContext,
    params: ApplyParams,
    current: RevisedRecord | undefined,
    claim: NameClaim,
): Promise<Result<RevisedRecord, Failure>> {
    const now = context.clock();
    const record: RulesRecord = {
        team: params.team,
        text: params.text,
        appliedBy: params.by,
        appliedAtMilliseconds: now,
        sequence: (current?.record.sequence ?? 0) + 1,
        applyId: params.applyId,
    };
    const history = { writeId: params.applyId, body: record };
    const expired = await findExpired(context, params.team, record.sequence - 1, now);
    const committed = await commitRecord(context.store, {
        key: rulesKey(params.team),
        body: record,
        expectedRevision: params.baseRevision,
        comparisons: claim.comparisons,
        alongside: [
            ...claim.writes,
            { kind: "put", key: historyKey(params.team, record.sequence), value: JSON.stringify(history) },
            { kind: "put", key: HEAD_KEY, value: params.team },
            ...expired.map(key => ({ kind: "delete" as const, key })),
        ],
        signal: AbortSignal.timeout(context.settings.settleLimitMilliseconds),
    });
    return committed.map(revision => ({ revision, record }));
}

/** Someone else was faster with the team's rules or a name, or an earlier call of this very apply had got through. */
async function settleConflict(
    context: OperatorContext,
    params: ApplyParams,
    attempt: number,
): Promise<Result<ApplyAnswer, Failure>> {
    const current = await readCurrent(context, params.team);
    if (current.isErr) {
        return Result.err(current.error);
    }
    if (current.value !== undefined && isRepeat(params, current.value)) {
        context.feed.accept(current.value);
        return Result.ok({ outcome: "accepted", revision: current.value.revision, changed: true, changes: [] });
    }
    if ((current.value?.revision ?? 0) === params.baseRevision) {
        // The team's rules are those expected, so another team was faster with a name; it is read again.
        const message = "names of rules changed hands while the apply was under way; nothing was changed, apply again";
        return attempt < ATTEMPTS
            ? applyOn(context, params, current.value, attempt + 1)
            : Result.err(createFailure("conflict", "rules.apply", message));
    }
    return conflict(context, params, current.value);
}

async function conflict(
    context: OperatorContext,
    params: ApplyParams,
    current: RevisedRecord | undefined,
): Promise<Result<ApplyAnswer, Failure>> {
    if (current === undefined) {
        const message = `${params.team} has no rules; its base revision is 0, not ${params.baseRevision}`;
        return Result.err(createFailure("conflict", "rules.apply", message));
    }
    const history = await readHistory(context, params.team);
    if (history.isErr) {
        context.logger.warn("history not read", { team: params.team, failure: formatFailure(history.error) });
    }
    const versions = history.unwrapOr([]);
    const repeated = versions.find(version => version.record.applyId === params.applyId);
    if (repeated !== undefined) {
        // Accepted at an earlier call whose answer was lost; others have changed the rules since.
        return Result.ok({ outcome: "accepted", revision: repeated.revision, changed: true, changes: [] });
    }
    context.applies.inc({ outcome: "conflict" });
    const baseText = versions.find(version => version.revision === params.baseRevision)?.record.text ?? "";
    const changesSinceBase = diffRules(
        readRules(baseText, params.team),
        readRules(current.record.text, params.team),
    );
    return Result.ok({ outcome: "conflict", current: toVersion(current), changesSinceBase });
}
