/**
 * Which team's document a rule name is taken from.
 *
 * A name changes hands in two applies of two teams, which may arrive in either order. The later apply was accepted only
 * because the earlier owner had given the name back, so an older document that still has it is outdated in this.
 */
import { startsTasks } from "../rules/rule.js";
import type { Rule, RulesDocument } from "../rules/rule.js";

/** Follows the documents of all teams; the cost of a change is that of its own document. */
export interface NameOwners {
    /** Notes that a document takes the place of the team's earlier one. */
    replace(before: RulesDocument | undefined, after: RulesDocument): void;
    /** Leaves out rules whose names a document of a higher revision has. */
    dropOutdated(documents: RulesDocument[]): RulesDocument[];
}

/** Creates an empty index; documents are found by their team, as they are before a replacement. */
export function createNameOwners(findDocument: (team: string) => RulesDocument | undefined): NameOwners {
    const ownersByName = new Map<string, string>();
    const contestedNames = new Set<string>();

    function dropOutdatedRule(documents: RulesDocument[], name: string): RulesDocument[] {
        const holders = documents.filter(document => hasTaskRule(document, name));
        const [newest] = [...holders].sort((left, right) => right.revision - left.revision);
        if (newest !== undefined && holders.length === 1) {
            contestedNames.delete(name);
            ownersByName.set(name, newest.team);
        }
        return documents.map(document =>
            document === newest || !holders.includes(document)
                ? document
                : { ...document, rules: document.rules.filter(rule => !isTaskRule(rule, name)) }
        );
    }

    return {
        replace(before, after) {
            for (const { name } of before?.rules.filter(startsTasks) ?? []) {
                if (ownersByName.get(name) === after.team && !contestedNames.has(name)) {
                    ownersByName.delete(name);
                }
            }
            for (const { name } of after.rules.filter(startsTasks)) {
                const other = ownersByName.get(name);
                if (other !== undefined && other !== after.team && hasTaskRule(findDocument(other), name)) {
                    contestedNames.add(name);
                }
                ownersByName.set(name, after.team);
            }
        },
        dropOutdated: documents => [...contestedNames].reduce(dropOutdatedRule, documents),
    };
}

function hasTaskRule(document: RulesDocument | undefined, name: string): boolean {
    return document?.rules.some(rule => isTaskRule(rule, name)) ?? false;
}

function isTaskRule(rule: Rule, name: string): boolean {
    return startsTasks(rule) && rule.name === name;
}
