/**
 * Reports of this instance, in the store, that it cannot reach the owner of a cell.
 */
import type { EventLog } from "../../core/event-log.js";
import type { Clock } from "../../core/time.js";
import type { Store } from "../../platform/store.js";
import { keepLease } from "./lease.js";
import { keyOfReachReport } from "./records.js";
import type { Member, OwnerRecord, ReachReport } from "./records.js";

/** Time without a connection to the owner before it is reported; the record of an owner that is gone has lapsed by then. */
const REPORT_AFTER_MILLISECONDS = 1_000;

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
    /** Begins, keeps or ends the report on a cell; `unreached` is its owner, if there is one without a connection. */
    update(cell: string, unreached: OwnerRecord | undefined, now: number, signal: AbortSignal): void;
}

interface Outage {
    readonly owner: string;
    readonly sinceMilliseconds: number;
    readonly end: AbortController;
    isReported: boolean;
}

/** Starts without reports. */
export function createReachReports({ clock, log, self, store }: ReachReportsOptions): ReachReports {
    const outages = new Map<string, Outage>();

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
        update(cell, unreached, now, signal) {
            const former = outages.get(cell);
            if (former !== undefined && former.owner !== unreached?.incarnation) {
                former.end.abort();
                outages.delete(cell);
            }
            if (unreached === undefined) {
                return;
            }
            const outage = outages.get(cell)
                ?? {
                    owner: unreached.incarnation,
                    sinceMilliseconds: now,
                    end: new AbortController(),
                    isReported: false,
                };
            outages.set(cell, outage);
            if (!outage.isReported && now - outage.sinceMilliseconds >= REPORT_AFTER_MILLISECONDS) {
                outage.isReported = true;
                void keepReport(cell, outage, signal);
            }
        },
    };
}
