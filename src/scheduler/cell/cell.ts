/**
 * Owner's task of one cell: observes, plans, decides, and commits all of an interval's transitions together.
 */
import type { Failure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import type { Clock } from "../../core/time.js";
import type { WorkerControl } from "../../platform/worker.js";
import type { AttemptEnd, Policy, QuotaSlice } from "../../policy/policy.js";
import type { Configuration, PlacementRule } from "../../rules/rule.js";
import type { CellMap } from "../cells.js";
import type { CreditHooks } from "../hooks.js";
import { planCell } from "../jobs/plan.js";
import type { PlanInput } from "../jobs/plan.js";
import type { Journal } from "../ledger/journal.js";
import type { Ledger } from "../ledger/ledger.js";
import type { SchedulerMetrics } from "../metrics.js";
import { createRouteTable, deriveRoutes } from "../routes.js";
import type { RouteTable } from "../routes.js";
import type { CellSettings } from "../settings.js";
import { createWake } from "../wake.js";
import type { Wake } from "../wake.js";
import { applyDecisions } from "./decide.js";
import { moveOff } from "./drain.js";
import { createLink } from "./link.js";
import type { WorkerEvent, WorkerLink } from "./link.js";
import { leasesEndAt, observeEvent } from "./observe.js";
import { buildView, stateOf } from "./view.js";
import type { ViewInput } from "./view.js";
import { runWorker } from "./worker.js";

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
    cells(): readonly CellMap[];
    dueRun: PlanInput["dueRun"];
    quotas(ledger: Ledger, configuration: Configuration): readonly QuotaSlice[];
    /** Routes of the cell have changed. */
    onRoutes(): void;
}

/** A change that an operator has asked for; carried out by the cell's own task. */
export type Command = (ledger: Ledger, now: number) => void;

/** An owned cell. */
export interface Cell {
    readonly name: string;
    readonly routes: RouteTable;
    readonly ledger: Ledger;
    readonly links: ReadonlyMap<string, WorkerLink>;
    readonly policy: Policy;
    epoch(): number;
    view(now: number): ReturnType<typeof buildView>;
    /** Takes in the newest instance list. */
    updateMap(map: CellMap, now: number): void;
    /** Carries a command out with the next commit; resolves once it is committed, false where it was not. */
    command(command: Command): Promise<boolean>;
    /** Gives the cell up with its last commit. */
    release(): void;
    run(signal: AbortSignal): Promise<CellEnd>;
}

interface WaitingCommand {
    readonly command: Command;
    readonly settle: (committed: boolean) => void;
}

