/**
 * From rules to what their tasks need.
 */
import { hashText } from "../../core/random.js";
import type { Configuration, Rule, RulesDocument } from "../../rules/rule.js";
import type { TaskSpec } from "../ledger/task.js";

/** A rule that runs tasks, with the team that it belongs to. */
export interface RunnableRule {
    readonly team: string;
    readonly document: RulesDocument;
    readonly rule: Extract<Rule, { kind: "service" | "batch"; }>;
}

/** Lists the rules that have not ended by date or by a retired feature. */
export function listRunnable(configuration: Configuration, now: number): RunnableRule[] {
    const rules = configuration.documents.flatMap(document => document.rules.map(rule => ({ document, rule })));
    const retired = new Set(rules.filter(({ rule }) => rule.kind === "retire").map(({ rule }) => rule.name));
    return rules.flatMap(({ document, rule }) => {
        if (rule.kind !== "service" && rule.kind !== "batch") {
            return [];
        }
        const over = rule.end.untilMilliseconds !== undefined && now >= rule.end.untilMilliseconds;
        const withdrawn = rule.end.feature !== undefined && retired.has(rule.end.feature);
        return over || withdrawn ? [] : [{ team: document.team, document, rule }];
    });
}

/** Derives what a rule's tasks need; equal needs give equal ids. */
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
