/**
 * Table of routes: the newest version of each cell's routes, indexed by service.
 */
import type { CellRoutes, KnownCell, Route } from "../../core/messages/routes.js";
import { rankByRendezvous } from "../../core/random.js";

/** Replicas of one service that this gateway uses, split by distance. */
export interface ServiceRoutes {
    /** Replicas in the gateway's own data centre. */
    readonly near: readonly Route[];
    readonly far: readonly Route[];
}

/** Options of the table. */
export interface RouteTableOptions {
    readonly instance: string;
    readonly dataCentre: string;
    /** Most replicas of one service that a gateway uses, near and far counted apart. */
    readonly subset: number;
}

/** Holds routes of all cells. */
export interface RouteTable {
    /** Takes in a cell's routes; older ones than those known are left aside. Tells whether anything changed. */
    update(cell: CellRoutes): boolean;
    /** Notes that a scheduler has answered. */
    recordRead(): void;
    /** A scheduler has answered since the start. */
    isRead(): boolean;
    currentVersions(): KnownCell[];
    /** Routes of a service; `undefined` where no replica is known. */
    find(service: string): ServiceRoutes | undefined;
    /** All routes, leaving ones too. */
    all(): readonly Route[];
}

/** Names an attempt as the `flamingowell-attempt` header does. */
export function nameAttempt(route: Pick<Route, "taskId" | "attempt">): string {
    return `${route.taskId}#${route.attempt}`;
}

/** Creates an empty table. */
export function createRouteTable(options: RouteTableOptions): RouteTable {
    const cells = new Map<string, CellRoutes>();
    let services = new Map<string, ServiceRoutes>();
    let routes: Route[] = [];
    let hasBeenRead = false;
    return {
        update(cell) {
            const current = cells.get(cell.cell);
            if (current !== undefined && !isNewer(cell, current)) {
                return false;
            }
            cells.set(cell.cell, cell);
            routes = [...cells.values()].flatMap(one => one.routes);
            services = indexByService(routes, options);
            return true;
        },
        recordRead() {
            hasBeenRead = true;
        },
        isRead: () => hasBeenRead,
        currentVersions: () => [...cells.values()].map(({ cell, epoch, version }) => ({ cell, epoch, version })),
        find: service => services.get(service),
        all: () => routes,
    };
}

function isNewer(candidate: CellRoutes, current: CellRoutes): boolean {
    if (candidate.epoch !== current.epoch) {
        return candidate.epoch > current.epoch;
    }
    return candidate.version > current.version;
}

function indexByService(routes: readonly Route[], options: RouteTableOptions): Map<string, ServiceRoutes> {
    const grouped = new Map<string, { near: Route[]; far: Route[]; }>();
    for (const route of routes) {
        if (route.state !== "serving") {
            continue;
        }
        const group = grouped.get(route.service) ?? { near: [], far: [] };
        grouped.set(route.service, group);
        (route.dataCentre === options.dataCentre ? group.near : group.far).push(route);
    }
    const services = new Map<string, ServiceRoutes>();
    for (const [service, { near, far }] of grouped) {
        services.set(service, { near: chooseSubset(near, options), far: chooseSubset(far, options) });
    }
    return services;
}

/** Rendezvous hashing spreads the gateways evenly and moves few of them when replicas come and go. */
function chooseSubset(routes: Route[], options: RouteTableOptions): Route[] {
    if (routes.length <= options.subset) {
        return routes;
    }
    return rankByRendezvous(options.instance, routes, nameAttempt).slice(0, options.subset);
}
