/**
 * The scheduler: claims cells, owns them, and hands them over.
 */
import Emittery from "emittery";
import { Result } from "true-myth/result";
import type { z } from "zod";
import type { Failure } from "../core/errors.js";
import type { Logger } from "../core/log.js";
import type { Metrics } from "../core/metrics.js";
import { parseJson } from "../core/parse.js";
import type { Part } from "../core/part.js";
import type { Random } from "../core/random.js";
import type { RpcClient } from "../core/rpc.js";
import { pause } from "../core/time.js";
import type { Clock } from "../core/time.js";
import type { MembershipSource } from "../membership/member.js";
import type { InstanceList, PlatformInstance } from "../platform/instances.js";
import type { Store } from "../platform/store.js";
import type { WorkerControl } from "../platform/worker.js";
import type { Policy } from "../policy/policy.js";
import type { ConfigurationSource } from "../rules/rule.js";
import { createCell } from "./cell/cell.js";
import type { Cell } from "./cell/cell.js";
import { groupCells } from "./cells.js";
import type { CellMap } from "./cells.js";
import { listClaimActions } from "./claims.js";
import type { ClaimAction } from "./claims.js";
import { createHandlers } from "./handlers.js";
import type { SchedulerEvents } from "./handlers.js";
import type { CreditHooks } from "./hooks.js";
import { findDueRun } from "./jobs/due.js";
import { sliceQuotas } from "./jobs/quota.js";
import { Claim, CLAIMS_PREFIX, LIVE_PREFIX, LiveScheduler } from "./ledger/head.js";
import { claimCell, loadLedger, readHead } from "./ledger/journal.js";
import { createSchedulerMetrics } from "./metrics.js";
import { keepPresence } from "./presence.js";
import type { CellSettings } from "./settings.js";

/** Identity of a scheduler's process. */
export interface SchedulerIdentity {
    readonly instance: string;
    readonly dataCentre: string;
    /** Differs with each start of the process. */
    readonly incarnation: string;
    readonly origin: string;
}

/** What a scheduler needs. */
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

/** A cell that this scheduler owns, in short. */
export interface OwnedCell {
    readonly cell: string;
    readonly epoch: number;
    readonly tasks: number;
    readonly workers: number;
}

/** The scheduler as a part of its process. */
export interface Scheduler extends Part {
    /** It has a configuration, an instance list and has read the claims at least once. */
    ready(): boolean;
    /** Gives all cells up with their last commits, within the limit, and claims no more. */
    handOver(limitMilliseconds: number): Promise<void>;
    ownedCells(): OwnedCell[];
    /** The last call of the store got an answer. */
    storeReachable(): boolean;
}

