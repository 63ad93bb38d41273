/**
 * Order in which instances claim a cell without an owner.
 */
import { hashText } from "../../core/random.js";
import type { OwnershipSettings } from "../settings.js";
import type { Member } from "./records.js";

/** Orders the members by processor share, largest first, then by a hash of the cell and the instance. */
export function rankCandidates(cell: string, members: readonly Member[]): Member[] {
    return [...members].sort((left, right) =>
        right.processorShare - left.processorShare
        || hashText(`${cell}\n${left.instance}`) - hashText(`${cell}\n${right.instance}`)
        || (left.instance < right.instance ? -1 : 1)
    );
}

/** Time in milliseconds that an instance waits for candidates before it; absent if it is no candidate. */
export function claimDelayOf(
    cell: string,
    members: readonly Member[],
    instance: string,
    settings: OwnershipSettings,
): number | undefined {
    const rank = rankCandidates(cell, members).findIndex(member => member.instance === instance);
    return rank < 0 ? undefined : rank * settings.candidateStepMilliseconds;
}

/**
 * Whether an instance should replace an owner that cannot commit: its own call to the store was answered in less than half of
 * the time for which the owner has been waiting. Where the store is slow for everybody, a new owner would do no better.
 */
export function isBetterConnected(answerMilliseconds: number, ownerFailingMilliseconds: number): boolean {
    return answerMilliseconds < ownerFailingMilliseconds / 2;
}
