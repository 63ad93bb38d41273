/**
 * Who claims a cell that has no owner, and when.
 */
import { hashText } from "../../core/random.js";
import type { OwnershipSettings } from "../settings.js";
import type { Member } from "./records.js";

/** Orders the members that may own a cell: the most processor first, then by a hash of the cell and their name. */
export function rankCandidates(cell: string, members: readonly Member[]): Member[] {
    return [...members].sort((left, right) =>
        right.processorShare - left.processorShare
        || hashText(`${cell}\n${left.instance}`) - hashText(`${cell}\n${right.instance}`)
        || (left.instance < right.instance ? -1 : 1)
    );
}

/** How long an instance leaves a vacant cell to those before it; absent where it is no candidate. */
export function claimDelayOf(
    cell: string,
    members: readonly Member[],
    instance: string,
    settings: OwnershipSettings,
): number | undefined {
    const rank = rankCandidates(cell, members).findIndex(member => member.instance === instance);
    return rank < 0 ? undefined : rank * settings.candidateStepMilliseconds;
}
