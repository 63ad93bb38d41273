/**
 * Differences between two versions of a team's rules.
 */
import * as z from "zod";
import { printRule } from "./print.js";
import type { Rule } from "./rule.js";

/** One rule that differs between two versions; `before` and `after` are its text in each version. */
export const RuleChange = z.strictObject({
    change: z.enum(["added", "removed", "changed"]),
    kind: z.string(),
    name: z.string(),
    requester: z.string(),
    before: z.string().optional(),
    after: z.string().optional(),
});
export type RuleChange = z.infer<typeof RuleChange>;

/** Lists the changes from one version to another, in the order of the newer version, with removals last. */
export function diffRules(before: readonly Rule[], after: readonly Rule[]): RuleChange[] {
    const earlier = new Map(before.map(rule => [identifyRule(rule), rule]));
    const later = new Map(after.map(rule => [identifyRule(rule), rule]));
    const changes = [...later].flatMap(([key, rule]) => compareRule(earlier.get(key), rule));
    const removed = [...earlier].filter(([key]) => !later.has(key)).map(([, rule]): RuleChange => ({
        change: "removed",
        kind: rule.kind,
        name: rule.name,
        requester: rule.requester,
        before: printRule(rule),
    }));
    return [...changes, ...removed];
}

function compareRule(before: Rule | undefined, after: Rule): RuleChange[] {
    const { kind, name, requester } = after;
    const line = printRule(after);
    if (before === undefined) {
        return [{ change: "added", kind, name, requester, after: line }];
    }
    const earlierLine = printRule(before);
    return earlierLine === line
        ? []
        : [{ change: "changed", kind, name, requester, before: earlierLine, after: line }];
}

/**
 * Returns the identity of a rule. Services and batch rules share one namespace; a placement rule is identified by all
 * its fields.
 */
export function identifyRule(rule: Rule): string {
    switch (rule.kind) {
        case "service":
        case "batch":
            return `work ${rule.name}`;
        case "quota":
        case "retire":
            return `${rule.kind} ${rule.name}`;
        case "allow":
        case "deny":
            return `${rule.kind} ${rule.name} ${rule.beside ?? ""} ${rule.dataCentres.join(",")}`;
    }
}
