/**
 * Connection credits of this gateway: one task per cell renews, requests and releases credits for the cell's workers.
 */
import { formatFailure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import { exchangeCredits } from "../../core/messages/credits.js";
import type { CreditHolding } from "../../core/messages/credits.js";
import type { Route } from "../../core/messages/routes.js";
import { jitter } from "../../core/random.js";
import type { Random } from "../../core/random.js";
import type { RpcClient } from "../../core/rpc.js";
import { pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import type { WorkerConnections } from "../upstream/connections.js";
import type { UpstreamPool } from "../upstream/pool.js";
import { diffHoldings, mergeGrants } from "./baseline.js";
import type { Baseline } from "./baseline.js";
import type { CellOwners } from "./owners.js";

const FIRST_RENEWAL_MILLISECONDS = 500;
const RENEWALS_PER_LEASE = 3;
const RENEWAL_SPREAD = 0.2;
const SHORTEST_INTERVAL_MILLISECONDS = 10;
const EXCHANGE_TIMEOUT_MILLISECONDS = 1_000;
/** Connections requested beyond those needed. */
const RESERVE_CONNECTIONS = 1;

/** Dependencies and timing of the credit client. */
export interface CreditClientOptions {
    readonly instance: string;
    readonly incarnation: string;
    readonly rpc: RpcClient;
    readonly pool: UpstreamPool;
    readonly owners: CellOwners;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    routes(): readonly Route[];
    /** Number of connections that waiting requests need on a worker. */
    demandOn(worker: string): number;
    /** Called after credits have changed. */
    onChange(): void;
}

/** Obtains and releases credits. */
export interface CreditClient {
    /** Starts a task for each new cell. */
    startCellTasks(signal: AbortSignal): void;
    /** Starts the next exchange of each cell now instead of at the next renewal. */
    renewNow(): void;
    /** Ends the tasks and releases all credits. */
    releaseAll(): Promise<void>;
}

interface CellTask {
    readonly cell: string;
    readonly task: Promise<void>;
    renewNow(): void;
}

/** Creates a client that holds no credits. */
export function createCreditClient(options: CreditClientOptions): CreditClient {
    const tasks = new Map<string, CellTask>();
    const recentPeaks = new Map<string, number>();
    const baselines = new Map<string, Baseline>();
    const stopping = new AbortController();
    let lastSequence = 0;

    const connectionsOf = (cell: string): WorkerConnections[] => {
        const workers = new Set(options.routes().filter(route => route.cell === cell).map(route => route.worker));
        return [...workers].map(worker => options.pool.find(worker)).filter(found => found !== undefined);
    };

    /** The requested number decays slowly, so that short pauses between requests don't move credits between gateways. */
    const computeWanted = (connections: WorkerConnections): number => {
        const { worker } = connections;
        const needed = connections.busy() + options.demandOn(worker);
        const peak = Math.max(needed, Math.floor(((recentPeaks.get(worker) ?? 0) + needed) / 2));
        recentPeaks.set(worker, peak);
        return peak + RESERVE_CONNECTIONS;
    };

    /** Lowers the local credits to the reported number before the owner receives it. */
    const prepareHolding = (connections: WorkerConnections, wanted: number, now: number): CreditHolding => {
        const held = Math.max(connections.held(now), Math.min(connections.credits(now), wanted));
        connections.setCredits(held, connections.lapsesAt());
        return { worker: connections.worker, held, wanted };
    };

    /** Makes one exchange; returns the milliseconds until the next. */
    const exchange = async (cell: string, wantedOf: (connections: WorkerConnections) => number): Promise<number> => {
        const owner = options.owners.find(cell);
        if (owner === undefined) {
            return FIRST_RENEWAL_MILLISECONDS;
        }
        const cellConnections = connectionsOf(cell);
        const sentAt = options.clock();
        const holdings = cellConnections.map(connections => prepareHolding(connections, wantedOf(connections), sentAt));
        lastSequence += 1;
        const sequence = lastSequence;
        const previous = baselines.get(cell);
        const baseline = previous?.origin === owner.origin ? previous : undefined;
        // After a failed call the owner may or may not have applied the request, so no baseline is valid.
        baselines.delete(cell);
        const answer = await options.rpc.call(owner.origin, exchangeCredits, {
            gateway: options.instance,
            incarnation: options.incarnation,
            cell,
            sequence,
            ...diffHoldings(baseline, holdings),
        }, { timeoutMilliseconds: EXCHANGE_TIMEOUT_MILLISECONDS });
        if (answer.isErr) {
            options.logger.debug("credits-not-exchanged", { cell, failure: formatFailure(answer.error) });
            return FIRST_RENEWAL_MILLISECONDS;
        }
        const { epoch, leaseMilliseconds } = answer.value;
        if (epoch < (options.owners.find(cell)?.epoch ?? epoch)) {
            options.logger.warn("credits-of-former-owner", { cell, epoch, peer: owner.origin });
            return FIRST_RENEWAL_MILLISECONDS;
        }
        const grants = mergeGrants(baseline, holdings, answer.value.grants);
        baselines.set(cell, {
            sequence,
            origin: owner.origin,
            holdings: new Map(holdings.map(holding => [holding.worker, holding])),
            grants,
        });
        for (const [worker, granted] of grants) {
            options.pool.find(worker)?.setCredits(granted, sentAt + leaseMilliseconds);
        }
        options.onChange();
        return leaseMilliseconds / RENEWALS_PER_LEASE;
    };

    const startTask = (cell: string, signal: AbortSignal): CellTask => {
        let renewalWait = new AbortController();
        let renewalRequested = false;
        const run = async () => {
            while (!signal.aborted) {
                renewalRequested = false;
                const renewal = await exchange(cell, computeWanted);
                renewalWait = new AbortController();
                const stopOrRenew = AbortSignal.any([renewalWait.signal, signal]);
                if (!isRenewalRequested()) {
                    await pause(jitter(renewal, RENEWAL_SPREAD, options.random), stopOrRenew);
                }
                await pause(SHORTEST_INTERVAL_MILLISECONDS, signal);
            }
        };
        const isRenewalRequested = () => renewalRequested;
        return {
            cell,
            task: run(),
            renewNow: () => {
                renewalRequested = true;
                renewalWait.abort();
            },
        };
    };

    return {
        startCellTasks(signal) {
            for (const cell of options.owners.cells()) {
                if (!tasks.has(cell) && !stopping.signal.aborted) {
                    tasks.set(cell, startTask(cell, AbortSignal.any([signal, stopping.signal])));
                }
            }
        },
        renewNow() {
            tasks.forEach(task => task.renewNow());
        },
        async releaseAll() {
            stopping.abort();
            await Promise.all([...tasks.values()].map(({ task }) => task));
            await Promise.all([...tasks.keys()].map(cell => exchange(cell, () => 0)));
        },
    };
}
