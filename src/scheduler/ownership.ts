/**
 * The cells that a scheduler owns: claims them, runs them, hands them over.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../core/errors.js";
import type { Failure } from "../core/errors.js";
import type { Logger } from "../core/log.js";
import { limitSignal, pause } from "../core/time.js";
import type { Clock } from "../core/time.js";
import type { PlatformInstance } from "../platform/instances.js";
import type { Store } from "../platform/store.js";
import type { Cell } from "./cell/cell.js";
import type { CellMap } from "./cells.js";
import { listClaimActions } from "./claims.js";
import type { ClaimAction } from "./claims.js";
import { Claim, CLAIMS_PREFIX, LIVE_PREFIX, LiveScheduler } from "./ledger/head.js";
import { claimCell, loadLedger, readHead } from "./ledger/journal.js";
import type { Journal } from "./ledger/journal.js";
import type { Ledger } from "./ledger/ledger.js";
import type { SchedulerMetrics } from "./metrics.js";
import { createRecordReader } from "./records.js";
import type { CellSettings } from "./settings.js";

/** How long a holder's liveness record has to be missing before its cells are claimed. */
const ABSENT_GRACE_MILLISECONDS = 1_000;
/** How long another scheduler has to be the preferred owner before a cell is handed over. */
const MISPLACED_GRACE_MILLISECONDS = 5_000;

/** Time limit of one claim. */
const CLAIM_LIMIT_MILLISECONDS = 10_000;

/** Standstill of the process, in milliseconds, after which another scheduler may have claimed its cells. */
const STANDSTILL_LIMIT_MILLISECONDS = 1_500;
const STANDSTILL_CHECK_MILLISECONDS = 250;

/** Live schedulers and claims, as of the last check of the store. */
export interface OwnershipRecords {
    readonly live: readonly LiveScheduler[];
    readonly claims: ReadonlyMap<string, Claim>;
}

/** Options of an ownership. */
export interface OwnershipOptions {
    readonly self: LiveScheduler;
    readonly store: Store;
    readonly settings: CellSettings;
    readonly clock: Clock;
    readonly metrics: SchedulerMetrics;
    readonly logger: Logger;
    createCell(map: CellMap, journal: Journal, ledger: Ledger): Cell;
    /** Called when the set of owned cells has changed. */
    onChange(): void;
    /** Called when the store has no liveness record of this scheduler. */
    onRecordMissing(): void;
}

/** The cells that a scheduler owns. */
export interface Ownership {
    readonly owned: ReadonlyMap<string, Cell>;
    records(): OwnershipRecords | undefined;
    /**
     * True where no other scheduler can own the cell: its horizon has not passed, and the store has confirmed the claim
     * since the last standstill of the process.
     */
    isConfirmed(cell: string, now: number): boolean;
    /** Time at which the last check was begun that found the claim of the cell in the store; 0 without one. */
    confirmedAtMilliseconds(cell: string): number;
    /** Applies a new instance list. */
    update(instances: readonly PlatformInstance[], maps: readonly CellMap[]): void;
    /** Reads the store once, then claims and hands over cells that are due; false where the store did not answer. */
    check(signal: AbortSignal): Promise<boolean>;
    /** Records standstills of the process; runs until the signal is aborted. */
    watchStandstill(signal: AbortSignal): Promise<void>;
    /** Releases all cells with a last commit. */
    releaseAll(): void;
    /** Resolves when no cell runs any more. */
    settled(): Promise<void>;
}

