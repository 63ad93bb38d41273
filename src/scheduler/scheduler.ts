/**
 * The scheduler: claims cells, owns them, and hands them over.
 */
import Emittery from "emittery";
import { setMaxListeners } from "node:events";
import type { Logger } from "../core/log.js";
import type { Metrics } from "../core/metrics.js";
import type { Part } from "../core/part.js";
import type { Random } from "../core/random.js";
import type { RpcClient } from "../core/rpc.js";
import { pause } from "../core/time.js";
import type { Clock } from "../core/time.js";
import type { MembershipSource } from "../membership/member.js";
import type { InstanceList } from "../platform/instances.js";
import type { Store } from "../platform/store.js";
import type { WorkerControl } from "../platform/worker.js";
import type { Policy } from "../policy/policy.js";
import type { ConfigurationSource } from "../rules/rule.js";
import { createCell } from "./cell/cell.js";
import type { Cell } from "./cell/cell.js";
import { groupCells } from "./cells.js";
import type { CellMap } from "./cells.js";
import { createHandlers } from "./handlers.js";
import type { SchedulerEvents } from "./handlers.js";
import type { CreditHooks } from "./hooks.js";
import { createAssignments } from "./jobs/assignments.js";
import { createOverflow } from "./jobs/overflow.js";
import { createQuotaBalancer } from "./jobs/quota-balancer.js";
import type { CellQuotaShares } from "./jobs/quota-balancer.js";
import { listQuotas, measureNeed, sliceQuotas } from "./jobs/quota.js";
import { createTransfers } from "./jobs/transfer.js";
import type { Transfer } from "./jobs/transfer.js";
import type { LiveScheduler } from "./ledger/head.js";
import { ENDED_STATES } from "./ledger/task.js";
import { createSchedulerMetrics } from "./metrics.js";
import { createOwnership } from "./ownership.js";
import { maintainPresence } from "./presence.js";
import type { CellSettings } from "./settings.js";

/** Reads of the transfers within `overflowAfterMilliseconds`. */
const TRANSFER_READS_PER_OVERFLOW = 10;

/** Identity of a scheduler's process. */
export interface SchedulerIdentity {
    readonly instance: string;
    readonly dataCentre: string;
    /** Differs with each start of the process. */
    readonly incarnation: string;
    readonly origin: string;
}

