/**
 * Rule names, each owned by one team. An apply takes and gives back names in the transaction that writes its record, so
 * that of two teams that race for a name one is refused, whichever gateways they use.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import type { Comparison, WriteOperation } from "../platform/store.js";
import { startsTasks } from "../rules/rule.js";
import type { Rule } from "../rules/rule.js";
import { refuseName } from "./check.js";
import type { CheckedFile } from "./check.js";
import type { OperatorContext } from "./operator.js";

const NAMES_PREFIX = "/flamingowell/names/";

/** Stores limit the operations of a transaction (etcd to 128); the record, history and head need some as well. */
const NAMES_PER_APPLY = 100;

/** What an apply has to add to its transaction for the names that it takes and gives back. */
export interface NameClaim {
    readonly comparisons: readonly Comparison[];
    readonly writes: readonly WriteOperation[];
    /** Names that other teams own, and more names than one transaction holds; the apply is rejected for these. */
    readonly refusals: readonly Failure[];
}

/** Prepares a team's step from some rules to others. */
export async function claimNames(
    context: OperatorContext,
    file: CheckedFile,
    before: readonly Rule[],
    after: readonly Rule[],
): Promise<Result<NameClaim, Failure>> {
    const held = new Set(before.filter(startsTasks).map(rule => rule.name));
    const wanted = after.filter(startsTasks);
    const added = wanted.filter(rule => !held.has(rule.name));
    const removed = [...held].filter(name => !wanted.some(rule => rule.name === name));
    const changes = added.length + removed.length;
    if (changes > NAMES_PER_APPLY) {
        const message = `the file adds and removes ${changes} names of services and batch work; `
            + `one apply can change ${NAMES_PER_APPLY}: apply it in steps`;
        const refusal = createFailure("invalid-input", file.file ?? `${file.team}.rules`, message);
        return Result.ok({ comparisons: [], writes: [], refusals: [refusal] });
    }
    const claims = await Promise.all(added.map(rule => claimName(context, file, rule)));
    const failed = claims.find(claim => claim.isErr);
    if (failed?.isErr === true) {
        return Result.err(failed.error);
    }
    const taken = claims.flatMap(claim => claim.isOk ? claim.value : []);
    return Result.ok({
        comparisons: taken.flatMap(claim => claim.comparisons),
        writes: [
            ...taken.flatMap(claim => claim.writes),
            ...removed.map(name => ({ kind: "delete" as const, key: NAMES_PREFIX + name })),
        ],
        refusals: taken.flatMap(claim => claim.refusals),
    });
}

async function claimName(
    context: OperatorContext,
    file: CheckedFile,
    rule: Rule,
): Promise<Result<NameClaim, Failure>> {
    const key = NAMES_PREFIX + rule.name;
    const found = await context.store.read({ key });
    return found.map(({ entries: [entry] }) => {
        if (entry !== undefined && entry.value !== file.team) {
            return { comparisons: [], writes: [], refusals: [refuseName(file, rule, entry.value)] };
        }
        return {
            comparisons: [{ key, target: "modRevision", relation: "equal", value: entry?.modRevision ?? 0 }],
            writes: [{ kind: "put", key, value: file.team }],
            refusals: [],
        };
    });
}
