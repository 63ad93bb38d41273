/**
 * Owners of cells, from the schedulers' answers.
 */

/** Owner of one cell. */
export interface CellOwner {
    readonly cell: string;
    readonly origin: string;
    /** Epoch of the latest routes that the owner has sent; -1 before the first. */
    readonly epoch: number;
}

/** Owners of all cells. */
export interface CellOwners {
    /** Records that a scheduler sent routes of a cell under an epoch. */
    observeRoutes(cell: string, epoch: number, origin: string): void;
    /** Records that a scheduler reports ownership of cells; doesn't replace a recorded owner. */
    observeOwned(origin: string, cells: readonly string[]): void;
    find(cell: string): CellOwner | undefined;
    cells(): readonly string[];
}

/** Creates an empty table of owners. */
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
