/**
 * Credit allocator of a scheduler: leases connections on the workers of its cells to gateways.
 */
import { Result } from "true-myth/result";
import { fail } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import { exchangeCredits, nameHolder } from "../../core/messages/credits.js";
import type { CreditGrant, CreditHolding } from "../../core/messages/credits.js";
import { implement } from "../../core/method.js";
import type { MethodHandler } from "../../core/method.js";
import type { Metrics } from "../../core/metrics.js";
import type { Clock } from "../../core/time.js";
import type { WorkerReport } from "../../platform/worker.js";
import { createCreditAccount } from "./account.js";
import type { CreditAccount } from "./account.js";

const DEFAULT_LEASE_MILLISECONDS = 6_000;
const DEFAULT_CLOCK_MARGIN_MILLISECONDS = 250;
/** Epoch of a cell's first owner. */
const FIRST_EPOCH = 1;

/** Total connections that a worker can hold. */
export interface WorkerCapacity {
    readonly worker: string;
    readonly connections: number;
}

/** Options of the allocator. */
export interface CreditAllocatorOptions {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly logger: Logger;
    readonly leaseMilliseconds?: number;
    /** Largest difference between a worker's clock and the owner's. */
    readonly clockMarginMilliseconds?: number;
    /**
     * True while no other scheduler can own the cell. False after a pause in which another scheduler may have claimed
     * the cell and granted credits.
     */
    readonly isOwner: (cell: string, now: number) => boolean;
}

/** Leases connections of the cells that a scheduler owns. */
export interface CreditAllocator {
    readonly handlers: readonly MethodHandler[];
    /**
     * Starts to grant credits in a cell. Credits of an earlier owner count until their leases have lapsed and a
     * worker's report shows the remaining connections; the owner of epoch 1 has no predecessor.
     */
    addCell(cell: string, epoch: number, workers: readonly WorkerCapacity[], now: number): void;
    /** Applies added and removed workers and changed capacities. */
    updateWorkers(cell: string, workers: readonly WorkerCapacity[], now: number): void;
    removeCell(cell: string): void;
    /** Records the connections that a worker reports; without reports, credits of dead gateways are never freed. */
    observeConnections(report: Pick<WorkerReport, "worker" | "measuredAtMilliseconds" | "connections">): void;
    /** Credits that are granted or may still be in use on a worker; 0 for workers of other cells. */
    reserved(worker: string, now: number): number;
}

interface CellCredits {
    readonly epoch: number;
    readonly accounts: Map<string, CreditAccount>;
    /** Last answered request, by holder. */
    readonly answered: Map<string, AnsweredRequest>;
}

interface AnsweredRequest {
    readonly sequence: number;
    readonly holdings: ReadonlyMap<string, CreditHolding>;
    readonly grants: ReadonlyMap<string, number>;
}

