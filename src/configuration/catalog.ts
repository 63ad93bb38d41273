/**
 * Catalog of rules in a process, merged from the store and from peers. A document is replaced only by one with a higher
 * revision, so that replayed watch events, stale reads and late answers have no effect.
 */
import type { Failure } from "../core/errors.js";
import type { Configuration, RulesDocument } from "../rules/rule.js";
import { createNameOwners } from "./owners.js";
import { toDocument } from "./record.js";
import type { RevisedRecord } from "./record.js";

/** Summary of a catalog, which processes exchange to find missing records. */
export interface CatalogDigest {
    /** Revision up to which no record is missing; 0 for an empty catalog. */
    readonly complete: number;
    /** Revisions of the known records above `complete`. */
    readonly beyond: readonly number[];
}

/** Result of a merge. */
export interface MergeOutcome {
    readonly changed: boolean;
    readonly failures: readonly Failure[];
}

/** Stores the newest document of each team. */
export interface Catalog {
    /** Merges records; `complete` states that no other record up to that revision exists. */
    merge(records: readonly RevisedRecord[], complete: number): MergeOutcome;
    digest(): CatalogDigest;
    /** Returns the records that are missing from a catalog with the given digest. */
    missingFrom(digest: CatalogDigest): RevisedRecord[];
    /** Returns the revision of a team's document; 0 without one. */
    revisionOf(team: string): number;
    /** Returns whether the catalog includes the record of a revision or a later one that replaced it. */
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
            // An unreadable record stays missing from the digest, so that it is requested again.
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
