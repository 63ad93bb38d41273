/**
 * Index of the team that owns each task rule name.
 *
 * A name moves to another team by two applies, one per team, which may arrive in either order. The later apply was
 * accepted only because the previous owner had removed the name, so an older document that still has it is outdated.
 */
import { startsTasks } from "../rules/rule.js";
import type { Rule, RulesDocument } from "../rules/rule.js";

/** Tracks name owners over the documents of all teams; the cost of a change depends on the changed document only. */
export interface NameOwners {
    /** Updates the index when a document replaces the team's earlier one. */
    replace(before: RulesDocument | undefined, after: RulesDocument): void;
    /** Removes the rules whose names also occur in another team's document of a higher revision. */
    dropOutdated(documents: RulesDocument[]): RulesDocument[];
}

/** Creates an empty index. `findDocument` returns a team's document as it is before the current replacement. */
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
