/**
 * Shares of a team's quota by cell, in one record per team, so that a start needs no write outside its cell.
 *
 * Shares are counted in units, at most `QUOTA_UNITS` over all cells of a team. A cell with too small a share raises it
 * by free units and records the units that it wants beyond them; other cells then lower their own shares.
 */
import * as z from "zod";
import { Name } from "../../core/messages/identity.js";

/** Units that make up a whole quota. */
export const QUOTA_UNITS = 1_000_000;
/** Smallest raise of a share, if as much is free, so that growing demand takes few writes. */
const SMALLEST_RAISE_UNITS = 50_000;
/** A recorded want is corrected only where it is off by more than this factor. */
const WANT_TOLERANCE = 2;

const Units = z.int().min(0).max(QUOTA_UNITS);

/** Shares of one team's quota. */
export const QuotaShares = z.strictObject({
    team: Name,
    /** Units by cell. */
    shares: z.record(z.string(), Units),
    /** Units that each cell needs beyond the team's free units, by cell. */
    wants: z.record(z.string(), Units),
});
export type QuotaShares = z.infer<typeof QuotaShares>;

/** Used and wanted units of a team's quota in a cell. */
export interface QuotaNeed {
    readonly cell: string;
    /** Units of tasks that hold resources in the draft or as committed. */
    readonly used: number;
    /** Used units plus those of waiting tasks. */
    readonly wanted: number;
}

/** Creates equal shares for all cells. */
export function createShares(team: string, cells: readonly string[]): QuotaShares {
    const equal = Math.floor(QUOTA_UNITS / Math.max(1, cells.length));
    return { team, shares: Object.fromEntries(cells.map(cell => [cell, equal])), wants: {} };
}

/** Returns the record that should replace the current one; `undefined` where no change is needed. */
export function reviseShares(current: QuotaShares, need: QuotaNeed): QuotaShares | undefined {
    const { cell } = need;
    const ownShare = current.shares[cell] ?? 0;
    const free = QUOTA_UNITS - sum(current.shares);
    const shortfall = need.wanted - ownShare;
    if (shortfall > 0) {
        const raise = Math.max(0, Math.min(free, Math.max(shortfall, SMALLEST_RAISE_UNITS)));
        return withShare(current, cell, ownShare + raise, Math.max(0, shortfall - raise));
    }
    const wantedElsewhere = sum(current.wants) - (current.wants[cell] ?? 0) - free;
    const minimumShare = Math.max(need.used, Math.min(need.wanted, equalShare(current, cell)));
    const lowered = Math.max(0, Math.min(ownShare - minimumShare, wantedElsewhere));
    return withShare(current, cell, ownShare - lowered, 0);
}

/** Lowers a share that is above the used units and an equal share, where other cells want units. */
export function reviseSurplus(current: QuotaShares, need: QuotaNeed): QuotaShares | undefined {
    const { cell } = need;
    const ownShare = current.shares[cell] ?? 0;
    const wantedElsewhere = sum(current.wants) - (current.wants[cell] ?? 0);
    const surplus = ownShare - Math.max(need.used, equalShare(current, cell));
    const lowered = Math.min(surplus, wantedElsewhere);
    return lowered > 0 ? withShare(current, cell, ownShare - lowered, current.wants[cell] ?? 0) : undefined;
}

/** Tells whether a cell's share is lower in the second record. */
export function isLowered(before: QuotaShares, after: QuotaShares, cell: string): boolean {
    return (after.shares[cell] ?? 0) < (before.shares[cell] ?? 0);
}

function equalShare({ shares }: QuotaShares, cell: string): number {
    const cells = new Set([...Object.keys(shares), cell]);
    return Math.floor(QUOTA_UNITS / cells.size);
}

function withShare(current: QuotaShares, cell: string, share: number, want: number): QuotaShares | undefined {
    const recordedWant = current.wants[cell] ?? 0;
    const isNear = want > 0 && recordedWant > 0 && want <= recordedWant * WANT_TOLERANCE
        && recordedWant <= want * WANT_TOLERANCE;
    const nextWant = isNear ? recordedWant : want;
    if (share === (current.shares[cell] ?? 0) && nextWant === recordedWant) {
        return undefined;
    }
    const others = Object.entries(current.wants).filter(([name]) => name !== cell);
    return {
        ...current,
        shares: { ...current.shares, [cell]: share },
        wants: Object.fromEntries(nextWant === 0 ? others : [...others, [cell, nextWant]]),
    };
}

function sum(units: Readonly<Record<string, number>>): number {
    return Object.values(units).reduce((total, value) => total + value, 0);
}