/** Creates the owner's side of a claimed cell. */
export function createCell(options: CellOptions): Cell {
    const { settings, ledger, journal, clock, policy } = options;
    const name = options.map.cell;
    const links = new Map<string, WorkerLink>();
    const wakes = new Map<string, Wake>();
    const stops = new Map<string, AbortController>();
    const routes = createRouteTable(name, journal.head().epoch);
    const inbox: WorkerEvent[] = [];
    const commands: WaitingCommand[] = [];
    const ended = new AbortController();
    const wake = createWake();
    let end: CellEnd | undefined;
    let releasing = false;
    let configuration: Configuration | undefined;
    const tasks = new Set<Promise<void>>();

    const viewInput = (): ViewInput => ({
        cell: name,
        ledger,
        links,
        placements: placementsOf(configuration),
        quotas: configuration === undefined ? [] : options.quotas(ledger, configuration),
        silentAfterMilliseconds: 2 * settings.renewIntervalMilliseconds,
    });
    const isLive = (link: WorkerLink) => stateOf(viewInput(), link, clock()) === "live";

    const finish = (reason: CellEnd) => {
        end ??= reason;
        ended.abort();
        wake.wake();
    };

    const startWorker = (link: WorkerLink, signal: AbortSignal) => {
        const { name: worker } = link.instance;
        const stop = new AbortController();
        const workerWake = createWake();
        stops.set(worker, stop);
        wakes.set(worker, workerWake);
        const task = runWorker({
            link,
            ledger,
            header: { cell: name, owner: options.owner, epoch: journal.head().epoch },
            settings,
            workers: options.workers,
            clock,
            wake: workerWake,
            horizon: () => journal.head().horizonMilliseconds,
            emit: event => {
                inbox.push(event);
            },
            onReport: (report, now) => {
                policy.observeReport(report, now);
                options.credits.observeConnections(name, report, now);
            },
            onFenced: () => finish("fenced"),
        }, AbortSignal.any([signal, stop.signal]));
        tasks.add(task);
        void task.finally(() => tasks.delete(task));
    };

    const dropWorker = (worker: string) => {
        stops.get(worker)?.abort();
        stops.delete(worker);
        wakes.delete(worker);
        links.delete(worker);
    };

    const observe = (now: number) => {
        const input = {
            ledger,
            backOff: settings,
            onEnd: (attemptEnd: AttemptEnd) => {
                options.metrics.attemptsEnded.inc({ outcome: attemptEnd.outcome });
                policy.observeEnd(attemptEnd, now);
            },
        };
        for (const event of inbox.splice(0)) {
            observeEvent(input, event, now);
        }
        const silence = { ...settings, predecessorsEndMilliseconds: journal.head().predecessorsEndMilliseconds };
        for (const link of [...links.values()]) {
            if (now >= leasesEndAt(silence, link) && ledger.committedOn(link.instance.name).length > 0) {
                observeEvent(input, { kind: "lost", worker: link.instance.name, reason: "its lease lapsed" }, now);
            }
            if (!link.listed && ledger.committedOn(link.instance.name).length === 0) {
                dropWorker(link.instance.name);
            }
        }
    };

    const decide = (now: number) => {
        configuration = options.configuration();
        if (configuration === undefined) {
            return;
        }
        planCell({ cell: name, cells: options.cells(), configuration, ledger, dueRun: options.dueRun }, now);
        moveOffWorkers(now);
        const decisions = policy.decide(buildView(viewInput(), now), now);
        applyDecisions(
            {
                ledger,
                links,
                isLive,
                onRejected: (decision, reason) =>
                    options.metrics.decisionsRejected.inc({ kind: decision.kind, reason }),
            },
            decisions,
            now,
        );
    };

    const moveOffWorkers = (now: number) => {
        for (const link of links.values()) {
            const state = stateOf(viewInput(), link, now);
            if (state === "leaving" || state === "draining") {
                moveOff(ledger, link.instance.name, state, now);
            }
        }
    };

    const commit = async (signal: AbortSignal): Promise<Failure | undefined> => {
        const now = clock();
        const renewHorizon = now > journal.head().horizonMilliseconds - settings.horizonMilliseconds * 2 / 3;
        if (!ledger.hasChanges() && !renewHorizon && !releasing) {
            return undefined;
        }
        const committed = await journal.commit({
            ledger,
            now,
            horizonMilliseconds: settings.horizonMilliseconds,
            release: releasing,
            signal,
        });
        options.metrics.commits.inc({ outcome: committed.isOk ? "committed" : committed.error.code });
        return committed.isErr ? committed.error : undefined;
    };

    const publish = () => {
        const serving = (link: WorkerLink) =>
            link.listed && link.instance.state === "live" && !ledger.drains.has(link.instance.name);
        if (routes.update(deriveRoutes(name, ledger, links, serving))) {
            options.onRoutes();
        }
        wakes.forEach(workerWake => workerWake.wake());
    };

    const round = async (signal: AbortSignal): Promise<void> => {
        const now = clock();
        observe(now);
        const taken = commands.splice(0);
        taken.forEach(({ command }) => command(ledger, now));
        if (!releasing) {
            decide(now);
        }
        const failure = await commit(signal);
        if (failure === undefined) {
            taken.forEach(({ settle }) => settle(true));
            publish();
            if (releasing) {
                finish("released");
            }
            return;
        }
        options.logger.warn("commit failed", { cell: name, failure });
        if (failure.code === "conflict" || failure.code === "ambiguous") {
            taken.forEach(({ settle }) => settle(false));
            finish("fenced");
            return;
        }
        // The draft keeps its changes, so the next commit that succeeds settles these commands too.
        commands.unshift(...taken.map(({ settle }) => ({ command: () => undefined, settle })));
    };

    return {
        name,
        routes,
        ledger,
        links,
        policy,
        epoch: () => journal.head().epoch,
        view: now => buildView(viewInput(), now),
        updateMap(map, now) {
            const listed = new Map(map.workers.map(worker => [worker.name, worker]));
            for (const link of links.values()) {
                const instance = listed.get(link.instance.name);
                link.listed = instance !== undefined;
                link.instance = instance ?? link.instance;
            }
            for (const instance of map.workers) {
                if (!links.has(instance.name)) {
                    const link = createLink(instance, now);
                    links.set(instance.name, link);
                    startWorker(link, ended.signal);
                }
            }
            options.credits.updateWorkers(name, map.workers, now);
        },
        command(command) {
            return new Promise(settle => {
                if (end !== undefined) {
                    settle(false);
                    return;
                }
                commands.push({ command, settle });
            });
        },
        release() {
            releasing = true;
            wake.wake();
        },
        async run(signal) {
            const abort = () => finish("aborted");
            signal.addEventListener("abort", abort, { once: true });
            options.credits.takeCell(name, journal.head().epoch, options.map.workers, clock());
            this.updateMap(options.map, clock());
            publish();
            while (end === undefined && !signal.aborted) {
                await round(ended.signal);
                await wake.wait(settings.commitIntervalMilliseconds, ended.signal);
            }
            signal.removeEventListener("abort", abort);
            ended.abort();
            commands.splice(0).forEach(({ settle }) => settle(false));
            options.credits.dropCell(name);
            await Promise.all(tasks);
            return end ?? "aborted";
        },
    };
}

function placementsOf(configuration: Configuration | undefined): PlacementRule[] {
    return configuration?.documents.flatMap(document =>
        document.rules.flatMap(rule => rule.kind === "allow" || rule.kind === "deny" ? [rule] : [])
    ) ?? [];
}
