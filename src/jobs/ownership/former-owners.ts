/**
 * The former owners of a claimed cell that may still send orders: asks each of them directly to stop.
 *
 * A former owner that is cut off from the store can announce its stop in no other way. The answer of the last owner covers
 * the leases of all owners before it that had stopped when it claimed the cell.
 */
import type { Result } from "true-myth/result";
import type { EventLog } from "../../core/event-log.js";
import type { ListenAddress } from "../../core/http.js";
import { pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import { withClockTolerance } from "../cell/worker.js";
import type { FormerOwner, Ledger } from "../ledger/ledger.js";
import type { Retirement, RetireRequest } from "../model/requests.js";
import type { OwnerEnds } from "./owner-ends.js";

/** Wait before a former owner is asked again. */
const RETRY_MILLISECONDS = 300;

/** Shortest time between two log lines about the same former owner. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Why a former owner has not answered. */
export interface RetirementFailure {
    /** Whether no process listens at the address. */
    readonly isRefused: boolean;
    readonly message: string;
}

/** Asks the process at an address to stop. */
export type RetirementRequester = (
    address: ListenAddress,
    request: RetireRequest,
) => Promise<Result<Retirement, RetirementFailure>>;

/** Options of the former owners of a cell. */
export interface FormerOwnersOptions {
    readonly cell: string;
    readonly journal: Pick<Ledger, "epoch" | "formerOwners" | "predecessor">;
    /** The instance that has claimed the cell. */
    readonly instance: string;
    readonly ends: OwnerEnds;
    /** Address of the process; absent if none is known. */
    findAddress(owner: FormerOwner): ListenAddress | undefined;
    readonly requestRetirement: RetirementRequester;
    readonly clock: Clock;
    readonly log: EventLog;
}

/** The former owners of a cell. */
export interface FormerOwners {
    /** Whether all of them have stopped sending orders. */
    haveStopped(): boolean;
    /** Times after which nothing that they have started runs, by worker; absent until all have told. */
    leaseEnds(): ReadonlyMap<string, number> | undefined;
    /** Asks each former owner until it has answered, its process has ended, or the answer is not needed. */
    ask(isNeeded: () => boolean, signal: AbortSignal): Promise<void>;
}

/** Creates the former owners of a claimed cell; `ask` contacts them. */
export function createFormerOwners(options: FormerOwnersOptions): FormerOwners {
    const { cell, clock, ends, instance, journal: { epoch, formerOwners, predecessor }, log } = options;
    const answers = new Map<FormerOwner, ReadonlyMap<string, number>>();
    const isPredecessorAsked = predecessor !== undefined
        && formerOwners.some(owner =>
            owner.incarnation === predecessor.owner.incarnation && owner.epoch === predecessor.epoch
        );

    /** Asks a former owner once; returns why it has to be asked again. */
    const askOnce = async (owner: FormerOwner): Promise<string | undefined> => {
        const address = options.findAddress(owner);
        if (address === undefined) {
            return "no address is known";
        }
        const answered = await options.requestRetirement(address, { cell, epoch, instance });
        if (answered.isErr) {
            if (answered.error.isRefused) {
                ends.recordDeath(cell, owner);
            }
            return answered.error.message;
        }
        const retirement = answered.value;
        if (retirement.incarnation !== owner.incarnation) {
            if (retirement.instance === owner.instance) {
                ends.recordDeath(cell, owner);
            }
            return `${retirement.instance} answers with incarnation ${retirement.incarnation}`;
        }
        if (retirement.epoch < owner.epoch) {
            return `it has not stopped in epoch ${owner.epoch} yet`;
        }
        // The answer may have been under way, and the clocks of instances may differ in rate.
        const receivedAt = clock();
        answers.set(
            owner,
            new Map(
                Object.entries(retirement.leases).map(([worker, milliseconds]) => [
                    worker,
                    receivedAt + withClockTolerance(milliseconds),
                ]),
            ),
        );
        log.write("former-owner-retired", {
            cell,
            epoch,
            owner: owner.instance,
            ownerEpoch: retirement.epoch,
            leases: retirement.leases,
        }, "vital");
        return undefined;
    };

    const askOwner = async (owner: FormerOwner, isNeeded: () => boolean, signal: AbortSignal): Promise<void> => {
        let loggedAt = -Infinity;
        while (!signal.aborted && isNeeded() && !ends.isProcessGone(owner)) {
            const failure = await askOnce(owner);
            if (failure === undefined) {
                return;
            }
            const now = clock();
            if (now - loggedAt >= LOG_INTERVAL_MILLISECONDS) {
                loggedAt = now;
                log.write("former-owner-unreachable", { cell, epoch, owner: owner.instance, failure }, "vital");
            }
            await pause(RETRY_MILLISECONDS, signal);
        }
    };

    return {
        haveStopped: () => formerOwners.every(owner => answers.has(owner) || ends.hasStopped(cell, owner)),
        leaseEnds() {
            if (!isPredecessorAsked || answers.size < formerOwners.length) {
                return undefined;
            }
            const leaseEnds = new Map<string, number>();
            for (const [worker, end] of [...answers.values()].flatMap(answer => [...answer])) {
                leaseEnds.set(worker, Math.max(leaseEnds.get(worker) ?? 0, end));
            }
            return leaseEnds;
        },
        async ask(isNeeded, signal) {
            await Promise.all(formerOwners.map(owner => askOwner(owner, isNeeded, signal)));
        },
    };
}
