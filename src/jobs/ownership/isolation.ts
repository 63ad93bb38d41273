/**
 * Whether an owner should leave its cell to an instance that the others reach better.
 *
 * Of the other instances, only those count that show to be up: by a connection to the owner, or by a report in the store that they cannot
 * reach it. Records of members that are gone stay for the rest of their lease, so that a missing connection alone says nothing.
 */
import { formatFailure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import type { Store } from "../../platform/store.js";
import type { OwnershipSettings } from "../settings.js";
import type { Directory } from "./directory.js";
import { countReachReports } from "./reach-reports.js";
import type { Member, OwnerRecord } from "./records.js";

/** How the other instances reach an owner. */
export interface OwnerReach {
    readonly connections: number;
    /** Instances that report in the store that they cannot reach the owner. */
    readonly reports: number;
    /** Connections of the last owner, if it has left the cell because of too few; absent otherwise. */
    readonly formerConnections: number | undefined;
}

/**
 * Whether another instance is likely to be reached better. An owner that is reached no worse than the one before it keeps the cell, so that
 * badly connected instances do not pass it to and fro.
 */
export function isReachedBetterElsewhere({ connections, formerConnections = Infinity, reports }: OwnerReach): boolean {
    return reports > connections && connections < formerConnections;
}

/** Options of the isolation of an instance. */
export interface IsolationOptions {
    readonly self: Member;
    readonly directory: Pick<Directory, "members">;
    readonly store: Store;
    readonly log: EventLog;
    readonly settings: Pick<OwnershipSettings, "isolationMilliseconds">;
    /** Number of connections from other members to this instance. */
    connections(): number;
}

/** Watches over how the other instances reach this one while it owns cells. */
export interface Isolation {
    /** Records a claim, with the record of the last owner if there is one. */
    recordClaim(cell: string, former: OwnerRecord | undefined): void;
    /**
     * Checks the owned cells, if this instance has had connections from less than half of the members for longer than the limit. Calls back
     * for each cell that is to be left, with the number of connections.
     */
    check<Owned extends { readonly name: string; }>(
        owned: readonly Owned[],
        now: number,
        leave: (cell: Owned, connections: number) => void,
    ): void;
}

/** Starts with an instance that is not isolated. */
export function createIsolation(options: IsolationOptions): Isolation {
    const { directory, log, self, settings, store } = options;
    /** Connections of the last owners that have left their cells because of too few, by cell. */
    const formerConnections = new Map<string, number>();
    let isolatedSince: number | undefined;
    let isChecking = false;

    const isDoubtful = (ownedCells: number, now: number): boolean => {
        const others = directory.members().length - 1;
        if (ownedCells === 0 || options.connections() >= others / 2) {
            isolatedSince = undefined;
            formerConnections.clear();
            return false;
        }
        isolatedSince ??= now;
        return now - isolatedSince > settings.isolationMilliseconds;
    };

    const isToLeave = async (cell: string): Promise<boolean> => {
        const reports = await countReachReports(store, cell, self.incarnation);
        if (reports.isErr) {
            log.write("reach-reports-unread", { cell, failure: formatFailure(reports.error) }, "vital");
            return false;
        }
        const connections = options.connections();
        const reach = { connections, reports: reports.value, formerConnections: formerConnections.get(cell) };
        const isLeft = isReachedBetterElsewhere(reach);
        if (isLeft) {
            isolatedSince = undefined;
            log.write("owner-isolated", { cell, members: directory.members().length, ...reach }, "vital");
        }
        return isLeft;
    };

    const checkAll = async <Owned extends { readonly name: string; }>(
        owned: readonly Owned[],
        leave: (cell: Owned, connections: number) => void,
    ): Promise<void> => {
        isChecking = true;
        for (const cell of owned) {
            if (await isToLeave(cell.name)) {
                leave(cell, options.connections());
            }
        }
        isChecking = false;
    };

    return {
        recordClaim(cell, former) {
            if (former?.isReleased === true && former.connections !== undefined) {
                formerConnections.set(cell, former.connections);
            }
        },
        check(owned, now, leave) {
            if (isDoubtful(owned.length, now) && !isChecking) {
                void checkAll(owned, leave);
            }
        },
    };
}