/** Options of a scheduler. */
export interface SchedulerOptions {
    readonly identity: SchedulerIdentity;
    readonly settings: CellSettings;
    readonly store: Store;
    readonly instanceList: InstanceList;
    readonly workers: WorkerControl;
    readonly configuration: ConfigurationSource;
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    /** One policy serves all cells that the scheduler owns. */
    createPolicy(): Policy;
    readonly credits: CreditHooks;
    readonly clock: Clock;
    readonly random: Random;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** Summary of a cell that this scheduler owns. */
export interface OwnedCell {
    readonly cell: string;
    readonly epoch: number;
    readonly tasks: number;
    readonly workers: number;
}

/** The scheduler as a part of its process. */
export interface Scheduler extends Part {
    /** True once there are a configuration and an instance list and the claims have been read. */
    ready(): boolean;
    /** Releases all cells with a last commit, within the limit, and claims no more. */
    handOver(limitMilliseconds: number): Promise<void>;
    ownedCells(): OwnedCell[];
    /**
     * True where no other scheduler can own the cell. False once the horizon has passed, and after a standstill of the
     * process until the store has confirmed the claim again.
     */
    ownsCell(cell: string, now: number): boolean;
    /** True where the store answered the last call. */
    storeReachable(): boolean;
}

/** Creates the scheduler. */
export function createScheduler(options: SchedulerOptions): Scheduler {
    const { identity, store, settings, clock, logger } = options;
    const metrics = createSchedulerMetrics(options.metrics);
    const policy = options.createPolicy();
    const events = new Emittery<SchedulerEvents>();
    const self: LiveScheduler = {
        instance: identity.instance,
        incarnation: identity.incarnation,
        origin: identity.origin,
        dataCentre: identity.dataCentre,
    };
    const announceRoutes = () => void events.emit("routes", undefined);
    let maps: readonly CellMap[] = [];
    let transfersReadAt = 0;
    const presenceEnd = new AbortController();
    let isStoreReachable = false;
    let isRecordMissing = false;
    const transfers = createTransfers(store, logger);
    const quotaBalancer = createQuotaBalancer(store, logger);
    const shares = new Map<string, CellQuotaShares>();
    const ownership = createOwnership({
        self,
        store,
        settings,
        clock,
        metrics,
        logger,
        onChange: announceRoutes,
        onRecordMissing: () => {
            isRecordMissing = true;
        },
        createCell: (map, journal, ledger) => {
            shares.set(map.cell, quotaBalancer.addCell(map.cell));
            return createCell({
                ...options,
                map,
                journal,
                ledger,
                owner: self.instance,
                policy,
                metrics,
                assignments,
                configuration: () => options.configuration.current(),
                quotas: (current, configuration) =>
                    sliceQuotas(configuration, current, team => shares.get(map.cell)?.share(team) ?? 0),
                onRoutesChanged: announceRoutes,
                confirmedAtMilliseconds: () => ownership.confirmedAtMilliseconds(map.cell),
                overflow: createOverflow({
                    cell: map.cell,
                    ledger,
                    transfers,
                    afterMilliseconds: settings.overflowAfterMilliseconds,
                    cells: () => maps,
                    findAssignment: rule => assignments.find(rule),
                }),
            });
        },
    });
    const assignments = createAssignments({
        store,
        clock,
        logger,
        configuration: () => options.configuration.current(),
        cells: () => maps,
        owns: cell => ownership.owned.has(cell),
    });

    const pollInstances = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            const listed = await options.instanceList.list();
            if (listed.isOk) {
                maps = groupCells(listed.value, settings.racksPerCell);
                ownership.update(listed.value, maps);
            }
            await pause(settings.instanceIntervalMilliseconds, signal);
        }
    };

    const refreshTransfers = async () => {
        const isStale = clock() - transfersReadAt >= settings.overflowAfterMilliseconds / TRANSFER_READS_PER_OVERFLOW;
        if (isStale || [...ownership.owned.values()].some(({ overflow }) => !overflow.isLoaded())) {
            transfersReadAt = clock();
            await transfers.refresh();
        }
    };

    /** Claims offered transfers for owned cells, and takes back their own expired offers. */
    const claimTransfers = async () => {
        const configuration = options.configuration.current();
        if (configuration === undefined || transfers.list().length === 0) {
            return;
        }
        for (const cell of ownership.owned.values()) {
            const now = clock();
            const dataCentre = maps.find(map => map.cell === cell.name)?.dataCentre ?? identity.dataCentre;
            const actions = cell.overflow.listActions({ dataCentre, view: cell.view(now), configuration }, now);
            await Promise.all(actions.map(async ({ before, after }) => {
                const isDone = await transfers.replace(before, after);
                metrics.transfers.inc({ outcome: nameOutcome(isDone, after) });
            }));
        }
    };

    /** Moves quota shares to cells with waiting tasks; reads nothing where no team has a quota. */
    const balanceQuotas = async () => {
        const configuration = options.configuration.current();
        if (configuration === undefined || listQuotas(configuration).length === 0) {
            return;
        }
        await quotaBalancer.refresh();
        for (const cell of ownership.owned.values()) {
            for (const quota of listQuotas(configuration)) {
                await shares.get(cell.name)?.revise(quota.name, {
                    cells: maps.map(map => map.cell),
                    measure: () => measureNeed(quota, cell.ledger),
                    fence: cell.fence,
                });
            }
        }
    };

    const claimCells = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            isStoreReachable = await ownership.check(signal);
            if (isStoreReachable) {
                await refreshTransfers();
                await claimTransfers();
                await balanceQuotas();
            }
            await assignments.revise(signal);
            await pause(settings.claimIntervalMilliseconds, signal);
        }
    };

    return {
        handlers: createHandlers({ events, clock, cells: () => [...ownership.owned.values()] }),
        ready: () =>
            ownership.records() !== undefined && maps.length > 0 && options.configuration.current() !== undefined,
        ownedCells: () =>
            [...ownership.owned.values()].map(cell => ({
                cell: cell.name,
                epoch: cell.epoch(),
                tasks: countTasks(cell),
                workers: cell.links.size,
            })),
        ownsCell: (cell, now) => ownership.isConfirmed(cell, now),
        storeReachable: () => isStoreReachable,
        async handOver(limitMilliseconds) {
            // The liveness record goes first, so that no scheduler chooses this one as the owner of a released cell.
            presenceEnd.abort();
            ownership.releaseAll();
            await Promise.race([ownership.settled(), pause(limitMilliseconds)]);
        },
        async run(signal) {
            // Each cell and each wait adds a listener, so many listeners are no sign of a leak; Node.js would warn of one.
            setMaxListeners(0, signal);
            const presence = maintainPresence({
                store,
                self,
                leaseSeconds: settings.storeLeaseSeconds,
                logger,
                consumeRecordMissing: () => {
                    const wasMissing = isRecordMissing;
                    isRecordMissing = false;
                    return wasMissing;
                },
                onStoreAnswer: answered => {
                    isStoreReachable = answered;
                },
            }, AbortSignal.any([signal, presenceEnd.signal]));
            await Promise.all([
                presence,
                pollInstances(signal),
                assignments.run(signal),
                claimCells(signal),
                ownership.watchStandstill(signal),
            ]);
            await ownership.settled();
        },
    };
}

function countTasks(cell: Cell): number {
    return [...cell.ledger.draft.values()].filter(({ state }) => !ENDED_STATES.has(state)).length;
}

function nameOutcome(isDone: boolean, after: Transfer | undefined): string {
    if (!isDone) {
        return "conflict";
    }
    if (after === undefined) {
        return "dropped";
    }
    return after.to === after.from ? "taken-back" : "taken";
}
