/**
 * The scheduler's own lease in the store: one heartbeat, whatever the scheduler owns.
 */
import type { Logger } from "../core/log.js";
import { MILLISECONDS_PER_SECOND, pause } from "../core/time.js";
import type { Store } from "../platform/store.js";
import { keyOfLive } from "./ledger/head.js";
import type { LiveScheduler } from "./ledger/head.js";

const HEARTBEATS_PER_LEASE = 3;

/** What the heartbeat needs. */
export interface PresenceOptions {
    readonly store: Store;
    readonly self: LiveScheduler;
    readonly leaseSeconds: number;
    readonly logger: Logger;
    /** Tells, once for each time, that the store was seen without the record though its lease may be alive. */
    consumeRecordMissing(): boolean;
    /** Hears after each call whether the store answered. */
    onStoreAnswer(reachable: boolean): void;
}

/** Keeps the scheduler's liveness record until the signal is aborted, then removes it. */
export async function maintainPresence(options: PresenceOptions, signal: AbortSignal): Promise<void> {
    const interval = options.leaseSeconds * MILLISECONDS_PER_SECOND / HEARTBEATS_PER_LEASE;
    let leaseId: string | undefined;
    while (!signal.aborted) {
        // A write of an earlier process that came late may have bound the record to another lease, and taken it away.
        const isRecordMissing = options.consumeRecordMissing();
        leaseId = isRecordMissing || leaseId === undefined ? await announce(options) : await renew(options, leaseId);
        await pause(interval, signal);
    }
    if (leaseId !== undefined) {
        await options.store.revokeLease(leaseId);
    }
}

async function announce(options: PresenceOptions): Promise<string | undefined> {
    const { store, self, leaseSeconds, logger } = options;
    const lease = await store.grantLease(leaseSeconds);
    if (lease.isErr) {
        options.onStoreAnswer(false);
        return undefined;
    }
    const { leaseId } = lease.value;
    const put = await store.transact({
        comparisons: [],
        writes: [{ kind: "put", key: keyOfLive(self.instance), value: JSON.stringify(self), leaseId }],
    });
    options.onStoreAnswer(put.isOk);
    if (put.isErr) {
        logger.warn("liveness record not written", { failure: put.error });
        return undefined;
    }
    return leaseId;
}

async function renew(options: PresenceOptions, leaseId: string): Promise<string | undefined> {
    const { store, logger } = options;
    const renewed = await store.renewLease(leaseId);
    if (renewed.isOk) {
        options.onStoreAnswer(true);
        return leaseId;
    }
    if (renewed.error.code === "not-found") {
        logger.warn("store lease lapsed", { leaseId });
        return undefined;
    }
    options.onStoreAnswer(false);
    return leaseId;
}
