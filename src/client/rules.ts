/**
 * The rules of all teams as the client reads them.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../core/errors.js";
import { showRules } from "../operator/messages.js";
import { safeParseRules } from "../rules/parse.js";
import type { Rule, TeamRule } from "../rules/rule.js";
import { printUntil } from "../rules/values.js";
import type { CommandContext } from "./command.js";

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

/** Tells in words when a rule ends; a date holds to the end of its day, UTC. */
export function describeEnd({ end }: Rule): string {
    const parts = [
        end.untilMilliseconds === undefined ? "" : `after ${printUntil(end.untilMilliseconds)}`,
        end.feature === undefined ? "" : `with feature ${end.feature}`,
        end.runs === undefined ? "" : `after ${end.runs === 1 ? "1 run" : `${end.runs} runs`}`,
    ].filter(part => part !== "");
    return parts.length === 0 ? "stands until it is removed" : `ends ${parts.join(" or ")}`;
}

/** Features that a `retire` line of any team has retired. */
export function listRetired(rules: readonly TeamRule[]): Set<string> {
    return new Set(rules.filter(({ rule }) => rule.kind === "retire").map(({ rule }) => rule.name));
}