/** Creates the scheduler. */
export function createScheduler(options: SchedulerOptions): Scheduler {
    const { store, settings, clock, logger } = options;
    const metrics = createSchedulerMetrics(options.metrics);
    const policy = options.createPolicy();
    const events = new Emittery<SchedulerEvents>();
    const self: LiveScheduler = {
        instance: options.identity.instance,
        incarnation: options.identity.incarnation,
        origin: options.identity.origin,
        dataCentre: options.identity.dataCentre,
    };
    const holder = { instance: self.instance, incarnation: self.incarnation, origin: self.origin };
    const owned = new Map<string, Cell>();
    const running = new Map<string, Promise<void>>();
    const absentSince = new Map<string, number>();
    const misplacedSince = new Map<string, number>();
    let instances: readonly PlatformInstance[] = [];
    let maps: readonly CellMap[] = [];
    let reachable = false;
    let sighted = false;
    let handingOver = false;

    const pollInstances = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            const listed = await options.instanceList.list();
            if (listed.isOk) {
                instances = listed.value;
                maps = groupCells(instances, settings.racksPerCell);
                for (const cell of owned.values()) {
                    const map = maps.find(candidate => candidate.cell === cell.name);
                    cell.updateMap(map ?? { cell: cell.name, dataCentre: self.dataCentre, workers: [] }, clock());
                }
            }
            await pause(settings.instanceIntervalMilliseconds, signal);
        }
    };

    const claim = async (action: Extract<ClaimAction, { kind: "claim"; }>, signal: AbortSignal): Promise<void> => {
        const { map, predecessorGone } = action;
        const opened = await openCell(action, signal);
        metrics.claims.inc({ outcome: opened.isOk ? "claimed" : opened.error.code });
        if (opened.isErr) {
            logger.warn("cell not claimed", { cell: map.cell, failure: opened.error });
            return;
        }
        const cell = opened.value;
        owned.set(map.cell, cell);
        metrics.cellsOwned.set(owned.size);
        logger.info("cell claimed", {
            cell: map.cell,
            epoch: cell.epoch(),
            predecessorGone,
            tasks: cell.ledger.draft.size,
        });
        running.set(map.cell, own(cell, signal));
    };

    const own = async (cell: Cell, signal: AbortSignal): Promise<void> => {
        const end = await cell.run(signal);
        owned.delete(cell.name);
        running.delete(cell.name);
        metrics.cellsOwned.set(owned.size);
        logger.info("cell given up", { cell: cell.name, epoch: cell.epoch(), end });
        await events.emit("routes", undefined);
    };

    const openCell = async (
        { map, predecessorGone }: Extract<ClaimAction, { kind: "claim"; }>,
        signal: AbortSignal,
    ): Promise<Result<Cell, Failure>> => {
        const found = await readHead(store, map.cell);
        if (found.isErr) {
            return Result.err(found.error);
        }
        const journal = await claimCell({
            store,
            cell: map.cell,
            holder,
            found: found.value,
            now: clock(),
            horizonMilliseconds: settings.horizonMilliseconds,
            predecessorGone,
            segmentsPerSnapshot: settings.segmentsPerSnapshot,
            signal,
        });
        if (journal.isErr) {
            return Result.err(journal.error);
        }
        // Loaded after the claim: from then on nobody else can add to the ledger.
        const ledger = await loadLedger(store, journal.value.head());
        return ledger.map(loaded =>
            createCell({
                map,
                journal: journal.value,
                ledger: loaded,
                owner: self.instance,
                settings,
                workers: options.workers,
                policy,
                credits: options.credits,
                clock,
                metrics,
                logger,
                configuration: () => options.configuration.current(),
                cells: () => maps,
                dueRun: ({ rule }, now) =>
                    rule.kind === "batch" ? findDueRun(rule, createdAt(rule.name), now) : undefined,
                quotas: (current, configuration) => sliceQuotas(configuration, current, Math.max(1, maps.length)),
                onRoutes: () => void events.emit("routes", undefined),
            })
        );
    };

    const createdAt = (rule: string) =>
        options.configuration.current()?.documents.find(({ rules }) => rules.some(({ name }) => name === rule))
            ?.appliedAtMilliseconds ?? 0;

    const claimRound = async (signal: AbortSignal): Promise<void> => {
        const live = await readRecords(store, LIVE_PREFIX, LiveScheduler);
        const claims = await readRecords(store, CLAIMS_PREFIX, Claim);
        reachable = live.isOk && claims.isOk;
        if (live.isErr || claims.isErr) {
            absentSince.clear();
            return;
        }
        sighted = true;
        if (
            !live.value.some(({ instance, incarnation }) =>
                instance === self.instance && incarnation === self.incarnation
            )
        ) {
            return;
        }
        const actions = listClaimActions({
            self,
            cells: maps,
            live: live.value,
            claims: new Map(claims.value.map(record => [record.cell, record])),
            owned: new Set(owned.keys()),
            instances,
        });
        await Promise.all(
            actions.filter(action => isDue(action, clock())).map(async action => {
                if (action.kind === "claim") {
                    await claim(action, signal);
                }
                else {
                    owned.get(action.cell)?.release();
                }
            }),
        );
    };

    /** Absence and misplacement have to last before they count, so that a short gap moves no cell. */
    const isDue = (action: ClaimAction, now: number): boolean => {
        if (action.kind === "hand-over") {
            const since = misplacedSince.get(action.cell) ?? now;
            misplacedSince.set(action.cell, since);
            return now - since >= MISPLACED_GRACE_MILLISECONDS;
        }
        misplacedSince.delete(action.map.cell);
        if (!action.predecessorAbsent) {
            absentSince.delete(action.map.cell);
            return true;
        }
        const since = absentSince.get(action.map.cell) ?? now;
        absentSince.set(action.map.cell, since);
        return now - since >= ABSENT_GRACE_MILLISECONDS;
    };

    return {
        handlers: createHandlers({ events, clock, cells: () => [...owned.values()] }),
        ready: () => sighted && maps.length > 0 && options.configuration.current() !== undefined,
        ownedCells: () =>
            [...owned.values()].map(cell => ({
                cell: cell.name,
                epoch: cell.epoch(),
                tasks: cell.ledger.draft.size,
                workers: cell.links.size,
            })),
        storeReachable: () => reachable,
        async handOver(limitMilliseconds) {
            handingOver = true;
            owned.forEach(cell => cell.release());
            await Promise.race([Promise.all(running.values()), pause(limitMilliseconds)]);
        },
        async run(signal) {
            const presence = keepPresence({
                store,
                self,
                leaseSeconds: settings.storeLeaseSeconds,
                logger,
                onStore: answered => {
                    reachable = answered;
                },
            }, signal);
            const polling = pollInstances(signal);
            while (!signal.aborted) {
                if (!handingOver && maps.length > 0) {
                    await claimRound(signal);
                }
                await pause(settings.claimIntervalMilliseconds, signal);
            }
            await Promise.all([presence, polling, ...running.values()]);
        },
    };
}

const ABSENT_GRACE_MILLISECONDS = 1_000;
const MISPLACED_GRACE_MILLISECONDS = 5_000;

async function readRecords<Schema extends z.ZodType>(
    store: Store,
    prefix: string,
    schema: Schema,
): Promise<Result<z.output<Schema>[], Failure>> {
    const found = await store.read({ key: prefix, prefix: true });
    return found.andThen(({ entries }) => {
        const records: z.output<Schema>[] = [];
        for (const entry of entries) {
            const record = parseJson(schema, entry.value, `record ${entry.key}`);
            if (record.isErr) {
                return Result.err(record.error);
            }
            records.push(record.value);
        }
        return Result.ok(records);
    });
}
