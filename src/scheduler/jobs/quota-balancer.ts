/**
 * Keeps a copy of all quota shares, and moves the shares of owned cells to where work waits.
 */
import type { Logger } from "../../core/log.js";
import { parseJson } from "../../core/parse.js";
import type { Comparison, Store } from "../../platform/store.js";
import { createShares, isLowered, QuotaShares, reviseShares, reviseSurplus } from "./shares.js";
import type { QuotaNeed } from "./shares.js";

const PREFIX = "scheduler/quotas/";
const READ_LIMIT = 1_000;

interface StoredShares {
    readonly body: QuotaShares;
    readonly revision: number;
}

/** One cell's part in the balance. */
export interface CellQuotaShares {
    /** Units of a team's quota that the cell may hold; 0 until they are known for certain. */
    share(team: string): number;
    /** Revises the cell's share of a team's quota. */
    revise(team: string, owner: OwnerState): Promise<void>;
}

/** What the owner of a cell knows at the moment of the call. */
export interface OwnerState {
    /** All cells, for a quota that has no shares yet. */
    readonly cells: readonly string[];
    measure(): Omit<QuotaNeed, "cell">;
    /** Holds in the store as long as the owner is the owner. */
    fence(): Comparison;
}

interface Cap {
    readonly units: number;
    /** Reads that had begun when the cap was set; a later one shows what became of the lowering. */
    readonly startedReadsBefore: number;
}

/** Shares of all teams. */
export interface QuotaBalancer {
    /** The part of a cell that has just been claimed. */
    addCell(cell: string): CellQuotaShares;
    refresh(): Promise<void>;
}

/** Creates a copy that has read nothing yet. */
export function createQuotaBalancer(store: Store, logger: Logger): QuotaBalancer {
    let records = new Map<string, StoredShares>();
    let startedReads = 0;
    let appliedRead = 0;
    let changes = 0;

    const refresh = async (): Promise<void> => {
        startedReads += 1;
        const number = startedReads;
        const changesBefore = changes;
        const found = await store.read({ key: PREFIX, prefix: true, limit: READ_LIMIT });
        if (found.isErr || changes !== changesBefore) {
            return;
        }
        const next = new Map<string, StoredShares>();
        for (const entry of found.value.entries) {
            const decoded = parseJson(QuotaShares, entry.value, `quota shares ${entry.key}`);
            if (decoded.isErr) {
                logger.error("quota shares not readable", { failure: decoded.error });
                return;
            }
            next.set(decoded.value.team, { body: decoded.value, revision: entry.modRevision });
        }
        records = next;
        appliedRead = number;
    };

    const replace = async (body: QuotaShares, revision: number, fences: readonly Comparison[]): Promise<boolean> => {
        const key = PREFIX + body.team;
        const answer = await store.transact({
            comparisons: [{ key, target: "modRevision", relation: "equal", value: revision }, ...fences],
            writes: [{ kind: "put", key, value: JSON.stringify(body) }],
        });
        changes += 1;
        if (answer.isErr || !answer.value.succeeded) {
            return false;
        }
        records.set(body.team, { body, revision: answer.value.revision });
        return true;
    };

    return {
        refresh,
        addCell(cell) {
            const startedReadsAtClaim = startedReads;
            // What was read before the cell was claimed may be older than what its former owner gave away.
            const isLoaded = () => appliedRead > startedReadsAtClaim;
            /** A lowered share counts from before it is written, as nobody knows when it takes effect. */
            const caps = new Map<string, Cap>();
            const dropSettled = (team: string) => {
                if ((caps.get(team)?.startedReadsBefore ?? appliedRead) < appliedRead) {
                    caps.delete(team);
                }
            };
            return {
                share(team) {
                    const share = isLoaded() ? records.get(team)?.body.shares[cell] ?? 0 : 0;
                    return Math.min(share, caps.get(team)?.units ?? share);
                },
                async revise(team, owner) {
                    if (!isLoaded()) {
                        return;
                    }
                    dropSettled(team);
                    const stored = records.get(team);
                    if (stored === undefined) {
                        await replace(createShares(team, owner.cells), 0, []);
                        return;
                    }
                    const need = { ...owner.measure(), cell };
                    const next = reviseSurplus(stored.body, need) ?? reviseShares(stored.body, need);
                    if (next === undefined) {
                        return;
                    }
                    const isLowering = isLowered(stored.body, next, cell);
                    if (isLowering) {
                        caps.set(team, { units: next.shares[cell] ?? 0, startedReadsBefore: startedReads });
                    }
                    // Only the owner may lower a share, since only it knows what is held; raising it harms nobody.
                    if (await replace(next, stored.revision, isLowering ? [owner.fence()] : [])) {
                        caps.delete(team);
                    }
                },
            };
        },
    };
}
