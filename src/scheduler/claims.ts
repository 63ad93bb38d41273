/**
 * Decides which cells to claim and which to hand over, from what the store says of schedulers and claims.
 */
import type { PlatformInstance } from "../platform/instances.js";
import { chooseOwner } from "./cells.js";
import type { CellMap } from "./cells.js";
import type { Claim, Holder, LiveScheduler } from "./ledger/head.js";

/** What the store and the instance list say at one moment. */
export interface ClaimContext {
    readonly self: LiveScheduler;
    readonly cells: readonly CellMap[];
    readonly live: readonly LiveScheduler[];
    readonly claims: ReadonlyMap<string, Claim>;
    readonly owned: ReadonlySet<string>;
    readonly instances: readonly PlatformInstance[];
}

/** One thing to do about a cell. */
export type ClaimAction =
    | {
        readonly kind: "claim";
        readonly map: CellMap;
        /** The last holder is certainly gone. */
        readonly predecessorGone: boolean;
        /** The last holder does not renew its store lease, but may be alive. */
        readonly predecessorAbsent: boolean;
    }
    | { readonly kind: "hand-over"; readonly cell: string; };

/** Lists what this scheduler should do; at most one hand-over at a time, so that cells move one by one. */
export function listClaimActions(context: ClaimContext): ClaimAction[] {
    const actions: ClaimAction[] = [];
    for (const map of context.cells) {
        const isPreferredOwner = chooseOwner(map, context.live) === context.self.instance;
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
    if (claim === undefined || claim.released) {
        return { kind: "claim", map, predecessorGone: true, predecessorAbsent: false };
    }
    if (isProvenGone(context, claim.holder)) {
        return { kind: "claim", map, predecessorGone: true, predecessorAbsent: false };
    }
    const isHolderLive = context.live.some(({ instance, incarnation }) =>
        instance === claim.holder.instance && incarnation === claim.holder.incarnation
    );
    return isHolderLive ? undefined : { kind: "claim", map, predecessorGone: false, predecessorAbsent: true };
}

/** A new incarnation at the holder's instance, or an instance list without it, proves that a holder is gone. */
function isProvenGone({ self, live, instances }: ClaimContext, holder: Holder): boolean {
    if (holder.instance === self.instance) {
        return true;
    }
    const restarted = live.some(({ instance, incarnation }) =>
        instance === holder.instance && incarnation !== holder.incarnation
    );
    const listed = instances.some(({ kind, name }) => kind === "entry" && name === holder.instance);
    return restarted || !listed;
}
