/**
 * Successive owners of one cell in simulated time: the head of the ledger, and what a successor hears of former owners.
 */
import { Result } from "true-myth/result";
import type { EventLog } from "../../src/core/event-log.js";
import { pause } from "../../src/core/time.js";
import type { Cell } from "../../src/jobs/cell/cell.js";
import type { FormerOwner, Head, Ledger } from "../../src/jobs/ledger/ledger.js";
import { createFormerOwners } from "../../src/jobs/ownership/former-owners.js";
import type { FormerOwners, FormerOwnersOptions } from "../../src/jobs/ownership/former-owners.js";
import { createRetirements } from "../../src/jobs/ownership/retirements.js";
import type { Retirements } from "../../src/jobs/ownership/retirements.js";

/** Time after which an owner that its successors do not reach counts as silent. */
const REQUEST_LIMIT_REAL_MILLISECONDS = 100;

export const CELL = "main";
export const silentLog: EventLog = { write: () => undefined, flush: async () => undefined };

/** One ownership of the cell. */
export interface Succession {
    readonly epoch: number;
    readonly journal: Pick<Ledger, "epoch" | "predecessor" | "formerOwners" | "settleFormerOwners">;
    readonly formerOwners: FormerOwners;
    /** Lets successors ask the owner while they reach it. */
    begin(cell: Cell, isReached: () => boolean): void;
    /** Keeps what successors may still ask for. */
    end(): void;
    /** Lets successors know that the owner has stopped. */
    announceStop(): void;
}

/** Successive owners of a cell. */
export interface Successions {
    newestEpoch(): number;
    /** Replaces the head. */
    claim(): Succession;
}

interface AskedOwner {
    readonly retirements: Retirements;
    readonly isReached: () => boolean;
    /** Absent once the owner has stopped. */
    cell: Cell | undefined;
}

/** Creates a cell that has had no owner. */
export function createSuccessions(clock: () => number): Successions {
    const askedOwners = new Map<number, AskedOwner>();
    const announcedStops = new Set<number>();
    let head: Head | undefined;

    const replaceHead = (epoch: number): FormerOwner[] => {
        const formerOwners = head === undefined ? [] : [...head.formerOwners, { ...head.owner, epoch: head.epoch }];
        const active = formerOwners.filter(owner => !announcedStops.has(owner.epoch));
        head = {
            epoch,
            owner: nameOwner(epoch),
            isReleased: false,
            sequence: 0,
            snapshotSequence: 0,
            snapshotChunks: 0,
            formerOwners: active,
        };
        return active;
    };

    /** The port of an owner's address is its epoch. */
    const requestRetirement: FormerOwnersOptions["requestRetirement"] = async ({ port }, request) => {
        const asked = askedOwners.get(port);
        if (asked === undefined || !asked.isReached()) {
            await pause(REQUEST_LIMIT_REAL_MILLISECONDS);
            return Result.err({ isRefused: false, message: "no answer within the time limit" });
        }
        return asked.retirements.retire(request, asked.cell, clock())
            .mapErr(({ message }) => ({ isRefused: false, message }));
    };

    return {
        newestEpoch: () => head?.epoch ?? 0,
        claim() {
            const predecessor = head;
            const epoch = (head?.epoch ?? 0) + 1;
            const journal: Succession["journal"] = {
                epoch,
                predecessor,
                formerOwners: replaceHead(epoch),
                settleFormerOwners() {
                    head = head?.epoch === epoch ? { ...head, formerOwners: [] } : head;
                },
            };
            const formerOwners = createFormerOwners({
                cell: CELL,
                journal,
                instance: nameOwner(epoch).instance,
                ends: {
                    recordDeath: () => undefined,
                    isDead: () => false,
                    isProcessGone: () => false,
                    hasStopped: (_, owner) => announcedStops.has(owner.epoch),
                },
                findAddress: owner => ({ host: owner.instance, port: owner.epoch }),
                requestRetirement,
                clock,
                log: silentLog,
            });
            return {
                epoch,
                journal,
                formerOwners,
                begin(cell, isReached) {
                    askedOwners.set(epoch, { retirements: createRetirements(nameOwner(epoch)), isReached, cell });
                },
                end() {
                    const asked = askedOwners.get(epoch);
                    if (asked?.cell !== undefined) {
                        asked.retirements.record(asked.cell);
                        asked.cell = undefined;
                    }
                },
                announceStop: () => void announcedStops.add(epoch),
            };
        },
    };
}

function nameOwner(epoch: number): Head["owner"] {
    return { instance: `entry-${epoch}`, incarnation: `incarnation-${epoch}` };
}
