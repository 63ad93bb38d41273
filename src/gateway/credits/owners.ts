/**
 * Which scheduler owns which cell, as far as the schedulers' answers tell.
 */

/** Owner of one cell. */
export interface CellOwner {
    readonly cell: string;
    readonly origin: string;
    /** Epoch of the newest routes that the owner has sent; -1 before the first. */
    readonly epoch: number;
}

/** Owners of all cells. */
export interface CellOwners {
    /** Takes in that a scheduler sent routes of a cell under an epoch. */
    observeRoutes(cell: string, epoch: number, origin: string): void;
    /** Takes in that a scheduler says that it owns cells; one with newer routes is believed before it. */
    observeOwned(origin: string, cells: readonly string[]): void;
    find(cell: string): CellOwner | undefined;
    cells(): readonly string[];
}

/** Creates an empty register. */
export function createCellOwners(): CellOwners {
    const owners = new Map<string, CellOwner>();
    return {
        observeRoutes(cell, epoch, origin) {
            if (epoch >= (owners.get(cell)?.epoch ?? -1)) {
                owners.set(cell, { cell, origin, epoch });
            }
        },
        observeOwned(origin, cells) {
            for (const cell of cells) {
                if (!owners.has(cell)) {
                    owners.set(cell, { cell, origin, epoch: -1 });
                }
            }
        },
        find: cell => owners.get(cell),
        cells: () => [...owners.keys()],
    };
}
