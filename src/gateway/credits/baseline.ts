/**
 * What a gateway and the owner of a cell told each other in their last exchange of credits, so that the next one names
 * only what differs.
 */
import type { CreditGrant, CreditHolding } from "../../core/messages/credits.js";

/** The last exchange that was answered. */
export interface Baseline {
    readonly sequence: number;
    /** Where the owner was reached. */
    readonly origin: string;
    readonly holdings: ReadonlyMap<string, CreditHolding>;
    readonly grants: ReadonlyMap<string, number>;
}

/** The part of a request that depends on the last exchange. */
export interface HoldingsChange {
    readonly sameAs?: number;
    readonly holdings: CreditHolding[];
    readonly dropped?: string[];
}

/** Leaves out of a request what the owner knows; without a baseline all holdings are named. */
export function diffHoldings(baseline: Baseline | undefined, holdings: readonly CreditHolding[]): HoldingsChange {
    if (baseline === undefined) {
        return { holdings: [...holdings] };
    }
    const currentWorkers = new Set(holdings.map(({ worker }) => worker));
    const dropped = [...baseline.holdings.keys()].filter(worker => !currentWorkers.has(worker));
    return {
        sameAs: baseline.sequence,
        holdings: holdings.filter(holding => isChanged(baseline.holdings.get(holding.worker), holding)),
        ...(dropped.length === 0 ? {} : { dropped }),
    };
}

/** Puts the grants of all workers together from the last answer and what differs from it. */
export function mergeGrants(
    baseline: Baseline | undefined,
    holdings: readonly CreditHolding[],
    changes: readonly CreditGrant[],
): Map<string, number> {
    const changed = new Map(changes.map(({ worker, granted }) => [worker, granted]));
    return new Map(holdings.flatMap(({ worker }) => {
        const granted = changed.get(worker) ?? baseline?.grants.get(worker);
        return granted === undefined ? [] : [[worker, granted] as const];
    }));
}

function isChanged(previous: CreditHolding | undefined, current: CreditHolding): boolean {
    return previous?.held !== current.held || previous.wanted !== current.wanted;
}
