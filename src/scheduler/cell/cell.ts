/**
 * The owner's loop for one cell: observes workers, plans, decides, and commits all transitions of an interval together.
 */
import { setMaxListeners } from "node:events";
import type { Failure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import { MILLISECONDS_PER_SECOND } from "../../core/time.js";
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
import { listPlacements, listRunnable } from "../jobs/spec.js";
import type { Journal } from "../ledger/journal.js";
import type { Ledger } from "../ledger/ledger.js";
import type { SchedulerMetrics } from "../metrics.js";
import { createRouteTable, deriveRoutes } from "../routes.js";
import type { RouteTable } from "../routes.js";
import type { CellSettings } from "../settings.js";
import { createCommandQueue } from "./commands.js";
import type { Command } from "./commands.js";
import { createDecisionTimer } from "./decision-timer.js";
import type { WorkerEvent, WorkerLink } from "./link.js";
import { observeWorkers } from "./observe-workers.js";
import { planAndDecide } from "./planning.js";
import { silenceLimit } from "./renewing.js";
import { removeEnded } from "./transitions.js";
import { buildView } from "./view.js";
import type { ViewInput } from "./view.js";
import { createWorkerSessions } from "./worker-sessions.js";

const CLEANUP_INTERVAL_MILLISECONDS = 5_000;

/** Why the owner's loop for a cell ended. */
export type CellEnd = "fenced" | "released" | "aborted";

/** Options of an owned cell. */
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
    /** Time of the last check in which the store named this scheduler as the owner. */
    confirmedAtMilliseconds(): number;
    quotas(ledger: Ledger, configuration: Configuration): readonly QuotaSlice[];
    /** Called when the routes of the cell have changed. */
    onRoutesChanged(): void;
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
    /** Store comparison that holds until the next commit to the cell's ledger, by this or another owner. */
    readonly fence: () => Comparison;
    /** Time until which leases may be renewed without reaching the store. */
    horizonMilliseconds(): number;
    view(now: number): ReturnType<typeof buildView>;
    /** Applies a new instance list. */
    updateMap(map: CellMap, now: number): void;
    /** Applies a command before the next commit; resolves to whether it was committed. */
    command(command: Command): Promise<boolean>;
    /** Releases the cell with a last commit. */
    release(): void;
    run(signal: AbortSignal): Promise<CellEnd>;
}

