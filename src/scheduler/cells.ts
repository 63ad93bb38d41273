/**
 * Cells: groups of racks of one data centre, and the choice of their owners.
 */
import { rankByRendezvous } from "../core/random.js";
import type { PlatformInstance, WorkerInstance } from "../platform/instances.js";

/** A cell and its workers, from the instance list. */
export interface CellMap {
    readonly cell: string;
    readonly dataCentre: string;
    readonly workers: readonly WorkerInstance[];
}

/** Names the cell that a worker belongs to: `DATA-CENTRE-NUMBER`. */
export function nameCell(worker: WorkerInstance, racksPerCell: number): string {
    return `${worker.dataCentre}-${Math.floor(worker.rack / racksPerCell)}`;
}

/** Groups the workers of the instance list by cell, in the order of the cells' names. */
export function groupCells(instances: readonly PlatformInstance[], racksPerCell: number): CellMap[] {
    const groups = new Map<string, WorkerInstance[]>();
    for (const instance of instances) {
        if (instance.kind === "worker") {
            const cell = nameCell(instance, racksPerCell);
            const group = groups.get(cell) ?? [];
            group.push(instance);
            groups.set(cell, group);
        }
    }
    return [...groups.entries()]
        .sort(([left], [right]) => left < right ? -1 : 1)
        .flatMap(([cell, workers]) => {
            const [first] = workers;
            return first === undefined ? [] : [{ cell, dataCentre: first.dataCentre, workers }];
        });
}

/** A scheduler that may own cells. */
export interface Candidate {
    readonly instance: string;
    readonly dataCentre: string;
}

/** Chooses a cell's owner by rendezvous hashing among its data centre's schedulers, or among all if it has none. */
export function chooseOwner(
    cell: Pick<CellMap, "cell" | "dataCentre">,
    live: readonly Candidate[],
): string | undefined {
    const near = live.filter(candidate => candidate.dataCentre === cell.dataCentre);
    const [winner] = rankByRendezvous(cell.cell, near.length > 0 ? near : live, candidate => candidate.instance);
    return winner?.instance;
}
