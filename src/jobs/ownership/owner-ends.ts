/**
 * What an instance knows about the ends of owners: processes that have ended, and announcements that they have stopped.
 */
import type { EventLog } from "../../core/event-log.js";
import type { CellOwner, FormerOwner } from "../ledger/ledger.js";
import type { Directory } from "./directory.js";

/** Options of the owners' ends. */
export interface OwnerEndsOptions {
    /** The instance itself. */
    readonly instance: string;
    readonly directory: Directory;
    readonly log: EventLog;
}

/** The known ends of owners. */
export interface OwnerEnds {
    /** Records that the process of an owner has certainly ended, even if its record still exists. */
    recordDeath(cell: string, owner: FormerOwner): void;
    isDead(incarnation: string): boolean;
    /** Whether an owner's process has ended; a restarted instance has ended its former process. */
    isProcessGone(owner: CellOwner): boolean;
    /** Whether a former owner sends no more orders: it has announced its stop, or its process has ended. */
    hasStopped(cell: string, owner: FormerOwner): boolean;
}

/** Starts without any known end. */
export function createOwnerEnds({ directory, instance, log }: OwnerEndsOptions): OwnerEnds {
    const deadIncarnations = new Set<string>();
    const isProcessGone = (owner: CellOwner): boolean =>
        deadIncarnations.has(owner.incarnation) || owner.instance === instance
        || directory.members().some(member =>
            member.instance === owner.instance && member.incarnation !== owner.incarnation
        );
    return {
        recordDeath(cell, owner) {
            if (!deadIncarnations.has(owner.incarnation)) {
                deadIncarnations.add(owner.incarnation);
                log.write("owner-dead", { cell, owner: owner.instance, epoch: owner.epoch }, "vital");
            }
        },
        isDead: incarnation => deadIncarnations.has(incarnation),
        isProcessGone,
        hasStopped(cell, owner) {
            const stop = directory.stop(cell, owner.instance);
            const isAnnounced = stop !== undefined && stop.incarnation === owner.incarnation
                && stop.epoch >= owner.epoch;
            return isAnnounced || isProcessGone(owner);
        },
    };
}
