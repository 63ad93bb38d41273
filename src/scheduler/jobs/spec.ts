/**
 * Derives the specs of tasks from rules.
 */
import { hashText } from "../../core/random.js";
import type { Configuration, PlacementRule, Rule, RulesDocument } from "../../rules/rule.js";
import type { TaskSpec } from "../ledger/task.js";

/** A rule that runs tasks, with the team that it belongs to. */
export interface RunnableRule {
    readonly team: string;
    readonly document: RulesDocument;
    readonly rule: Extract<Rule, { kind: "service" | "batch"; }>;
}

/** A rule of a team's document. */
interface TeamRule {
    readonly document: RulesDocument;
    readonly rule: Rule;
}

/** Lists the rules that have not ended, neither by date nor because their feature was retired. */
function listCurrentRules(configuration: Configuration, now: number): TeamRule[] {
    const rules = configuration.documents.flatMap(document => document.rules.map(rule => ({ document, rule })));
    const retired = new Set(rules.filter(({ rule }) => rule.kind === "retire").map(({ rule }) => rule.name));
    return rules.filter(({ rule: { end } }) => {
        const hasEnded = end.untilMilliseconds !== undefined && now >= end.untilMilliseconds;
        const isRetired = end.feature !== undefined && retired.has(end.feature);
        return !hasEnded && !isRetired;
    });
}

/** Lists the rules that run tasks now. */
export function listRunnable(configuration: Configuration, now: number): RunnableRule[] {
    return listCurrentRules(configuration, now).flatMap(({ rule, document }) =>
        rule.kind === "service" || rule.kind === "batch" ? [{ team: document.team, document, rule }] : []
    );
}

/** Lists the current placement rules. */
export function listPlacements(configuration: Configuration, now: number): PlacementRule[] {
    return listCurrentRules(configuration, now).flatMap(({ rule }) =>
        rule.kind === "allow" || rule.kind === "deny" ? [rule] : []
    );
}

/** Derives the spec of a rule's tasks; equal specs have equal ids. */
export function toSpec({ team, rule }: RunnableRule): TaskSpec {
    const needs = {
        rule: rule.name,
        team,
        requester: rule.requester,
        kind: rule.kind,
        resources: rule.resources,
        dataCentres: rule.dataCentres,
        priority: rule.priority,
        workSeconds: rule.kind === "batch" ? rule.expectedSeconds : 0,
        retries: rule.kind === "batch" ? rule.retries : 0,
    };
    return { specId: `${rule.name}:${hashText(JSON.stringify(needs)).toString(36)}`, ...needs };
}
