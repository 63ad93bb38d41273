/**
 * Prints rules as the text of a rules file.
 */
import { quote } from "shell-quote";
import type { Rule } from "./rule.js";
import { printDuration, printExclusiveKey, printSize, printUntil } from "./values.js";

type Option = readonly [string, string | number | undefined];

/** Prints one rule per line. The text parses to the same rules, except for their line numbers. */
export function printRules(rules: readonly Rule[]): string {
    return rules.map(rule => `${printRule(rule)}\n`).join("");
}

/** Prints one rule without a line break. */
export function printRule(rule: Rule): string {
    const options = [...listOptions(rule), ...listEnd(rule)].flatMap(([name, value]) =>
        value === undefined ? [] : [`--${name}`, String(value)]
    );
    return `${[rule.kind, rule.name, ...options].map(quoteWord).join(" ")}   # ${rule.requester}`;
}

/** Quotes a word only if it has special characters; `shell-quote` would also escape each comma. */
function quoteWord(word: string): string {
    return /^[\w.,:/+-]+$/.test(word) ? word : quote([word]);
}

function listOptions(rule: Rule): Option[] {
    switch (rule.kind) {
        case "service":
            return [
                ["replicas", rule.replicas],
                ...listTaskOptions(rule),
                ["exclusive", rule.exclusive === undefined ? undefined : printExclusiveKey(rule.exclusive)],
                ["deadline", printDuration(rule.deadlineMilliseconds)],
            ];
        case "batch":
            return [
                ...listTaskOptions(rule),
                ["schedule", rule.schedule?.expression],
                ["time-zone", rule.schedule?.timeZone],
                ["seconds", rule.expectedSeconds],
                ["tasks", rule.tasks],
                ["retries", rule.retries],
            ];
        case "quota":
            return [
                ["cores", rule.cores],
                ["memory", rule.memoryBytes === undefined ? undefined : printSize(rule.memoryBytes)],
                ["accelerators", rule.accelerators],
            ];
        case "retire":
            return [];
        case "allow":
        case "deny":
            return [["beside", rule.beside], ["in", joinNames(rule.dataCentres)]];
    }
}

function listTaskOptions(rule: Rule & { kind: "service" | "batch"; }): Option[] {
    return [
        ["cores", rule.resources.cores],
        ["memory", printSize(rule.resources.memoryBytes)],
        ["accelerators", rule.resources.accelerators],
        ["in", joinNames(rule.dataCentres)],
        ["priority", rule.priority],
    ];
}

function listEnd({ end }: Rule): Option[] {
    return [
        ["until", end.untilMilliseconds === undefined ? undefined : printUntil(end.untilMilliseconds)],
        ["feature", end.feature],
        ["runs", end.runs],
    ];
}

function joinNames(names: readonly string[]): string | undefined {
    return names.length === 0 ? undefined : names.join(",");
}
