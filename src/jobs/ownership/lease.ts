/**
 * Keeps a record in the store under a lease for as long as its process lives.
 */
import { formatFailure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import { pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import type { Store } from "../../platform/store.js";

/** A lease that is kept. */
export interface KeepLeaseOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly name: string;
    readonly ttlMilliseconds: number;
    readonly renewMilliseconds: number;
    /** A lease that the record is bound to already. */
    readonly leaseId?: string;
    /** Called with each new lease, to bind the record to it; false where that failed and has to be tried again. */
    onGranted(leaseId: string): Promise<boolean>;
    /** Whether the record is missing from the store although its lease is said to hold. */
    isRecordMissing(now: number): boolean;
    /** The store has confirmed the lease, by a call that was sent at this time. */
    onConfirmed?(sentAt: number): void;
}

/** Renews a lease, or takes a new one where it has lapsed, until the signal is aborted; then ends it. */
export async function keepLease(options: KeepLeaseOptions, signal: AbortSignal): Promise<void> {
    const { clock, log, name, store } = options;
    let leaseId = options.leaseId;
    while (!signal.aborted) {
        const sentAt = clock();
        if (leaseId === undefined) {
            const granted = await store.grantLease(options.ttlMilliseconds / 1_000);
            if (granted.isOk) {
                leaseId = await options.onGranted(granted.value.leaseId) ? granted.value.leaseId : undefined;
            }
            else {
                log.write("lease-not-granted", { name, failure: formatFailure(granted.error) }, "vital");
            }
        }
        else if (options.isRecordMissing(sentAt)) {
            log.write("record-missing", { name, leaseId }, "vital");
            leaseId = undefined;
            continue;
        }
        else {
            const renewed = await store.renewLease(leaseId);
            if (renewed.isOk) {
                options.onConfirmed?.(sentAt);
            }
            else {
                log.write("lease-not-renewed", { name, leaseId, failure: formatFailure(renewed.error) }, "vital");
                if (renewed.error.code === "not-found") {
                    leaseId = undefined;
                    continue;
                }
            }
        }
        await pause(options.renewMilliseconds, signal);
    }
    if (leaseId !== undefined) {
        await store.revokeLease(leaseId);
    }
}
