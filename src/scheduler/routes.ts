/**
 * Routes of an owned cell, versioned so that readers get only what has changed.
 */
import type { CellRoutes, Route } from "../core/messages/routes.js";
import type { WorkerLink } from "./cell/link.js";
import type { Ledger } from "./ledger/ledger.js";

/** Derives the routes of a cell from what has been committed. */
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

/** Keeps the newest routes of a cell and counts their versions. */
export interface RouteTable {
    current(): CellRoutes;
    /** Takes in derived routes; true where they differ from the ones before. */
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
