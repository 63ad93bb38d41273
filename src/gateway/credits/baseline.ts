/**
 * Last credit exchange between a gateway and the owner of a cell; the next exchange contains only the differences.
 */
import type { CreditGrant, CreditHolding } from "../../core/messages/credits.js";

/** The last answered exchange. */
export interface Baseline {
    readonly sequence: number;
    /** Origin of the owner that answered. */
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

/** Returns the holdings that differ from the baseline; without a baseline, all holdings. */
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

/** Applies the changed grants of an answer to those of the baseline. */
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
