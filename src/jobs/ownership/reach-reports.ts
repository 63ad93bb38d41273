/**
 * Reports of this instance, in the store, that it cannot reach the owner of a cell.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import { parseJson } from "../../core/parse.js";
import type { Clock } from "../../core/time.js";
import type { Store } from "../../platform/store.js";
import { keepLease } from "./lease.js";
import { keyOfReachReport, prefixOfReachReports, ReachReport } from "./records.js";
import type { Member, OwnerRecord } from "./records.js";

/** Time without a connection to the owner before it is reported; the record of an owner that is gone has lapsed by then. */
const REPORT_AFTER_MILLISECONDS = 1_000;

/** The same for an owner that this instance has not been connected to yet: an owner is busy with its takeover for some seconds. */
const FIRST_REPORT_AFTER_MILLISECONDS = 3_000;

/** Lease of a report, which ends with the connection, and the time between its renewals. */
const LEASE_MILLISECONDS = 3_000;
const RENEW_MILLISECONDS = 1_000;

/** Options of the reports. */
export interface ReachReportsOptions {
    readonly self: Member;
    readonly store: Store;
    readonly clock: Clock;
    readonly log: EventLog;
}

/** Reports on the owners of cells. */
export interface ReachReports {
    /** Begins, keeps or ends the report on a cell, by its owner and whether this instance reaches it. */
    update(cell: string, owner: OwnerRecord | undefined, isReached: boolean, now: number, signal: AbortSignal): void;
}

interface Outage {
    readonly owner: string;
    readonly sinceMilliseconds: number;
    readonly end: AbortController;
    isReported: boolean;
}

/** Counts the instances that report that they cannot reach a process as the owner of a cell. */
export async function countReachReports(store: Store, cell: string, owner: string): Promise<Result<number, Failure>> {
    const found = await store.read({ key: prefixOfReachReports(cell), prefix: true });
    return found.map(({ entries }) =>
        entries.filter(({ key, value }) =>
            parseJson(ReachReport, value, key).map(report => report.owner === owner).unwrapOr(false)
        ).length
    );
}

/** Starts without reports. */
export function createReachReports({ clock, log, self, store }: ReachReportsOptions): ReachReports {
    const outages = new Map<string, Outage>();
    /** Incarnations of the last owners that this instance was connected to, by cell. */
    const reached = new Map<string, string>();

    const keepReport = (cell: string, outage: Outage, signal: AbortSignal): Promise<void> => {
        const { incarnation, instance } = self;
        const report: ReachReport = { cell, instance, incarnation, owner: outage.owner };
        log.write("owner-unreached", { cell, owner: outage.owner }, "vital");
        return keepLease({
            store,
            clock,
            log,
            name: `report on the owner of ${cell}`,
            ttlMilliseconds: LEASE_MILLISECONDS,
            renewMilliseconds: RENEW_MILLISECONDS,
            onGranted: async leaseId => {
                const value = JSON.stringify(report);
                const key = keyOfReachReport(cell, instance);
                const written = await store.transact({
                    comparisons: [],
                    writes: [{ kind: "put", key, value, leaseId }],
                });
                return written.isOk;
            },
            isRecordMissing: () => false,
        }, AbortSignal.any([signal, outage.end.signal]));
    };

    return {
        update(cell, owner, isReached, now, signal) {
            const former = outages.get(cell);
            if (former !== undefined && (isReached || former.owner !== owner?.incarnation)) {
                former.end.abort();
                outages.delete(cell);
            }
            if (owner === undefined) {
                return;
            }
            const { incarnation } = owner;
            if (isReached) {
                reached.set(cell, incarnation);
                return;
            }
            const outage = outages.get(cell)
                ?? { owner: incarnation, sinceMilliseconds: now, end: new AbortController(), isReported: false };
            outages.set(cell, outage);
            const limitMilliseconds = reached.get(cell) === incarnation
                ? REPORT_AFTER_MILLISECONDS
                : FIRST_REPORT_AFTER_MILLISECONDS;
            if (!outage.isReported && now - outage.sinceMilliseconds >= limitMilliseconds) {
                outage.isReported = true;
                void keepReport(cell, outage, signal);
            }
        },
    };
}
