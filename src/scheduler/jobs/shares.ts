/**
 * Shares of a team's quota by cell, agreed in one record per team, so that a start needs no write beyond its cell.
 *
 * Shares are counted in units of which all cells of a team together have at most `QUOTA_UNITS`. A cell that is short
 * raises its share from what is free and notes what it wants besides; a cell that can do with less lowers its own share.
 */
import * as z from "zod";
import { Name } from "../../core/messages/identity.js";

/** Units that make up a whole quota. */
export const QUOTA_UNITS = 1_000_000;
/** A share is raised by at least this, as far as it is free, so that growing demand takes few writes. */
const SMALLEST_RAISE_UNITS = 50_000;
/** A noted want is corrected where it is wrong by this factor. */
const WANT_TOLERANCE = 2;

const Units = z.int().min(0).max(QUOTA_UNITS);

/** Shares of one team's quota. */
export const QuotaShares = z.strictObject({
    team: Name,
    /** Units by cell. */
    shares: z.record(z.string(), Units),
    /** Units that cells want and did not find free. */
    wants: z.record(z.string(), Units),
});
export type QuotaShares = z.infer<typeof QuotaShares>;

/** What a cell holds and needs of a team's quota, in units. */
export interface QuotaNeed {
    readonly cell: string;
    /** Held by tasks, whether their start or end is committed or not. */
    readonly used: number;
    /** Held and waited for. */
    readonly wanted: number;
}

/** Gives every cell an equal share. */
export function createShares(team: string, cells: readonly string[]): QuotaShares {
    const equal = Math.floor(QUOTA_UNITS / Math.max(1, cells.length));
    return { team, shares: Object.fromEntries(cells.map(cell => [cell, equal])), wants: {} };
}

/** Gives the record that should replace the present one; `undefined` where nothing is to change. */
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

/** Where others are short too, a cell keeps what is held there and an equal share for what waits. */
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
