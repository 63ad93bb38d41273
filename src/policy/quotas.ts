/**
 * Quota slices: the resources that each team may still use in a cell, reduced by the placements of one decision.
 */
import type { Resources } from "../rules/rule.js";
import type { QuotaSlice } from "./policy.js";

const CORES_TOLERANCE = 1e-9;

/** Remaining quotas within one decision. */
export interface Quotas {
    /** Returns the reason why the resources exceed the team's slice, or `undefined` if they fit. */
    findRefusal(team: string, resources: Resources): string | undefined;
    deduct(team: string, resources: Resources): void;
}

/** Creates the quotas of one decision. They count declared sizes, in which operators set quotas. */
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
