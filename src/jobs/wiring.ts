/**
 * Connects the parts of the jobs daemon. Other daemons have their own wiring, so that no process loads modules it does not
 * use.
 */
import { setMaxListeners } from "node:events";
import { Result } from "true-myth/result";
import { fail } from "../core/errors.js";
import type { EventLog } from "../core/event-log.js";
import type { Logger } from "../core/log.js";
import { implement } from "../core/method.js";
import type { MethodHandler } from "../core/method.js";
import type { Clock } from "../core/time.js";
import type { Store } from "../platform/store.js";
import type { Cell } from "./cell/cell.js";
import { serveLinks } from "./link/link.js";
import type { JobsMetrics } from "./metrics.js";
import type { CatalogSource } from "./model/catalog-source.js";
import type { Catalog } from "./model/catalog.js";
import type { ClosureSource } from "./model/closures.js";
import { cancelMethod, helloMethod, pendingMethod, retireMethod, stateMethod, submitMethod } from "./model/requests.js";
import type { WorkerList, WorkerOrders } from "./model/worker.js";
import { createDirectory } from "./ownership/directory.js";
import { createOwnership } from "./ownership/ownership.js";
import { createJobRequestRouter } from "./routing/job-request-router.js";
import type { JobRequestRouter } from "./routing/job-request-router.js";
import { createOwnerLinks } from "./routing/owner-links.js";
import { requestRetirement } from "./routing/retirement-request.js";
import type { JobsSettings } from "./settings.js";

/** One cell holds all workers; more cells are needed when one owner cannot serve all workers, see decision 0600. */
const CELLS = ["main"];

const NO_CATALOG: Catalog = { version: 0, queues: new Map(), admissionCheckedPools: new Set() };

/** Options of the jobs daemon. */
export interface JobsOptions {
    readonly settings: JobsSettings;
    readonly incarnation: string;
    readonly store: Store;
    readonly workerList: WorkerList;
    /** Source of the closed data centres; absent if data centres are never closed. */
    readonly closures: ClosureSource | undefined;
    readonly orders: WorkerOrders;
    readonly catalog: CatalogSource;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly logger: Logger;
    readonly metrics: JobsMetrics;
}

/** The jobs daemon. */
export interface JobsDaemon {
    readonly router: JobRequestRouter;
    /** Whether this instance can serve callers' requests. */
    isReady(): boolean;
    /** Returns the cells that this instance owns. */
    ownedCells(): Cell[];
    /** Releases all owned cells within the time limit. */
    handOver(limitMilliseconds: number): Promise<void>;
    /** Stops all parts and closes the link server. */
    stop(): Promise<void>;
}

/** Starts the daemon's parts. The caller runs the adapters that are passed in. */
export async function startJobs(options: JobsOptions): Promise<JobsDaemon> {
    const { catalog, clock, incarnation, log, settings, store } = options;
    const stopping = new AbortController();
    // All waits listen to this signal, so many listeners do not indicate a leak.
    setMaxListeners(0, stopping.signal);
    const findCell = (name: string): Cell | undefined => ownership.owned(name);
    const server = await serveLinks(settings.links, [
        implement(helloMethod, async () => Result.ok({ instance: settings.instance, incarnation })),
        implement(retireMethod, async request => ownership.retire(request)),
        ...implementOwnerMethods(findCell),
    ], () => Math.max(0, ...CELLS.map(name => findCell(name)?.failingMilliseconds(clock()) ?? 0)));
    const directory = createDirectory(store, clock, log, options.logger);
    const ownership = createOwnership({
        self: {
            instance: settings.instance,
            incarnation,
            dataCentre: settings.dataCentre,
            host: server.address.host,
            port: server.address.port,
            processorShare: settings.processorShare,
        },
        cells: CELLS,
        settings: settings.ownership,
        cellOptions: {
            settings: settings.cell,
            workerList: options.workerList,
            closures: options.closures,
            orders: options.orders,
            clock,
            log,
            metrics: options.metrics,
            catalog: () => catalog.current() ?? NO_CATALOG,
        },
        store,
        directory,
        clock,
        log,
        connections: () => server.connections(),
        isConnectedToOwner: cell => links.find(cell) !== undefined,
        isPrepared: () => catalog.current() !== undefined && options.workerList.isUpToDate(clock()),
        requestRetirement,
    });
    const links = createOwnerLinks({
        directory,
        cells: CELLS,
        incarnation,
        log,
        onOwnerDead: owner => ownership.recordDeath(owner),
        onOwnerFailing: (owner, milliseconds) => ownership.recordCommitFailure(owner, milliseconds, clock()),
        onChange: () => router.retryWaitingRequests(),
    });
    const router = createJobRequestRouter({ cell: CELLS[0] ?? "main", links, clock, findOwnedCell: findCell });
    directory.onChange(() => router.retryWaitingRequests());
    const running = Promise.all([
        directory.run(stopping.signal),
        ownership.run(stopping.signal),
        links.run(stopping.signal),
    ]);
    return {
        router,
        isReady: () => catalog.current() !== undefined && router.isConnected(),
        ownedCells: () => CELLS.flatMap(name => findCell(name) ?? []),
        handOver: limitMilliseconds => ownership.handOver(limitMilliseconds),
        async stop() {
            stopping.abort();
            await running;
            await server.close();
        },
    };
}

/** Implements the methods that the request routers of other instances call. */
function implementOwnerMethods(findCell: (name: string) => Cell | undefined): MethodHandler[] {
    const notOwned = (cell: string) => fail<never>("conflict", "cell", `this instance does not own cell ${cell}`);
    return [
        implement(submitMethod, async request => findCell(request.cell)?.submit(request) ?? notOwned(request.cell)),
        implement(cancelMethod, async request => findCell(request.cell)?.cancel(request) ?? notOwned(request.cell)),
        implement(stateMethod, async request => findCell(request.cell)?.state(request) ?? notOwned(request.cell)),
        implement(pendingMethod, async request => {
            const cell = findCell(request.cell);
            return cell === undefined ? notOwned(request.cell) : Result.ok(cell.pending(request.queue));
        }),
    ];
}
