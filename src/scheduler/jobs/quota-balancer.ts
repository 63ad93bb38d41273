/**
 * Caches all quota shares, and moves the shares of owned cells to cells with waiting tasks.
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

/** Quota shares of one cell. */
export interface CellQuotaShares {
    /** Units of a team's quota that the cell may hold; 0 until they have been read after the claim. */
    share(team: string): number;
    /** Revises the cell's share of a team's quota. */
    revise(team: string, owner: OwnerState): Promise<void>;
}

/** Current state of the owner of a cell. */
export interface OwnerState {
    /** All cells, for a quota that has no shares yet. */
    readonly cells: readonly string[];
    measure(): Omit<QuotaNeed, "cell">;
    /** Store comparison that holds while the owner owns the cell. */
    fence(): Comparison;
}

interface Cap {
    readonly units: number;
    /** Reads of the shares started before the cap was set; only one started later is certain to include the change. */
    readonly startedReadsBefore: number;
}

/** Cache of the shares of all teams. */
export interface QuotaBalancer {
    /** Adds a cell that has just been claimed. */
    addCell(cell: string): CellQuotaShares;
    refresh(): Promise<void>;
}

/** Creates an empty cache. */
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
            // Shares read before the claim may be older than the last change by the former owner.
            const isLoaded = () => appliedRead > startedReadsAtClaim;
            /** A lowered share applies before it is written, as the time at which the write takes effect is unknown. */
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
                    // Only the owner knows how much of a share is used, so lowering it is fenced; raising it is safe.
                    if (await replace(next, stored.revision, isLowering ? [owner.fence()] : [])) {
                        caps.delete(team);
                    }
                },
            };
        },
    };
}
