/**
 * Connections to all workers that routes lead to.
 */
import type { Route } from "../../core/messages/routes.js";
import { createWorkerConnections } from "./connections.js";
import type { ConnectionOptions, WorkerConnections } from "./connections.js";

/** Connections by worker. */
export interface UpstreamPool {
    /** Connections of the worker of a route; `undefined` before the pool has followed the routes. */
    find(worker: string): WorkerConnections | undefined;
    /** Follows a change of routes: workers that no route leads to any more lose their connections once idle. */
    updateRoutes(routes: readonly Route[], now: number): void;
    workers(): Iterable<WorkerConnections>;
    sweep(now: number): void;
    close(): Promise<void>;
}

/** Creates an empty pool. */
export function createUpstreamPool(options: ConnectionOptions): UpstreamPool {
    const workers = new Map<string, WorkerConnections>();
    return {
        find: worker => workers.get(worker),
        updateRoutes(routes, now) {
            const origins = new Map(routes.map(route => [route.worker, route.origin]));
            for (const [name, connections] of workers) {
                if (origins.get(name) !== connections.origin && connections.busy() === 0) {
                    workers.delete(name);
                    void connections.close();
                }
            }
            for (const [name, origin] of origins) {
                if (!workers.has(name)) {
                    workers.set(name, createWorkerConnections(name, origin, options));
                }
            }
            this.sweep(now);
        },
        workers: () => workers.values(),
        sweep(now) {
            for (const connections of workers.values()) {
                connections.sweep(now);
            }
        },
        async close() {
            await Promise.all([...workers.values()].map(connections => connections.close()));
        },
    };
}
