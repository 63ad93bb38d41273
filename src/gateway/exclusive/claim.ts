/**
 * Decisions on claiming a partition.
 */
import type { StoredRecord } from "../../platform/commit.js";
import type { PartitionRecord } from "./partition.js";
import type { ExclusiveSettings } from "./settings.js";

/** A process that may hold partitions. */
export interface Claimant {
    readonly instance: string;
    readonly incarnation: string;
    readonly origin: string;
    /** Time at which the process was listening at its origin. */
    readonly startedAtMilliseconds: number;
}

/** Why a partition may be claimed, or `undefined` where it may not (yet). */
export type ClaimReason = "unheld" | "released" | "horizon-passed" | "proof-of-death" | "own-renewal";

/** Whether a record is a claim by this very process that still holds. */
export function isHeldBy(record: PartitionRecord, claimant: Claimant): boolean {
    return !record.released && record.holder === claimant.instance && record.incarnation === claimant.incarnation;
}

/** Decides whether a partition may be claimed without asking anybody. */
export function findClaimReason(
    record: PartitionRecord | undefined,
    claimant: Claimant,
    settings: ExclusiveSettings,
    now: number,
): ClaimReason | undefined {
    if (record === undefined) {
        return "unheld";
    }
    if (record.released) {
        return "released";
    }
    if (isHeldBy(record, claimant)) {
        return "own-renewal";
    }
    if (now > record.horizonMilliseconds + settings.clockDifferenceMilliseconds) {
        return "horizon-passed";
    }
    return settings.acceptProofOfDeath && replacesHolder(record, claimant) ? "proof-of-death" : undefined;
}

/** Whether the claimant listens where the holder listened, so that the holder's process has ended. */
function replacesHolder(record: PartitionRecord, claimant: Claimant): boolean {
    return record.holder === claimant.instance && record.origin === claimant.origin;
}

/** Makes the record of a claim. The attempts of the holder before it may run until `quietUntilMilliseconds`. */
export function createClaim(
    claimant: Claimant,
    previous: StoredRecord<PartitionRecord> | undefined,
    longestAttemptMilliseconds: number,
    settings: ExclusiveSettings,
    now: number,
): PartitionRecord {
    return {
        holder: claimant.instance,
        incarnation: claimant.incarnation,
        origin: claimant.origin,
        horizonMilliseconds: now + settings.horizonMilliseconds,
        longestAttemptMilliseconds,
        released: false,
        quietUntilMilliseconds: findQuietUntil(claimant, previous?.body, settings, now),
    };
}

function findQuietUntil(
    claimant: Claimant,
    previous: PartitionRecord | undefined,
    settings: ExclusiveSettings,
    now: number,
): number {
    if (previous === undefined || previous.released || isHeldBy(previous, claimant)) {
        return previous?.quietUntilMilliseconds ?? now;
    }
    // A process that was replaced had sent everything before its successor could listen.
    const lastSendMilliseconds = replacesHolder(previous, claimant) ? claimant.startedAtMilliseconds : now;
    const attemptsEnd = lastSendMilliseconds + previous.longestAttemptMilliseconds
        + settings.clockDifferenceMilliseconds;
    return Math.max(previous.quietUntilMilliseconds, attemptsEnd);
}
