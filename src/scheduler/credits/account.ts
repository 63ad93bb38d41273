/**
 * Account of one worker's connections: the credits of each gateway.
 *
 * The sum over all gateways never exceeds the worker's capacity. A grant counts until its gateway has returned it, or
 * until its lease has lapsed and a later report of the worker shows the remaining connections.
 */

/** A gateway's claim, from its request. */
export interface CreditClaim {
    /** Identifies one incarnation of a gateway. */
    readonly holder: string;
    readonly held: number;
    readonly wanted: number;
}

/** Connections of one holder as the worker reported them. */
export interface ReportedConnections {
    readonly holder: string;
    readonly connections: number;
}

/** Options of an account. */
export interface AccountOptions {
    readonly capacity: number;
    readonly leaseMilliseconds: number;
    /** Largest difference between the worker's clock and the owner's. */
    readonly clockMarginMilliseconds: number;
    /** Time at which the owner took the worker over; `undefined` where no earlier owner can have granted credits. */
    readonly claimedAtMilliseconds: number | undefined;
}

/** Account of one worker. */
export interface CreditAccount {
    /** Returns the total credits granted to the claim's holder. */
    claim(claim: CreditClaim, now: number): number;
    observe(reported: readonly ReportedConnections[], measuredAtMilliseconds: number): void;
    resize(capacity: number): void;
    /** Credits that are granted or may still be in use. */
    reserved(now: number): number;
}

interface Holding {
    /** Upper bound on the holder's connections while its lease holds. */
    credits: number;
    wanted: number;
    lapsesAtMilliseconds: number;
}

/** Creates an account. */
export function createCreditAccount(options: AccountOptions): CreditAccount {
    const holdings = new Map<string, Holding>();
    let capacity = options.capacity;
    let reported = new Map<string, number>();
    let measuredAt = Number.NEGATIVE_INFINITY;

    /** Upper bound on a holder's current connections. */
    const countHolder = (holder: string, now: number): number => {
        const holding = holdings.get(holder);
        const open = reported.get(holder) ?? 0;
        if (holding === undefined) {
            return open;
        }
        if (now < holding.lapsesAtMilliseconds) {
            return Math.max(holding.credits, 0);
        }
        const isMeasured = measuredAt >= holding.lapsesAtMilliseconds + options.clockMarginMilliseconds;
        return isMeasured ? Math.min(holding.credits, open) : holding.credits;
    };

    const countOthers = (holder: string | undefined, now: number): number => {
        let total = 0;
        for (const otherHolder of new Set([...holdings.keys(), ...reported.keys()])) {
            total += otherHolder === holder ? 0 : countHolder(otherHolder, now);
        }
        return total;
    };

    /** A first report after the leases of an earlier owner's grants lapsed has to show the remaining connections. */
    const mayIncrease = (now: number): boolean => {
        const claimedAt = options.claimedAtMilliseconds;
        return claimedAt === undefined
            || now >= claimedAt + options.leaseMilliseconds
                && measuredAt >= claimedAt + options.leaseMilliseconds + options.clockMarginMilliseconds;
    };

    /** Credits that leave every other holder what it wants, up to an equal part. */
    const shareOf = (holder: string, now: number): number => {
        const otherHolders = [...holdings].filter(([name, { lapsesAtMilliseconds }]) =>
            name !== holder && lapsesAtMilliseconds > now
        );
        const equalPart = Math.max(1, Math.floor(capacity / (otherHolders.length + 1)));
        const wantedByOthers = otherHolders.reduce((sum, [, { wanted }]) => sum + Math.min(wanted, equalPart), 0);
        return Math.max(equalPart, capacity - wantedByOthers);
    };

    const removeLapsed = (now: number) => {
        for (const [holder, { lapsesAtMilliseconds }] of holdings) {
            if (now >= lapsesAtMilliseconds && countHolder(holder, now) === 0) {
                holdings.delete(holder);
            }
        }
    };

    return {
        claim({ holder, held, wanted }, now) {
            removeLapsed(now);
            const available = Math.max(0, capacity - countOthers(holder, now));
            const upperLimit = Math.min(available, shareOf(holder, now));
            const granted = Math.min(wanted, mayIncrease(now) ? upperLimit : Math.min(held, available));
            holdings.set(holder, {
                credits: Math.max(granted, held),
                wanted,
                lapsesAtMilliseconds: now + options.leaseMilliseconds,
            });
            return granted;
        },
        observe(connections, measuredAtMilliseconds) {
            if (measuredAtMilliseconds <= measuredAt) {
                return;
            }
            measuredAt = measuredAtMilliseconds;
            reported = new Map(connections.map(one => [one.holder, one.connections]));
        },
        resize(changed) {
            capacity = changed;
        },
        reserved: now => countOthers(undefined, now),
    };
}
