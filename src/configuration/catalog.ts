/**
 * The rules that a process knows, merged from the store and from peers. A document is only ever replaced by one of a
 * higher revision, so that replayed watches, stale reads and late answers change nothing.
 */
import type { Failure } from "../core/errors.js";
import type { Configuration, RulesDocument } from "../rules/rule.js";
import { createNameOwners } from "./owners.js";
import { toDocument } from "./record.js";
import type { RevisedRecord } from "./record.js";

/** What one process knows, in the form by which two processes compare. */
export interface CatalogDigest {
    /** Every record up to this revision is known; 0 where nothing is. */
    readonly complete: number;
    /** Revisions of the known records above `complete`. */
    readonly beyond: readonly number[];
}

/** What a merge did. */
export interface MergeOutcome {
    readonly changed: boolean;
    readonly failures: readonly Failure[];
}

/** Holds the known rules. */
export interface Catalog {
    /** Takes in records; `complete` tells that no other record up to that revision exists. */
    merge(records: readonly RevisedRecord[], complete: number): MergeOutcome;
    digest(): CatalogDigest;
    /** Records that a holder of the digest lacks. */
    missingFrom(digest: CatalogDigest): RevisedRecord[];
    /** Revision of a team's document in force; 0 without one. */
    revisionOf(team: string): number;
    /** Tells whether the record of a revision is known, or one that has replaced it. */
    covers(revision: number): boolean;
    configuration(): Configuration;
}

/** Creates an empty catalog. */
export function createCatalog(): Catalog {
    const records = new Map<string, RevisedRecord>();
    const documents = new Map<string, RulesDocument>();
    const owners = createNameOwners(team => documents.get(team));
    let complete = 0;
    let configuration: Configuration = { revision: 0, documents: [] };

    function mergeRecord(revised: RevisedRecord): Failure | "taken" | "known" {
        const currentRevision = records.get(revised.record.team)?.revision ?? 0;
        if (revised.revision <= currentRevision) {
            return "known";
        }
        const document = toDocument(revised);
        if (document.isErr) {
            return document.error;
        }
        owners.replace(documents.get(revised.record.team), document.value);
        records.set(revised.record.team, revised);
        documents.set(revised.record.team, document.value);
        return "taken";
    }

    return {
        merge(incoming, completeUpTo) {
            const outcomes = incoming.map(mergeRecord);
            const failures = outcomes.filter(outcome => typeof outcome !== "string");
            const changed = outcomes.includes("taken");
            if (changed) {
                const highest = Math.max(...[...documents.values()].map(document => document.revision));
                configuration = { revision: highest, documents: owners.dropOutdated([...documents.values()]) };
            }
            // A record that cannot be read stays missing, so that it is asked for again.
            if (failures.length === 0) {
                complete = Math.max(complete, completeUpTo);
            }
            return { changed, failures };
        },
        digest: () => ({
            complete,
            beyond: [...records.values()].map(({ revision }) => revision).filter(revision => revision > complete),
        }),
        missingFrom: digest =>
            [...records.values()].filter(({ revision }) =>
                revision > digest.complete && !digest.beyond.includes(revision)
            ),
        revisionOf: team => records.get(team)?.revision ?? 0,
        covers: revision => revision <= complete || [...records.values()].some(record => record.revision === revision),
        configuration: () => configuration,
    };
}
