/**
 * Stops cells at the request of their new owners, and tells these for how long leases may still run.
 */
import { Result } from "true-myth/result";
import { fail } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import type { Cell } from "../cell/cell.js";
import type { CellOwner } from "../ledger/ledger.js";
import type { Retirement, RetireRequest } from "../model/requests.js";

/** What an instance keeps of cells that it has stopped owning. */
export interface Retirements {
    /** Keeps what a successor may ask for; called when the cell has stopped. */
    record(cell: Cell): void;
    /** Stops the cell, if this process still owns it, and answers the new owner. */
    retire(request: RetireRequest, owned: Cell | undefined, now: number): Result<Retirement, Failure>;
}

/** The last stop of a cell. */
interface Stop {
    readonly epoch: number;
    readonly leaseEnds: ReadonlyMap<string, number>;
}

/** Starts without any stopped cell. */
export function createRetirements({ incarnation, instance }: CellOwner): Retirements {
    const stops = new Map<string, Stop>();
    const describeStop = (cell: Cell): Stop => ({ epoch: cell.epoch, leaseEnds: cell.leaseEnds() });
    return {
        record(cell) {
            stops.set(cell.name, describeStop(cell));
        },
        retire(request, owned, now) {
            if (owned !== undefined && owned.epoch >= request.epoch) {
                return fail("conflict", "retire", `${instance} owns ${owned.name} in epoch ${owned.epoch}`);
            }
            owned?.abandon(`${request.instance} owns it in epoch ${request.epoch}`);
            const stop = owned === undefined ? stops.get(request.cell) : describeStop(owned);
            const running = [...stop?.leaseEnds ?? []].filter(([, end]) => end > now);
            return Result.ok({
                instance,
                incarnation,
                epoch: stop?.epoch ?? 0,
                leases: Object.fromEntries(running.map(([worker, end]) => [worker, Math.ceil(end - now)])),
            });
        },
    };
}