/** Creates an allocator without cells. */
export function createCreditAllocator(options: CreditAllocatorOptions): CreditAllocator {
    const leaseMilliseconds = options.leaseMilliseconds ?? DEFAULT_LEASE_MILLISECONDS;
    const clockMarginMilliseconds = options.clockMarginMilliseconds ?? DEFAULT_CLOCK_MARGIN_MILLISECONDS;
    const exchanges = options.metrics.counter(
        "flamingowell_credit_exchanges_total",
        "Requests of gateways for connection credits, by result",
        ["result"],
    );
    const cells = new Map<string, CellCredits>();

    const createAccount = (capacity: number, cellClaimedAtMilliseconds: number | undefined): CreditAccount =>
        createCreditAccount({
            capacity,
            leaseMilliseconds,
            clockMarginMilliseconds,
            claimedAtMilliseconds: cellClaimedAtMilliseconds,
        });

    const grant = (credits: CellCredits, holder: string, holdings: Iterable<CreditHolding>, now: number) =>
        [...holdings].map(({ worker, held, wanted }): CreditGrant => ({
            worker,
            granted: credits.accounts.get(worker)?.claim({ holder, held, wanted }, now) ?? 0,
        }));

    const exchange = implement(exchangeCredits, async request => {
        const { gateway, incarnation, cell, sequence, sameAs } = request;
        const now = options.clock();
        const credits = cells.get(cell);
        if (credits === undefined || !options.isOwner(cell, now)) {
            exchanges.inc({ result: "fenced" });
            return fail<{ epoch: number; leaseMilliseconds: number; grants: CreditGrant[]; }>(
                "fenced",
                exchangeCredits.name,
                `cell ${cell} has another owner`,
            );
        }
        const holder = nameHolder(gateway, incarnation);
        const last = credits.answered.get(holder);
        if (sequence <= (last?.sequence ?? -1)) {
            exchanges.inc({ result: "conflict" });
            return fail("conflict", exchangeCredits.name, `request ${sequence} of ${holder} arrived late`);
        }
        if (sameAs !== undefined && sameAs !== last?.sequence) {
            exchanges.inc({ result: "unknown-base" });
            return fail("conflict", exchangeCredits.name, `request ${sameAs} of ${holder} is not the last answered`);
        }
        const base = sameAs === undefined ? undefined : last;
        const holdings = mergeHoldings(base, request.holdings, request.dropped ?? []);
        const grants = grant(credits, holder, holdings.values(), now);
        credits.answered.set(holder, {
            sequence,
            holdings,
            grants: new Map(grants.map(({ worker, granted }) => [worker, granted])),
        });
        exchanges.inc({ result: "granted" });
        return Result.ok<{ epoch: number; leaseMilliseconds: number; grants: CreditGrant[]; }, Failure>({
            epoch: credits.epoch,
            leaseMilliseconds,
            grants: grants.filter(({ worker, granted }) => base?.grants.get(worker) !== granted),
        });
    });

    return {
        handlers: [exchange],
        addCell(cell, epoch, workers, now) {
            const claimedAt = epoch <= FIRST_EPOCH ? undefined : now;
            const accounts = new Map(workers.map(({ worker, connections }) => [
                worker,
                createAccount(connections, claimedAt),
            ]));
            cells.set(cell, { epoch, accounts, answered: new Map() });
            options.logger.debug("credits-taken", { cell, epoch, workers: workers.length });
        },
        updateWorkers(cell, workers, now) {
            const credits = cells.get(cell);
            if (credits === undefined) {
                return;
            }
            const named = new Set(workers.map(({ worker }) => worker));
            for (const worker of credits.accounts.keys()) {
                if (!named.has(worker)) {
                    credits.accounts.delete(worker);
                }
            }
            for (const { worker, connections } of workers) {
                const account = credits.accounts.get(worker);
                if (account === undefined) {
                    // The worker may come from another cell, whose owner has granted credits on it.
                    credits.accounts.set(worker, createAccount(connections, now));
                    continue;
                }
                account.resize(connections);
            }
        },
        removeCell(cell) {
            cells.delete(cell);
        },
        observeConnections({ worker, measuredAtMilliseconds, connections }) {
            const reported = connections.map(one => ({ holder: one.gateway, connections: one.connections }));
            for (const { accounts } of cells.values()) {
                accounts.get(worker)?.observe(reported, measuredAtMilliseconds);
            }
        },
        reserved(worker, now) {
            for (const { accounts } of cells.values()) {
                const account = accounts.get(worker);
                if (account !== undefined) {
                    return account.reserved(now);
                }
            }
            return 0;
        },
    };
}

function mergeHoldings(
    base: AnsweredRequest | undefined,
    changed: readonly CreditHolding[],
    dropped: readonly string[],
): Map<string, CreditHolding> {
    const holdings = new Map(base?.holdings);
    dropped.forEach(worker => holdings.delete(worker));
    changed.forEach(holding => holdings.set(holding.worker, holding));
    return holdings;
}
