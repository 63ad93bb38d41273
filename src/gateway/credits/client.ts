/**
 * Connection credits of this gateway: one task per cell renews, enlarges and gives back what its workers need.
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
import { describeHoldings, mergeGrants } from "./baseline.js";
import type { Baseline } from "./baseline.js";
import type { CellOwners } from "./owners.js";

const FIRST_RENEWAL_MILLISECONDS = 500;
const RENEWALS_PER_LEASE = 3;
const RENEWAL_SPREAD = 0.2;
const SHORTEST_INTERVAL_MILLISECONDS = 10;
const EXCHANGE_TIMEOUT_MILLISECONDS = 1_000;
/** Connections kept ready beyond those in use. */
const RESERVE_CONNECTIONS = 1;

/** Options of the client. */
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
    /** Connections that waiting requests want on a worker. */
    demandOn(worker: string): number;
    /** Called after credits have changed. */
    onChange(): void;
}

/** Leases credits. */
export interface CreditClient {
    /** Starts a task for each cell that has become known. */
    follow(signal: AbortSignal): void;
    /** Asks for more at once instead of at the next renewal. */
    hurry(): void;
    /** Gives every credit back; ends the tasks. */
    giveBack(): Promise<void>;
}

interface CellTask {
    readonly cell: string;
    readonly task: Promise<void>;
    hurry(): void;
}

/** Creates a client that holds no credits. */
export function createCreditClient(options: CreditClientOptions): CreditClient {
    const tasks = new Map<string, CellTask>();
    const peaks = new Map<string, number>();
    const baselines = new Map<string, Baseline>();
    const ending = new AbortController();
    let lastSequence = 0;

    const connectionsOf = (cell: string): WorkerConnections[] => {
        const workers = new Set(options.routes().filter(route => route.cell === cell).map(route => route.worker));
        return [...workers].map(worker => options.pool.find(worker)).filter(found => found !== undefined);
    };

    /** Wishes fall slowly, so that credits do not go to and fro with every pause between requests. */
    const wish = (connections: WorkerConnections): number => {
        const { worker } = connections;
        const needed = connections.busy() + options.demandOn(worker);
        const peak = Math.max(needed, Math.floor(((peaks.get(worker) ?? 0) + needed) / 2));
        peaks.set(worker, peak);
        return peak + RESERVE_CONNECTIONS;
    };

    /** Gives back what is not wanted before the owner is told so. */
    const declare = (connections: WorkerConnections, wanted: number, now: number): CreditHolding => {
        const held = Math.max(connections.held(now), Math.min(connections.credits(now), wanted));
        connections.setCredits(held, connections.lapsesAt());
        return { worker: connections.worker, held, wanted };
    };

    /** Makes one exchange; answers with the time until the next. */
    const exchange = async (cell: string, wishOf: (connections: WorkerConnections) => number): Promise<number> => {
        const owner = options.owners.find(cell);
        if (owner === undefined) {
            return FIRST_RENEWAL_MILLISECONDS;
        }
        const all = connectionsOf(cell);
        const sentAt = options.clock();
        const holdings = all.map(connections => declare(connections, wishOf(connections), sentAt));
        lastSequence += 1;
        const sequence = lastSequence;
        const former = baselines.get(cell);
        const baseline = former?.origin === owner.origin ? former : undefined;
        // After a failure it is not known whether the owner has answered.
        baselines.delete(cell);
        const answer = await options.rpc.call(owner.origin, exchangeCredits, {
            gateway: options.instance,
            incarnation: options.incarnation,
            cell,
            sequence,
            ...describeHoldings(baseline, holdings),
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
        let waiting = new AbortController();
        let hurried = false;
        const run = async () => {
            while (!signal.aborted) {
                hurried = false;
                const renewal = await exchange(cell, wish);
                waiting = new AbortController();
                const either = AbortSignal.any([waiting.signal, signal]);
                if (!isHurried()) {
                    await pause(jitter(renewal, RENEWAL_SPREAD, options.random), either);
                }
                await pause(SHORTEST_INTERVAL_MILLISECONDS, signal);
            }
        };
        const isHurried = () => hurried;
        return {
            cell,
            task: run(),
            hurry: () => {
                hurried = true;
                waiting.abort();
            },
        };
    };

    return {
        follow(signal) {
            for (const cell of options.owners.cells()) {
                if (!tasks.has(cell) && !ending.signal.aborted) {
                    tasks.set(cell, startTask(cell, AbortSignal.any([signal, ending.signal])));
                }
            }
        },
        hurry() {
            tasks.forEach(task => task.hurry());
        },
        async giveBack() {
            ending.abort();
            await Promise.all([...tasks.values()].map(({ task }) => task));
            await Promise.all([...tasks.keys()].map(cell => exchange(cell, () => 0)));
        },
    };
}
