/**
 * Decides which cells to claim and which to hand over, from the store's records of live schedulers and claims.
 */
import type { PlatformInstance } from "../platform/instances.js";
import { chooseOwner } from "./cells.js";
import type { CellMap } from "./cells.js";
import type { Claim, Holder, LiveScheduler } from "./ledger/head.js";

/** Records of the store and the instance list at one moment. */
export interface ClaimContext {
    readonly self: LiveScheduler;
    readonly cells: readonly CellMap[];
    readonly liveSchedulers: readonly LiveScheduler[];
    readonly claims: ReadonlyMap<string, Claim>;
    readonly owned: ReadonlySet<string>;
    readonly instances: readonly PlatformInstance[];
}

/** A claim or a hand-over of one cell. */
export type ClaimAction =
    | {
        readonly kind: "claim";
        readonly map: CellMap;
        /** Epoch of the claim that this one replaces; 0 where there is none. */
        readonly previousEpoch: number;
        /** The last holder has released the cell, or its process has provably ended. */
        readonly predecessorGone: boolean;
        /** The last holder does not renew its store lease, but its process may still run. */
        readonly predecessorAbsent: boolean;
    }
    | { readonly kind: "hand-over"; readonly cell: string; };

/** Lists the actions that are due; at most one hand-over at a time, so that cells move one by one. */
export function listClaimActions(context: ClaimContext): ClaimAction[] {
    const actions: ClaimAction[] = [];
    for (const map of context.cells) {
        const isPreferredOwner = chooseOwner(map, context.liveSchedulers) === context.self.instance;
        if (isPreferredOwner && !context.owned.has(map.cell)) {
            const action = findClaimAction(context, map);
            if (action !== undefined) {
                actions.push(action);
            }
        }
        if (!isPreferredOwner && context.owned.has(map.cell) && actions.every(({ kind }) => kind !== "hand-over")) {
            actions.push({ kind: "hand-over", cell: map.cell });
        }
    }
    return actions;
}

function findClaimAction(context: ClaimContext, map: CellMap): ClaimAction | undefined {
    const claim = context.claims.get(map.cell);
    const previousEpoch = claim?.epoch ?? 0;
    if (claim === undefined || claim.released || isProvenGone(context, claim.holder)) {
        return { kind: "claim", map, previousEpoch, predecessorGone: true, predecessorAbsent: false };
    }
    const isHolderLive = context.liveSchedulers.some(({ instance, incarnation }) =>
        instance === claim.holder.instance && incarnation === claim.holder.incarnation
    );
    return isHolderLive
        ? undefined
        : { kind: "claim", map, previousEpoch, predecessorGone: false, predecessorAbsent: true };
}

/** A holder has ended if its instance has a newer incarnation or is missing from the instance list. */
function isProvenGone({ self, liveSchedulers, instances }: ClaimContext, holder: Holder): boolean {
    if (holder.instance === self.instance) {
        return true;
    }
    const restarted = liveSchedulers.some(({ instance, incarnation }) =>
        instance === holder.instance && incarnation !== holder.incarnation
    );
    const listed = instances.some(({ kind, name }) => kind === "entry" && name === holder.instance);
    return restarted || !listed;
}