/** Creates a cell that has just been claimed. */
export function createCell(options: CellOptions): Cell {
    const { settings, ledger, journal, clock, policy, overflow } = options;
    const name = options.map.cell;
    const claimedAt = clock();
    const routes = createRouteTable(name, journal.head().epoch);
    const inbox: WorkerEvent[] = [];
    const commands = createCommandQueue();
    const ended = new AbortController();
    setMaxListeners(0, ended.signal);
    const wake = createWake();
    const decisionTimer = createDecisionTimer();
    let end: CellEnd | undefined;
    let isReleasing = false;
    let nextCleanupAt = 0;
    // Time at which the last commit that succeeded was sent.
    let committedAt = 0;
    let configuration: Configuration | undefined;

    const finish = (reason: CellEnd) => {
        end ??= reason;
        ended.abort();
        wake.wake();
    };

    const sessions = createWorkerSessions({
        ledger,
        header: { cell: name, owner: options.owner, epoch: journal.head().epoch },
        settings,
        workers: options.workers,
        clock,
        horizon: () => journal.head().horizonMilliseconds,
        mayStart: now =>
            now - Math.max(committedAt, options.confirmedAtMilliseconds())
                < settings.storeLeaseSeconds * MILLISECONDS_PER_SECOND,
        listRules: now => nameRunnable(options.configuration(), now),
        emit: event => {
            inbox.push(event);
        },
        onReport: (report, now) => {
            policy.observeReport(report, now);
            options.credits.observeConnections(name, report, now);
        },
        onFenced: () => finish("fenced"),
    }, ended.signal);
    const { links } = sessions;

    const viewInput = (): ViewInput => ({
        cell: name,
        ledger,
        links,
        placements: configuration === undefined ? [] : listPlacements(configuration, clock()),
        quotas: configuration === undefined ? [] : options.quotas(ledger, configuration),
        silentAfterMilliseconds: silenceLimit(settings),
    });

    const observe = (now: number) =>
        observeWorkers(
            {
                ledger,
                links,
                settings,
                backOff: settings,
                claimedAtMilliseconds: claimedAt,
                predecessorsEndMilliseconds: journal.head().predecessorsEndMilliseconds,
                dropWorker: worker => sessions.drop(worker),
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
            decisionTimer.recordDecision(hasWaiting, now);
        }
        if (now >= nextCleanupAt) {
            nextCleanupAt = now + CLEANUP_INTERVAL_MILLISECONDS;
            removeEnded(ledger, settings, now, overflow.hasTransfer);
        }
    };

    const commit = async (release: boolean): Promise<Failure | undefined> => {
        const now = clock();
        const renewHorizon = now > journal.head().horizonMilliseconds - settings.horizonMilliseconds * 2 / 3;
        const alongside = overflow.writes();
        if (!ledger.hasChanges() && alongside.length === 0 && !renewHorizon && !release) {
            return undefined;
        }
        const { workers } = ledger.changes();
        const committed = await journal.commit({
            ledger,
            now,
            horizonMilliseconds: settings.horizonMilliseconds,
            release,
            alongside,
            signal: ended.signal,
        });
        options.metrics.commits.inc({ outcome: committed.isOk ? "committed" : committed.error.code });
        if (committed.isErr) {
            return committed.error;
        }
        committedAt = now;
        overflow.markCommitted();
        publish();
        workers.forEach(worker => sessions.wake(worker));
        return undefined;
    };

    const publish = () => {
        const isServing = (link: WorkerLink) =>
            link.isListed && link.instance.state === "live" && !ledger.drains.has(link.instance.name);
        if (routes.update(deriveRoutes(name, ledger, links, isServing))) {
            options.onRoutesChanged();
        }
    };

    const runRound = async (): Promise<void> => {
        const now = clock();
        observe(now);
        commands.apply(ledger, now);
        const version = `${options.assignments.version()}/${overflow.version()}/${
            options.configuration()?.revision ?? 0
        }`;
        if (!isReleasing && decisionTimer.isDue({ now, isBusy: ledger.hasChanges(), version })) {
            decide(now);
        }
        if (ledger.hasChanges()) {
            decisionTimer.requestDecision();
        }
        // A release that is asked for during the commit is left to the next one.
        const release = isReleasing;
        const failure = await commit(release);
        if (failure === undefined) {
            commands.settleCommitted();
            if (release) {
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
            if (sessions.update(map.workers, now)) {
                decisionTimer.requestDecision();
                publish();
                options.credits.updateWorkers(name, map.workers, now);
            }
        },
        command: command => end === undefined ? commands.push(command) : Promise.resolve(false),
        release() {
            isReleasing = true;
            wake.wake();
        },
        async run(signal) {
            const abort = () => finish("aborted");
            signal.addEventListener("abort", abort, { once: true });
            options.credits.addCell(name, journal.head().epoch, options.map.workers, claimedAt);
            sessions.update(options.map.workers, claimedAt);
            publish();
            while (end === undefined && !signal.aborted) {
                await runRound();
                await wake.wait(settings.commitIntervalMilliseconds, ended.signal);
            }
            signal.removeEventListener("abort", abort);
            finish("aborted");
            commands.settleUncommitted();
            options.credits.removeCell(name);
            await sessions.ended();
            return end ?? "aborted";
        },
    };
}

function nameRunnable(configuration: Configuration | undefined, now: number): ReadonlySet<string> {
    return new Set(configuration === undefined ? [] : listRunnable(configuration, now).map(({ rule }) => rule.name));
}
