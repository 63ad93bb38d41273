/**
 * Account of one worker's connections: which gateway may hold how many.
 *
 * The sum over all gateways never exceeds what the worker holds. A grant counts until its gateway has given it back,
 * or until its lease has lapsed and a report of the worker, measured after that, shows how many connections are left.
 */

/** A gateway's claim, from its request. */
export interface CreditClaim {
    /** Name of one start of a gateway. */
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
    /** How far the worker's clock may be behind the owner's. */
    readonly clockMarginMilliseconds: number;
    /** Time at which the owner took the worker over; `undefined` where nobody can have granted anything before. */
    readonly claimedAtMilliseconds: number | undefined;
}

/** Account of one worker. */
export interface CreditAccount {
    /** Grants what a claim may have in all. */
    claim(claim: CreditClaim, now: number): number;
    observe(reported: readonly ReportedConnections[], measuredAtMilliseconds: number): void;
    resize(capacity: number): void;
    /** Credits that count as taken. */
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

    /** Connections that a holder may have now. */
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
        for (const name of new Set([...holdings.keys(), ...reported.keys()])) {
            total += name === holder ? 0 : countHolder(name, now);
        }
        return total;
    };

    /** An earlier owner's grants must have lapsed, and connections left over from them must show in a report. */
    const mayIncrease = (now: number): boolean => {
        const claimedAt = options.claimedAtMilliseconds;
        return claimedAt === undefined
            || now >= claimedAt + options.leaseMilliseconds
                && measuredAt >= claimedAt + options.leaseMilliseconds + options.clockMarginMilliseconds;
    };

    /** Share that leaves every other holder what it wants, at most an equal part. */
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