/** Creates an ownership of no cells. */
export function createOwnership(options: OwnershipOptions): Ownership {
    const { self, store, settings, clock, metrics, logger } = options;
    const holder = { instance: self.instance, incarnation: self.incarnation, origin: self.origin };
    const liveRecords = createRecordReader(store, LIVE_PREFIX, LiveScheduler);
    const claimRecords = createRecordReader(store, CLAIMS_PREFIX, Claim);
    const owned = new Map<string, Cell>();
    const running = new Map<string, Promise<void>>();
    const absentSince = new Map<string, number>();
    const misplacedSince = new Map<string, number>();
    let instances: readonly PlatformInstance[] = [];
    let maps: readonly CellMap[] = [];
    let records: OwnershipRecords | undefined;
    let isReleasing = false;
    let lastTickAt = clock();
    let lastStandstillAt = 0;
    const confirmedAt = new Map<string, number>();

    const detectStandstill = (now: number): void => {
        lastStandstillAt = now - lastTickAt > STANDSTILL_LIMIT_MILLISECONDS ? now : lastStandstillAt;
        lastTickAt = now;
    };

    const runCell = async (cell: Cell, signal: AbortSignal): Promise<void> => {
        const end = await cell.run(signal);
        owned.delete(cell.name);
        running.delete(cell.name);
        metrics.cellsOwned.set(owned.size);
        logger.info("cell ownership ended", { cell: cell.name, epoch: cell.epoch(), end });
        options.onChange();
    };

    const claimAndLoad = async (action: ClaimCellAction, signal: AbortSignal): Promise<Result<Cell, Failure>> => {
        const found = await readHead(store, action.map.cell);
        if (found.isErr) {
            return Result.err(found.error);
        }
        const { map: { cell }, previousEpoch } = action;
        if ((found.value?.body.epoch ?? 0) !== previousEpoch) {
            // The decision was about another owner than the present one.
            return Result.err(createFailure("conflict", "claim", `${cell} has been claimed meanwhile`));
        }
        const journal = await claimCell({
            store,
            cell,
            holder,
            previousHead: found.value,
            now: clock(),
            horizonMilliseconds: settings.horizonMilliseconds,
            predecessorGone: action.predecessorGone,
            segmentsPerSnapshot: settings.segmentsPerSnapshot,
            signal,
        });
        if (journal.isErr) {
            return Result.err(journal.error);
        }
        // Loaded after the claim: from then on no other scheduler can add to the ledger.
        const ledger = await loadLedger(store, journal.value.head());
        return ledger.map(loaded => options.createCell(action.map, journal.value, loaded));
    };

    const claim = async (action: ClaimCellAction, signal: AbortSignal): Promise<void> => {
        const claimedAt = clock();
        // A slow claim must not delay the claims of other cells; it is tried again at the next check.
        const limited = limitSignal(signal, CLAIM_LIMIT_MILLISECONDS);
        const opened = await claimAndLoad(action, limited);
        metrics.claims.inc({ outcome: opened.isOk ? "claimed" : opened.error.code });
        if (opened.isErr) {
            logger.warn("cell not claimed", { cell: action.map.cell, failure: opened.error });
            return;
        }
        const cell = opened.value;
        confirmedAt.set(cell.name, claimedAt);
        owned.set(cell.name, cell);
        metrics.cellsOwned.set(owned.size);
        const { predecessorGone } = action;
        logger.info("cell claimed", { cell: cell.name, epoch: cell.epoch(), predecessorGone });
        running.set(cell.name, runCell(cell, signal));
        options.onChange();
    };

    /** Absence and misplacement have to last for a grace period, so that a short gap moves no cell. */
    const isDue = (action: ClaimAction, now: number): boolean => {
        const cell = action.kind === "claim" ? action.map.cell : action.cell;
        const isHolderAbsent = action.kind === "claim" && action.predecessorAbsent;
        const startTimes = action.kind === "hand-over" ? misplacedSince : absentSince;
        if (action.kind === "claim" && !isHolderAbsent) {
            return true;
        }
        const start = startTimes.get(cell) ?? now;
        startTimes.set(cell, start);
        return now - start >= (isHolderAbsent ? ABSENT_GRACE_MILLISECONDS : MISPLACED_GRACE_MILLISECONDS);
    };

    const listActions = ({ live, claims }: OwnershipRecords): ClaimAction[] => {
        const actions = listClaimActions({
            self,
            cells: [...maps, ...listEmptyCells(claims, maps)],
            liveSchedulers: live,
            claims,
            owned: new Set(owned.keys()),
            instances,
        });
        removeOthers(absentSince, actions.flatMap(action => action.kind === "claim" ? [action.map.cell] : []));
        removeOthers(misplacedSince, actions.flatMap(action => action.kind === "hand-over" ? [action.cell] : []));
        return actions.filter(action => isDue(action, clock()));
    };

    return {
        owned,
        records: () => records,
        update(listed, grouped) {
            instances = listed;
            maps = grouped;
            for (const cell of owned.values()) {
                const map = maps.find(candidate => candidate.cell === cell.name);
                cell.updateMap(map ?? { cell: cell.name, dataCentre: self.dataCentre, workers: [] }, clock());
            }
        },
        async watchStandstill(signal) {
            while (!signal.aborted) {
                detectStandstill(clock());
                await pause(STANDSTILL_CHECK_MILLISECONDS, signal);
            }
        },
        isConfirmed(cell, now) {
            detectStandstill(now);
            const owner = owned.get(cell);
            return owner !== undefined && now < owner.horizonMilliseconds()
                && (confirmedAt.get(cell) ?? 0) > lastStandstillAt;
        },
        confirmedAtMilliseconds: cell => confirmedAt.get(cell) ?? 0,
        async check(signal) {
            const startedAt = clock();
            detectStandstill(startedAt);
            const live = await liveRecords.read();
            const claims = await claimRecords.read();
            if (live.isErr || claims.isErr) {
                absentSince.clear();
                return false;
            }
            records = {
                live: live.value,
                claims: new Map(claims.value.map(record => [record.cell, record])),
            };
            for (const cell of owned.values()) {
                if (records.claims.get(cell.name)?.epoch === cell.epoch()) {
                    confirmedAt.set(cell.name, startedAt);
                }
            }
            const isAnnounced = live.value.some(({ incarnation }) => incarnation === self.incarnation);
            if (live.value.every(({ instance }) => instance !== self.instance)) {
                options.onRecordMissing();
            }
            if (isAnnounced && !isReleasing && maps.length > 0) {
                const actions = listActions(records);
                await Promise.all(
                    actions.map(async action =>
                        action.kind === "claim" ? claim(action, signal) : owned.get(action.cell)?.release()
                    ),
                );
            }
            return true;
        },
        releaseAll() {
            isReleasing = true;
            owned.forEach(cell => cell.release());
        },
        async settled() {
            await Promise.all(running.values());
        },
    };
}

type ClaimCellAction = Extract<ClaimAction, { kind: "claim"; }>;

/** Claimed cells without workers in the instance list; their ledgers may still hold tasks. */
function listEmptyCells(claims: ReadonlyMap<string, Claim>, maps: readonly CellMap[]): CellMap[] {
    const present = new Set(maps.map(({ cell }) => cell));
    return [...claims.keys()].filter(cell => !present.has(cell)).map(cell => ({
        cell,
        dataCentre: cell.slice(0, cell.lastIndexOf("-")),
        workers: [],
    }));
}

function removeOthers(startTimes: Map<string, number>, cells: readonly string[]): void {
    for (const cell of [...startTimes.keys()]) {
        if (!cells.includes(cell)) {
            startTimes.delete(cell);
        }
    }
}
