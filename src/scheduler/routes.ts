/**
 * Routes of an owned cell, with a version so that a reader gets them only after a change.
 */
import type { CellRoutes, Route } from "../core/messages/routes.js";
import type { WorkerLink } from "./cell/link.js";
import type { Ledger } from "./ledger/ledger.js";

/** Derives the routes of a cell from its committed tasks. */
export function deriveRoutes(
    cell: string,
    ledger: Ledger,
    links: ReadonlyMap<string, WorkerLink>,
    isServing: (link: WorkerLink) => boolean,
): Route[] {
    const routes: Route[] = [];
    for (const link of links.values()) {
        for (const task of ledger.committedOn(link.instance.name)) {
            const spec = ledger.specOf(task);
            if (spec.kind === "service" && task.state !== "starting") {
                routes.push({
                    service: spec.rule,
                    taskId: task.taskId,
                    attempt: task.attempt,
                    worker: link.instance.name,
                    dataCentre: link.instance.dataCentre,
                    cell,
                    origin: link.instance.serveOrigin,
                    state: task.state === "running" && isServing(link) ? "serving" : "leaving",
                });
            }
        }
    }
    return routes;
}

/** Current routes of a cell and their version. */
export interface RouteTable {
    current(): CellRoutes;
    /** Replaces the routes; true where they differ from the previous ones. */
    update(routes: readonly Route[]): boolean;
}

/** Creates the table of one cell under one epoch. */
export function createRouteTable(cell: string, epoch: number): RouteTable {
    let table: CellRoutes = { cell, epoch, version: 0, routes: [] };
    let text = "";
    return {
        current: () => table,
        update(routes) {
            const sorted = [...routes].sort((left, right) => left.taskId < right.taskId ? -1 : 1);
            const next = JSON.stringify(sorted);
            if (next === text) {
                return false;
            }
            text = next;
            table = { cell, epoch, version: table.version + 1, routes: sorted };
            return true;
        },
    };
}
