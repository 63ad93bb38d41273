/**
 * Claims cells without an owner, runs them, and releases them.
 *
 * The record of an owner is bound to a short lease; it only shows other instances where to send requests and when to claim.
 * The epoch in the head of the ledger and in every order to a worker prevents two owners from acting at the same time.
 */
import type { Result } from "true-myth/result";
import { formatFailure } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import { isAborted, pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import { createWake } from "../../core/wake.js";
import type { Store } from "../../platform/store.js";
import { createCell } from "../cell/cell.js";
import type { Cell, CellOptions } from "../cell/cell.js";
import { claimCell, readHead } from "../ledger/ledger.js";
import type { Head } from "../ledger/ledger.js";
import type { Retirement, RetireRequest } from "../model/requests.js";
import type { OwnershipSettings } from "../settings.js";
import { claimDelayOf, isBetterConnected } from "./candidate.js";
import { createCommitFailures } from "./commit-failures.js";
import type { Directory } from "./directory.js";
import { createFormerOwners } from "./former-owners.js";
import type { FormerOwners, RetirementRequester } from "./former-owners.js";
import { createIsolation } from "./isolation.js";
import { keepLease } from "./lease.js";
import { keepMembership } from "./membership.js";
import { createOwnerEnds } from "./owner-ends.js";
import { createReachReports } from "./reach-reports.js";
import { describeOwner, keyOfOwner } from "./records.js";
import type { Member, OwnerRecord } from "./records.js";
import { createRetirements } from "./retirements.js";
import { announceStop } from "./stop.js";

/** Options of the ownership of cells. */
export interface OwnershipOptions {
    readonly self: Member;
    readonly cells: readonly string[];
    readonly settings: OwnershipSettings;
    readonly cellOptions: Omit<CellOptions, "name">;
    readonly store: Store;
    readonly directory: Directory;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Number of connections from other members to this instance. */
    connections(): number;
    /** Whether this instance has a connection to the owner of a cell. */
    isConnectedToOwner(cell: string): boolean;
    /** Whether a cell can be run, because the workers and the catalog have been read. */
    isPrepared(): boolean;
    /** Asks the process at an address to stop. */
    readonly requestRetirement: RetirementRequester;
}

/** The cells that this instance owns. */
export interface Ownership {
    owned(cell: string): Cell | undefined;
    /** Records that the process of an owner has certainly ended, even if its record still exists. */
    recordDeath(owner: OwnerRecord): void;
    /** Records for how long an owner has been unable to commit, so that an instance that can may claim its cell. */
    recordCommitFailure(owner: OwnerRecord, milliseconds: number, now: number): void;
    /** Stops a cell at the request of its new owner. */
    retire(request: RetireRequest): Result<Retirement, Failure>;
    /** Releases all cells within the limit, and claims no more. */
    handOver(limitMilliseconds: number): Promise<void>;
    run(signal: AbortSignal): Promise<void>;
}

/** Time without claims after the cells were released because of too few connections. */
const CLAIM_PAUSE_MILLISECONDS = 3_000;

/** Creates the ownership of an instance. */
export function createOwnership(options: OwnershipOptions): Ownership {
    const { clock, directory, log, self, settings, store } = options;
    const owned = new Map<string, Cell>();
    const running = new Map<string, Promise<void>>();
    const vacantSince = new Map<string, number>();
    /** Newest epoch read from the head of each cell. */
    const seenEpochs = new Map<string, number>();
    const lastOwners = new Map<string, OwnerRecord>();
    const ends = createOwnerEnds({ instance: self.instance, directory, log });
    const retirements = createRetirements(self);
    const commitFailures = createCommitFailures();
    const checkRequest = createWake();
    const handOverStart = new AbortController();
    let claimsPausedUntil = 0;
    const isolation = createIsolation(options);
    const reachReports = createReachReports(options);

    /** Whether a cell has no owner; `certain` if the former owner cannot resume it. */
    const findVacancy = (cell: string, now: number): "none" | "likely" | "certain" => {
        const owner = directory.owner(cell);
        if (owner === undefined) {
            return lastOwners.has(cell) ? "likely" : "certain";
        }
        lastOwners.set(cell, owner);
        const isPreviousIncarnation = owner.instance === self.instance && owner.incarnation !== self.incarnation;
        if (commitFailures.failingMilliseconds(owner, now) > 0) {
            // An instance that can claim the cell can also commit.
            return "certain";
        }
        return owner.isReleased || isPreviousIncarnation || ends.isDead(owner.incarnation)
            ? "certain"
            : "none";
    };

    const claim = async (name: string, signal: AbortSignal): Promise<void> => {
        const former = lastOwners.get(name);
        const startedAt = clock();
        const found = await readHead(store, name);
        if (found.isErr) {
            log.write("claim-failed", { cell: name, failure: formatFailure(found.error) }, "vital");
            return;
        }
        const head = found.value?.body;
        if (head !== undefined && head.epoch > (seenEpochs.get(name) ?? 0) && !isExpectedOwner(head, former)) {
            // Another instance has just claimed the cell; its record has not arrived yet.
            seenEpochs.set(name, head.epoch);
            log.write("claim-deferred", { cell: name, owner: head.owner.instance, epoch: head.epoch }, "vital");
            return;
        }
        const answerMilliseconds = Math.round(clock() - startedAt);
        const failingMilliseconds = former === undefined ? 0 : commitFailures.failingMilliseconds(former, startedAt);
        if (failingMilliseconds > 0 && !isBetterConnected(answerMilliseconds, failingMilliseconds)) {
            log.write("claim-deferred", { cell: name, failingMilliseconds, answerMilliseconds }, "vital");
            return;
        }
        const lease = await store.grantLease(settings.ownerLeaseMilliseconds / 1_000);
        if (lease.isErr) {
            log.write("claim-failed", { cell: name, failure: formatFailure(lease.error) }, "vital");
            return;
        }
        const { leaseId } = lease.value;
        const claimSentAtMilliseconds = clock();
        const claimed = await claimCell({
            store,
            clock,
            cell: name,
            owner: { instance: self.instance, incarnation: self.incarnation },
            hasStopped: owner => ends.hasStopped(name, owner),
            alongside: epoch => [{
                kind: "put",
                key: keyOfOwner(name),
                value: JSON.stringify(describeOwner(self, name, epoch)),
                leaseId,
            }],
            signal,
        }, found.value);
        if (claimed.isErr) {
            log.write("claim-failed", { cell: name, failure: formatFailure(claimed.error) }, "vital");
            return;
        }
        const claimedAtMilliseconds = clock();
        const journal = claimed.value;
        const segments = await journal.load();
        if (segments.isErr) {
            log.write("claim-failed", { cell: name, failure: formatFailure(segments.error) }, "vital");
            return;
        }
        if (isAborted(signal)) {
            // The instance has been stopped meanwhile; a cell does not notice a signal that is aborted before its run.
            return;
        }
        const formerOwners = createFormerOwners({
            cell: name,
            journal,
            instance: self.instance,
            ends,
            // The record of an ownership tells the address also when that of the member has lapsed.
            findAddress: ({ incarnation }) =>
                directory.findMember(incarnation) ?? (former?.incarnation === incarnation ? former : undefined),
            requestRetirement: options.requestRetirement,
            clock,
            log,
        });
        const cell = createCell({ ...options.cellOptions, name }, {
            journal,
            segments: segments.value,
            claimSentAtMilliseconds,
            claimedAtMilliseconds,
            haveFormerOwnersStopped: () => formerOwners.haveStopped(),
            formerLeaseEnds: () => formerOwners.leaseEnds(),
        });
        isolation.recordClaim(name, former);
        log.write("cell-claimed", {
            cell: name,
            epoch: journal.epoch,
            former: former?.instance,
            milliseconds: Math.round(clock() - startedAt),
        }, "vital");
        await runCell(cell, leaseId, formerOwners, signal);
    };

    const isExpectedOwner = ({ owner }: Head, former: OwnerRecord | undefined): boolean =>
        owner.incarnation === former?.incarnation || ends.isDead(owner.incarnation)
        || owner.instance === self.instance;

    const runCell = async (
        cell: Cell,
        leaseId: string,
        formerOwners: FormerOwners,
        signal: AbortSignal,
    ): Promise<void> => {
        const cellEnd = new AbortController();
        owned.set(cell.name, cell);
        const record = describeOwner(self, cell.name, cell.epoch);
        let announcedAt = clock();
        const lease = keepLease({
            store,
            clock,
            log,
            name: `owner of ${cell.name}`,
            ttlMilliseconds: settings.ownerLeaseMilliseconds,
            renewMilliseconds: settings.renewMilliseconds,
            leaseId,
            onGranted: async granted => {
                announcedAt = clock();
                const value = JSON.stringify(record);
                cell.attachWrite({ kind: "put", key: keyOfOwner(cell.name), value, leaseId: granted });
                return true;
            },
            isRecordMissing: now =>
                directory.owner(cell.name)?.incarnation !== self.incarnation
                && now - announcedAt > settings.renewMilliseconds,
            onConfirmed: sentAt => cell.recordConfirmation(sentAt),
        }, AbortSignal.any([signal, cellEnd.signal]));
        // A request that is under way at the end does not hold up the next claim.
        void formerOwners.ask(() => cell.isRecovering(), AbortSignal.any([signal, cellEnd.signal]));
        await cell.run(signal);
        cellEnd.abort();
        retirements.record(cell);
        owned.delete(cell.name);
        const { incarnation, instance } = self;
        const stop = { cell: cell.name, epoch: cell.epoch, incarnation, instance };
        // The cell may be claimed again meanwhile; a record of an earlier epoch does no harm.
        void announceStop(stop, { store, clock, log, keptMilliseconds: settings.stopRecordMilliseconds, signal });
        await lease;
    };

    const start = (name: string, signal: AbortSignal): void => {
        const task = claim(name, signal).finally(() => {
            running.delete(name);
            vacantSince.delete(name);
        });
        running.set(name, task);
    };

    const release = (cell: Cell, connections?: number): Promise<boolean> => {
        const owner = directory.owner(cell.name);
        if (owner?.incarnation === self.incarnation) {
            const released: OwnerRecord = {
                ...owner,
                isReleased: true,
                ...(connections === undefined ? {} : { connections }),
            };
            const value = JSON.stringify(released);
            cell.attachWrite({ kind: "put", key: keyOfOwner(cell.name), value });
        }
        return cell.release();
    };

    /** Reports an owner that this instance cannot reach, though its record is there. */
    const checkReach = (name: string, owner: OwnerRecord | undefined, now: number, signal: AbortSignal): void => {
        const isReached = owner?.isReleased === true || owned.has(name) || owner?.instance === self.instance
            || owner !== undefined && ends.isDead(owner.incarnation) || options.isConnectedToOwner(name);
        reachReports.update(name, owner, isReached, now, signal);
    };

    const checkCells = (signal: AbortSignal): void => {
        const now = clock();
        isolation.check([...owned.values()], now, (cell, connections) => {
            claimsPausedUntil = clock() + CLAIM_PAUSE_MILLISECONDS;
            void release(cell, connections);
        });
        for (const name of options.cells) {
            const cell = owned.get(name);
            const owner = directory.owner(name);
            checkReach(name, owner, now, signal);
            if (cell !== undefined) {
                if (owner !== undefined && owner.epoch > cell.epoch) {
                    cell.abandon(`${owner.instance} owns it in epoch ${owner.epoch}`);
                }
                continue;
            }
            const vacancy = findVacancy(name, now);
            const mayClaim = !running.has(name) && !handOverStart.signal.aborted && options.isPrepared()
                && now >= claimsPausedUntil;
            if (vacancy === "none" || !mayClaim) {
                vacantSince.delete(name);
                continue;
            }
            const since = vacantSince.get(name) ?? now;
            vacantSince.set(name, since);
            // A former owner that still runs claims its cell again itself.
            const candidates = directory.members().filter(({ incarnation }) =>
                incarnation === self.incarnation || incarnation !== lastOwners.get(name)?.incarnation
            );
            const wait = claimDelayOf(name, candidates, self.instance, settings);
            if (wait !== undefined && now - since >= wait + (vacancy === "likely" ? settings.vacancyMilliseconds : 0)) {
                start(name, signal);
            }
        }
    };

    return {
        owned: cell => owned.get(cell),
        recordDeath: owner => ends.recordDeath(owner.cell, owner),
        recordCommitFailure(owner, milliseconds, now) {
            if (milliseconds >= settings.troubleMilliseconds) {
                commitFailures.record(owner, milliseconds, now);
                checkRequest.wake();
            }
        },
        retire: request => retirements.retire(request, owned.get(request.cell), clock()),
        async handOver(limitMilliseconds) {
            handOverStart.abort();
            await Promise.race([
                Promise.all([...owned.values()].map(cell => release(cell))),
                pause(limitMilliseconds),
            ]);
        },
        async run(signal) {
            directory.onChange(() => checkRequest.wake());
            const membership = keepMembership(
                { self, leaseMilliseconds: settings.memberLeaseMilliseconds, store, directory, clock, log },
                AbortSignal.any([signal, handOverStart.signal]),
            );
            while (!signal.aborted) {
                if (directory.mirror.isRead()) {
                    checkCells(signal);
                }
                await checkRequest.wait(settings.lookMilliseconds, signal);
            }
            await Promise.all([membership, ...running.values()]);
        },
    };
}
