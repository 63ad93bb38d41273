/**
 * Keeps the record that names this instance as a member.
 */
import { formatFailure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import type { Clock } from "../../core/time.js";
import type { Store } from "../../platform/store.js";
import type { Directory } from "./directory.js";
import { keepLease } from "./lease.js";
import { keyOfMember } from "./records.js";
import type { Member } from "./records.js";

/** Renewals of the record within one lease. */
const RENEWALS_PER_LEASE = 4;

/** Options of a membership. */
export interface MembershipOptions {
    readonly self: Member;
    readonly leaseMilliseconds: number;
    readonly store: Store;
    readonly directory: Directory;
    readonly clock: Clock;
    readonly log: EventLog;
}

/** Announces the instance and renews its record until the signal is aborted. */
export function keepMembership(options: MembershipOptions, signal: AbortSignal): Promise<void> {
    const { clock, directory, leaseMilliseconds, log, self, store } = options;
    const renewMilliseconds = leaseMilliseconds / RENEWALS_PER_LEASE;
    let announcedAt = clock();
    return keepLease({
        store,
        clock,
        log,
        name: "member",
        ttlMilliseconds: leaseMilliseconds,
        renewMilliseconds,
        onGranted: async leaseId => {
            const written = await store.transact({
                comparisons: [],
                writes: [{
                    kind: "put",
                    key: keyOfMember(self.instance),
                    value: JSON.stringify(self),
                    leaseId,
                }],
            });
            announcedAt = clock();
            if (written.isErr) {
                log.write("member-not-announced", { failure: formatFailure(written.error) }, "vital");
            }
            return written.isOk;
        },
        isRecordMissing: now =>
            now - announcedAt > renewMilliseconds
            && !directory.members().some(({ incarnation }) => incarnation === self.incarnation),
    }, signal);
}
