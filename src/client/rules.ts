/**
 * The rules of all teams as the client reads them.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../core/errors.js";
import { showRules } from "../operator/messages.js";
import { safeParseRules } from "../rules/parse.js";
import type { Rule } from "../rules/rule.js";
import { printUntil } from "../rules/words.js";
import type { CommandContext } from "./command.js";

/** A rule with the team that it belongs to. */
export interface TeamRule {
    readonly team: string;
    readonly rule: Rule;
}

/** Reads the rules of all teams. */
export async function readAllRules(context: CommandContext): Promise<Result<TeamRule[], Failure>> {
    const shown = await context.call(showRules, {});
    return shown.map(({ versions }) =>
        versions.flatMap(({ team, text }) => {
            const parsed = safeParseRules(text, { team });
            return parsed.success ? parsed.rules.map(rule => ({ team, rule })) : [];
        })
    );
}

/** Tells in words when a rule ends. */
export function describeEnd({ end }: Rule): string {
    const parts = [
        end.untilMilliseconds === undefined ? "" : `until ${printUntil(end.untilMilliseconds)}`,
        end.feature === undefined ? "" : `with feature ${end.feature}`,
        end.runs === undefined ? "" : `after ${end.runs} runs`,
    ].filter(part => part !== "");
    return parts.length === 0 ? "stands until it is removed" : `ends ${parts.join(" or ")}`;
}

/** Features that a `retire` line of any team has retired. */
export function listRetired(rules: readonly TeamRule[]): Set<string> {
    return new Set(rules.filter(({ rule }) => rule.kind === "retire").map(({ rule }) => rule.name));
}
