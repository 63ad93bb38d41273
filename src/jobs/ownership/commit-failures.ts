/**
 * Owners that report on their links to other instances that they cannot commit.
 */
import type { OwnerRecord } from "./records.js";

/** How long an owner's report of failing commits is valid; the owner repeats it with each ping. */
const VALIDITY_MILLISECONDS = 800;

/** Reports of owners that cannot commit. */
export interface CommitFailures {
    record(owner: OwnerRecord, failingMilliseconds: number, now: number): void;
    /** For how long an owner has been unable to commit; 0 without a recent report. */
    failingMilliseconds(owner: OwnerRecord, now: number): number;
}

/** Creates an empty collection of reports. */
export function createCommitFailures(): CommitFailures {
    const reports = new Map<string, { readonly atMilliseconds: number; readonly failingMilliseconds: number; }>();
    return {
        record: ({ incarnation }, failingMilliseconds, now) =>
            void reports.set(incarnation, { atMilliseconds: now, failingMilliseconds }),
        failingMilliseconds({ incarnation }, now) {
            const report = reports.get(incarnation);
            return report !== undefined && now - report.atMilliseconds < VALIDITY_MILLISECONDS
                ? report.failingMilliseconds
                : 0;
        },
    };
}
