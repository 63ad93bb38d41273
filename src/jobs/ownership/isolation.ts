/**
 * Whether an owner should leave its cell to an instance that the others reach better.
 *
 * Of the other instances, only those count that show to be up: by a connection to the owner, or by a report in the store that they cannot
 * reach it. Records of members that are gone stay for the rest of their lease, so that a missing connection alone says nothing.
 */
import type { EventLog } from "../../core/event-log.js";
import type { OwnershipSettings } from "../settings.js";
import type { Directory } from "./directory.js";
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
    readonly directory: Pick<Directory, "members" | "countReachReports">;
    readonly log: EventLog;
    readonly settings: Pick<OwnershipSettings, "isolationMilliseconds">;
    /** Number of connections from other members to this instance. */
    connections(): number;
}

/** Watches over how the other instances reach this one while it owns cells. */
export interface Isolation {
    /** Records a claim, with the record of the last owner if there is one. */
    recordClaim(cell: string, former: OwnerRecord | undefined): void;
    /** Lists the cells that are to be left now. */
    listCellsToLeave<Owned extends { readonly name: string; }>(owned: readonly Owned[], now: number): Owned[];
}

/** Starts with an instance that is not isolated. */
export function createIsolation(options: IsolationOptions): Isolation {
    const { directory, log, self, settings } = options;
    /** Connections of the last owners that have left their cells because of too few, by cell. */
    const formerConnections = new Map<string, number>();
    let isolatedSince: number | undefined;
    return {
        recordClaim(cell, former) {
            if (former?.isReleased === true && former.connections !== undefined) {
                formerConnections.set(cell, former.connections);
            }
        },
        listCellsToLeave(owned, now) {
            const connections = options.connections();
            const others = directory.members().length - 1;
            if (owned.length === 0 || connections >= others / 2) {
                isolatedSince = undefined;
                formerConnections.clear();
                return [];
            }
            isolatedSince ??= now;
            if (now - isolatedSince <= settings.isolationMilliseconds) {
                return [];
            }
            const left = owned.filter(({ name: cell }) => {
                const reports = directory.countReachReports(cell, self.incarnation);
                const reach = { connections, reports, formerConnections: formerConnections.get(cell) };
                const isLeft = isReachedBetterElsewhere(reach);
                if (isLeft) {
                    log.write("owner-isolated", { cell, members: others + 1, ...reach }, "vital");
                }
                return isLeft;
            });
            isolatedSince = left.length > 0 ? undefined : isolatedSince;
            return left;
        },
    };
}
