/**
 * Owner's task of one cell: observes, plans, decides, and commits all of an interval's transitions together.
 */
import { setMaxListeners } from "node:events";
import type { Failure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import type { Clock } from "../../core/time.js";
import { createWake } from "../../core/wake.js";
import type { Comparison } from "../../platform/store.js";
import type { WorkerControl } from "../../platform/worker.js";
import type { AttemptEnd, Policy, QuotaSlice } from "../../policy/policy.js";
import type { Configuration } from "../../rules/rule.js";
import type { CellMap } from "../cells.js";
import type { CreditHooks } from "../hooks.js";
import type { Assignments } from "../jobs/assignments.js";
import type { Overflow } from "../jobs/overflow.js";
import { listPlacements } from "../jobs/spec.js";
import type { Journal } from "../ledger/journal.js";
import type { Ledger } from "../ledger/ledger.js";
import type { SchedulerMetrics } from "../metrics.js";
import { createRouteTable, deriveRoutes } from "../routes.js";
import type { RouteTable } from "../routes.js";
import type { CellSettings } from "../settings.js";
import { createCommandQueue } from "./commands.js";
import type { Command } from "./commands.js";
import { createCrew } from "./crew.js";
import { takeIn } from "./intake.js";
import type { WorkerEvent, WorkerLink } from "./link.js";
import { createPace } from "./pace.js";
import { planAndDecide } from "./planning.js";
import { silenceLimit } from "./renewing.js";
import { forgetEnded } from "./transitions.js";
import { buildView } from "./view.js";
import type { ViewInput } from "./view.js";

const SWEEP_INTERVAL_MILLISECONDS = 5_000;

/** Why a cell's task ended. */
export type CellEnd = "fenced" | "released" | "aborted";

/** What the owner of a cell needs. */
export interface CellOptions {
    readonly map: CellMap;
    readonly journal: Journal;
    readonly ledger: Ledger;
    readonly owner: string;
    readonly settings: CellSettings;
    readonly workers: WorkerControl;
    readonly policy: Policy;
    readonly credits: CreditHooks;
    readonly clock: Clock;
    readonly metrics: SchedulerMetrics;
    readonly logger: Logger;
    configuration(): Configuration | undefined;
    readonly assignments: Pick<Assignments, "find" | "version">;
    readonly overflow: Overflow;
    quotas(ledger: Ledger, configuration: Configuration): readonly QuotaSlice[];
    /** Routes of the cell have changed. */
    onRoutes(): void;
}

/** An owned cell. */
export interface Cell {
    readonly name: string;
    readonly routes: RouteTable;
    readonly ledger: Ledger;
    readonly links: ReadonlyMap<string, WorkerLink>;
    readonly policy: Policy;
    readonly overflow: Overflow;
    epoch(): number;
    /** Holds in the store as long as this process owns the cell and commits nothing more. */
    readonly fence: () => Comparison;
    /** Until when leases may be renewed without the store. */
    horizonMilliseconds(): number;
    view(now: number): ReturnType<typeof buildView>;
    /** Takes in the newest instance list. */
    updateMap(map: CellMap, now: number): void;
    /** Carries a command out with the next commit; resolves once it is committed, false where it was not. */
    command(command: Command): Promise<boolean>;
    /** Gives the cell up with its last commit. */
    release(): void;
    run(signal: AbortSignal): Promise<CellEnd>;
}

/** Creates the owner's side of a claimed cell. */
export function createCell(options: CellOptions): Cell {
    const { settings, ledger, journal, clock, policy, overflow } = options;
    const name = options.map.cell;
    const takenAt = clock();
    const routes = createRouteTable(name, journal.head().epoch);
    const inbox: WorkerEvent[] = [];
    const commands = createCommandQueue();
    const ended = new AbortController();
    setMaxListeners(0, ended.signal);
    const wake = createWake();
    const pace = createPace();
    let end: CellEnd | undefined;
    let releasing = false;
    let sweepAt = 0;
    let configuration: Configuration | undefined;

    const finish = (reason: CellEnd) => {
        end ??= reason;
        ended.abort();
        wake.wake();
    };

    const crew = createCrew({
        ledger,
        header: { cell: name, owner: options.owner, epoch: journal.head().epoch },
        settings,
        workers: options.workers,
        clock,
        horizon: () => journal.head().horizonMilliseconds,
        emit: event => {
            inbox.push(event);
        },
        onReport: (report, now) => {
            policy.observeReport(report, now);
            options.credits.observeConnections(name, report, now);
        },
        onFenced: () => finish("fenced"),
    }, ended.signal);
    const { links } = crew;

    const viewInput = (): ViewInput => ({
        cell: name,
        ledger,
        links,
        placements: configuration === undefined ? [] : listPlacements(configuration, clock()),
        quotas: configuration === undefined ? [] : options.quotas(ledger, configuration),
        silentAfterMilliseconds: silenceLimit(settings),
    });

    const observe = (now: number) =>
        takeIn(
            {
                ledger,
                links,
                settings,
                backOff: settings,
                takenAtMilliseconds: takenAt,
                predecessorsEndMilliseconds: journal.head().predecessorsEndMilliseconds,
                dropWorker: worker => crew.drop(worker),
                onEnd: (attemptEnd: AttemptEnd) => {
                    options.metrics.attemptsEnded.inc({ outcome: attemptEnd.outcome });
                    policy.observeEnd(attemptEnd, now);
                },
            },
            inbox.splice(0),
            now,
        );

    const decide = (now: number) => {
        configuration = options.configuration();
        if (configuration !== undefined) {
            const hasWaiting = planAndDecide({
                cell: name,
                ledger,
                links,
                settings,
                configuration,
                findAssignment: options.assignments.find,
                overflow,
                policy,
                metrics: options.metrics,
                buildView: at => buildView(viewInput(), at),
            }, now);
            pace.noteDecided(hasWaiting, now);
        }
        if (now >= sweepAt) {
            sweepAt = now + SWEEP_INTERVAL_MILLISECONDS;
            forgetEnded(ledger, settings, now, overflow.isBound);
        }
    };

    const commit = async (): Promise<Failure | undefined> => {
        const now = clock();
        const renewHorizon = now > journal.head().horizonMilliseconds - settings.horizonMilliseconds * 2 / 3;
        const alongside = overflow.writes();
        if (!ledger.hasChanges() && alongside.length === 0 && !renewHorizon && !releasing) {
            return undefined;
        }
        const { workers } = ledger.changes();
        const committed = await journal.commit({
            ledger,
            now,
            horizonMilliseconds: settings.horizonMilliseconds,
            release: releasing,
            alongside,
            signal: ended.signal,
        });
        options.metrics.commits.inc({ outcome: committed.isOk ? "committed" : committed.error.code });
        if (committed.isErr) {
            return committed.error;
        }
        overflow.markCommitted();
        publish();
        workers.forEach(worker => crew.wake(worker));
        return undefined;
    };

    const publish = () => {
        const serving = (link: WorkerLink) =>
            link.listed && link.instance.state === "live" && !ledger.drains.has(link.instance.name);
        if (routes.update(deriveRoutes(name, ledger, links, serving))) {
            options.onRoutes();
        }
    };

    const round = async (): Promise<void> => {
        const now = clock();
        observe(now);
        commands.carryOut(ledger, now);
        const version = `${options.assignments.version()}/${overflow.version()}/${
            options.configuration()?.revision ?? 0
        }`;
        if (!releasing && pace.isDue({ now, isBusy: ledger.hasChanges(), version })) {
            decide(now);
        }
        if (ledger.hasChanges()) {
            pace.hurry();
        }
        const failure = await commit();
        if (failure === undefined) {
            commands.settleCommitted();
            if (releasing) {
                finish("released");
            }
            return;
        }
        options.logger.warn("commit failed", { cell: name, failure });
        if (failure.code === "conflict" || failure.code === "ambiguous") {
            finish("fenced");
        }
    };

    return {
        name,
        routes,
        ledger,
        links,
        policy,
        overflow,
        fence: () => journal.fence(),
        epoch: () => journal.head().epoch,
        horizonMilliseconds: () => journal.head().horizonMilliseconds,
        view: now => buildView(viewInput(), now),
        updateMap(map, now) {
            if (crew.update(map.workers, now)) {
                pace.hurry();
                publish();
                options.credits.updateWorkers(name, map.workers, now);
            }
        },
        command: command => end === undefined ? commands.push(command) : Promise.resolve(false),
        release() {
            releasing = true;
            wake.wake();
        },
        async run(signal) {
            const abort = () => finish("aborted");
            signal.addEventListener("abort", abort, { once: true });
            options.credits.takeCell(name, journal.head().epoch, options.map.workers, takenAt);
            crew.update(options.map.workers, takenAt);
            publish();
            while (end === undefined && !signal.aborted) {
                await round();
                await wake.wait(settings.commitIntervalMilliseconds, ended.signal);
            }
            signal.removeEventListener("abort", abort);
            finish("aborted");
            commands.settleLost();
            options.credits.dropCell(name);
            await crew.settled();
            return end ?? "aborted";
        },
    };
}
