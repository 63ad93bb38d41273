/**
 * Shows the rules that are in force.
 */
import { Result } from "true-myth/result";
import type { z } from "zod";
import { decodeRulesEntry, HEAD_KEY, RULES_PREFIX, rulesKey } from "../configuration/record.js";
import type { Failure } from "../core/errors.js";
import { toVersion } from "./apply.js";
import type { RulesVersion, showRules } from "./messages.js";
import type { OperatorContext } from "./operator.js";

type Shown = z.input<typeof showRules.answer>;

const PAGE_ENTRIES = 100;

/** Reads the versions from the store; where it does not answer, gives what this gateway acts on. */
export async function showVersions(
    context: OperatorContext,
    team: string | undefined,
): Promise<Result<Shown, Failure>> {
    const versions: RulesVersion[] = [];
    let after: string | undefined;
    for (;;) {
        const page = await context.store.read(
            team === undefined
                ? { key: RULES_PREFIX, prefix: true, limit: PAGE_ENTRIES, ...(after === undefined ? {} : { after }) }
                : { key: rulesKey(team) },
        );
        if (page.isErr) {
            return showInForce(context, team, page.error);
        }
        versions.push(
            ...page.value.entries.filter(entry => entry.key !== HEAD_KEY).flatMap(entry => {
                const decoded = decodeRulesEntry(entry);
                return decoded.isOk ? [toVersion(decoded.value)] : [];
            }),
        );
        after = page.value.entries.at(-1)?.key;
        if (!page.value.more || after === undefined) {
            return Result.ok({ source: "store", versions });
        }
    }
}

function showInForce(context: OperatorContext, team: string | undefined, failure: Failure): Result<Shown, Failure> {
    const current = context.feed.source.current();
    if (current === undefined) {
        return Result.err(failure);
    }
    const versions = current.documents
        .filter(document => team === undefined || document.team === team)
        .map(({ revision, text, appliedBy, appliedAtMilliseconds, team: name }) => ({
            team: name,
            revision,
            sequence: 0,
            text,
            appliedBy,
            appliedAtMilliseconds,
        }));
    return Result.ok({ source: "in-force", versions });
}
