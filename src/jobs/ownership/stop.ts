/**
 * Announcement that a process has stopped acting as the owner of a cell.
 *
 * A successor that finds it need not wait until the orders that the process might still send have lapsed.
 */
import { formatFailure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import { pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import type { Store } from "../../platform/store.js";
import { keyOfStop } from "./records.js";
import type { StopRecord } from "./records.js";

/** Wait before a failed announcement is repeated. */
const RETRY_MILLISECONDS = 300;

/** Options of an announcement. */
export interface AnnouncementOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly log: EventLog;
    /** How long the record is kept, and the longest time for which writing it is attempted. */
    readonly keptMilliseconds: number;
    readonly signal: AbortSignal;
}

/** Writes the record, and repeats that until it succeeds: the cell may have been lost because the store is in trouble. */
export async function announceStop(stop: StopRecord, options: AnnouncementOptions): Promise<void> {
    const { clock, keptMilliseconds, log, signal, store } = options;
    const startedAt = clock();
    while (!signal.aborted && clock() - startedAt < keptMilliseconds) {
        const lease = await store.grantLease(keptMilliseconds / 1_000);
        const written = lease.isErr ? lease : await store.transact({
            comparisons: [],
            writes: [{
                kind: "put",
                key: keyOfStop(stop.cell, stop.instance),
                value: JSON.stringify(stop),
                leaseId: lease.value.leaseId,
            }],
        });
        if (written.isOk) {
            return;
        }
        const { cell, epoch } = stop;
        log.write("stop-not-announced", { cell, epoch, failure: formatFailure(written.error) }, "vital");
        await pause(RETRY_MILLISECONDS, signal);
    }
}
