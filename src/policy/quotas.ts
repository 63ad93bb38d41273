/**
 * Quota slices: what each team may still take in a cell, counted down within one decision.
 */
import type { Resources } from "../rules/rule.js";
import type { QuotaSlice } from "./policy.js";

const CORES_TOLERANCE = 1e-9;

/** Quotas of one decision. */
export interface Quotas {
    /** Names the first resource of the team's slice that runs short, or `undefined` where the task fits. */
    findRefusal(team: string, resources: Resources): string | undefined;
    deduct(team: string, resources: Resources): void;
}

/** Creates the quotas of one decision. Quotas count declared sizes, as the operators who set them do. */
export function createQuotas(slices: readonly QuotaSlice[]): Quotas {
    const remaining = new Map(slices.map(slice => [slice.team, { ...slice }]));
    return {
        findRefusal(team, resources) {
            const slice = remaining.get(team);
            if (slice === undefined) {
                return undefined;
            }
            if (slice.cores + CORES_TOLERANCE < resources.cores) {
                return `quota of team ${team} has no cores left`;
            }
            if (slice.memoryBytes < resources.memoryBytes) {
                return `quota of team ${team} has no memory left`;
            }
            return slice.accelerators < resources.accelerators
                ? `quota of team ${team} has no accelerators left`
                : undefined;
        },
        deduct(team, resources) {
            const slice = remaining.get(team);
            if (slice !== undefined) {
                slice.cores -= resources.cores;
                slice.memoryBytes -= resources.memoryBytes;
                slice.accelerators -= resources.accelerators;
            }
        },
    };
}
