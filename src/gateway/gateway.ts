/**
 * The gateway: answers callers' requests through the replicas of services.
 */
import express from "express";
import type { Router } from "express";
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import type { buildConnector } from "undici";
import type { ListenAddress } from "../core/http.js";
import type { Logger } from "../core/log.js";
import { nameHolder } from "../core/messages/credits.js";
import type { Route } from "../core/messages/routes.js";
import type { Metrics } from "../core/metrics.js";
import type { Part } from "../core/part.js";
import type { Random } from "../core/random.js";
import { requireToken } from "../core/rpc.js";
import type { RpcClient } from "../core/rpc.js";
import { pause } from "../core/time.js";
import type { Clock } from "../core/time.js";
import type { MembershipSource } from "../membership/member.js";
import type { Configuration, ConfigurationSource, ServiceRule } from "../rules/rule.js";
import { createRetryBudget } from "./admission/retry-budget.js";
import type { RetryBudget } from "./admission/retry-budget.js";
import { createUpstreamSelector } from "./admission/selector.js";
import { listenForCallers } from "./callers/server.js";
import type { CallersServer } from "./callers/server.js";
import { createRequestCounters } from "./counters.js";
import { createCreditClient } from "./credits/client.js";
import { createCellOwners } from "./credits/owners.js";
import { createPeerForwarder, FORWARD_PATH, restoreCallerHeaders } from "./forward.js";
import type { Guard } from "./guard.js";
import { runRouteReader } from "./routes/reader.js";
import { createRouteTable, nameAttempt } from "./routes/table.js";
import { serve } from "./serve.js";
import type { ServeOptions } from "./serve.js";
import type { RequestSettings } from "./settings.js";
import { markLeaving, openBreaker } from "./upstream/health.js";
import { createLeavingAnnouncements } from "./upstream/leaving-announcements.js";
import { createUpstreamPool } from "./upstream/pool.js";
import { createProber } from "./upstream/probe.js";

const SWEEP_MILLISECONDS = 100;
const DRAIN_STEP_MILLISECONDS = 20;

/** Which process the gateway is. */
export interface GatewayIdentity {
    readonly instance: string;
    readonly dataCentre: string;
    /** Differs after each start. */
    readonly incarnation: string;
}

/** What the gateway is made of. */
export interface GatewayOptions {
    readonly identity: GatewayIdentity;
    readonly settings: RequestSettings;
    readonly configuration: ConfigurationSource;
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    readonly guards: readonly Guard[];
    readonly peerToken: string;
    /** Opens connections to other gateways; plain HTTP by default. */
    readonly peerConnector?: buildConnector.connector | undefined;
    readonly clock: Clock;
    readonly random: Random;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** The gateway as the wiring sees it. */
export interface Gateway extends Part {
    /** Serves the callers' port. */
    readonly listener: RequestListener;
    /** Serves requests that other gateways pass on; belongs on the peers' port. */
    readonly peerListener: Router;
    /** Opens the callers' port with the limits of the settings. */
    listenForCallers(address: ListenAddress): Promise<CallersServer>;
    /** The gateway knows a configuration, has read routes, and is not stopping. */
    ready(): boolean;
    /** Requests that wait for a place. */
    waiting(): number;
    /** Replicas of a service that may get requests, as far as routes tell. */
    servingReplicas(service: string): number;
    /** Times that circuit breakers have opened. */
    breakersOpened(): number;
    /** Stops gracefully: closes callers' connections after their answers, waits for requests under way. */
    drain(limitMilliseconds: number): Promise<void>;
}

/** Creates a gateway. */
export function createGateway(options: GatewayOptions): Gateway {
    const { identity, settings, configuration, clock, random, logger } = options;
    const counters = createRequestCounters(options.metrics);
    const table = createRouteTable({ ...identity, subset: settings.subset });
    const pool = createUpstreamPool({ ...settings, clock });
    const owners = createCellOwners();
    const budgets = new Map<string, RetryBudget>();
    let rules = indexRules(configuration.current());
    let stopping = false;
    let inFlight = 0;
    let breakersOpened = 0;
    const recordBreakerOpen = (route: Route) => {
        breakersOpened += 1;
        counters.countBreakerOpen(route.service);
        logger.warn("breaker-open", { service: route.service, peer: route.worker });
    };
    const selector = createUpstreamSelector({
        settings,
        table,
        pool,
        clock,
        random,
        onBreakerOpen: recordBreakerOpen,
        onShortage: () => credits.renewNow(),
    });
    const credits = createCreditClient({
        ...identity,
        rpc: options.rpc,
        pool,
        owners,
        clock,
        random,
        logger,
        routes: () => table.all(),
        demandOn: worker => selector.demand(worker),
        onChange: () => selector.retryWaiting(clock()),
    });
    const holder = nameHolder(identity.instance, identity.incarnation);
    const prober = createProber({
        holder,
        pool,
        clock,
        logger,
        probeTimeoutMilliseconds: settings.probeTimeoutMilliseconds,
        onUnresponsive: worker => {
            for (const route of table.all().filter(one => one.worker === worker)) {
                openBreaker(selector.healthOf(route), settings, clock());
                recordBreakerOpen(route);
            }
        },
    });
    const leavingAnnouncements = createLeavingAnnouncements({
        membership: options.membership,
        rpc: options.rpc,
        clock,
        leavingMilliseconds: settings.leavingMilliseconds,
        logger,
        onAnnounced: attempt => {
            for (const route of table.all().filter(one => nameAttempt(one) === attempt)) {
                markLeaving(selector.healthOf(route), settings, clock());
            }
            counters.countLeaving("gateway");
        },
    });
    const forwarder = createPeerForwarder({
        peerToken: options.peerToken,
        connector: options.peerConnector,
        settings,
        clock,
    });
    const budgetOf = (service: string): RetryBudget => {
        let budget = budgets.get(service);
        if (budget === undefined) {
            budget = createRetryBudget(settings);
            budgets.set(service, budget);
        }
        return budget;
    };
    const serveOptions: ServeOptions = {
        settings,
        guards: options.guards,
        attempts: {
            holder,
            settings,
            selector,
            counters,
            clock,
            random,
            budgetOf,
            onTimeout: (route, startedAt) => prober.probeAfterTimeout(route.worker, startedAt),
            onLeaving: route => {
                counters.countLeaving("replica");
                leavingAnnouncements.announce(nameAttempt(route));
            },
        },
        forwarder,
        counters,
        clock,
        logger,
        findRule: service => rules.get(service),
        isConfigured: () => configuration.current() !== undefined,
    };
    const handle = async (incoming: IncomingMessage, response: ServerResponse, url: string, forwarded: boolean) => {
        inFlight += 1;
        if (stopping) {
            response.setHeader("connection", "close");
        }
        response.once("close", () => {
            inFlight -= 1;
        });
        await serve(incoming, response, url, forwarded, serveOptions);
    };
    const peerListener = express.Router();
    peerListener.use(FORWARD_PATH, requireToken(options.peerToken), (incoming, response) => {
        restoreCallerHeaders(incoming);
        return handle(incoming, response, incoming.url, true);
    });
    const listener: RequestListener = (incoming, response) =>
        void handle(incoming, response, incoming.url ?? "/", false);
    return {
        handlers: [leavingAnnouncements.handler],
        listener,
        listenForCallers: address =>
            listenForCallers({
                listener,
                address,
                settings,
                logger,
                onMalformed: reason => counters.countRefusal(reason),
            }),
        peerListener,
        waiting: () => selector.waiting(),
        servingReplicas: service => {
            const routes = table.find(service);
            return (routes?.near.length ?? 0) + (routes?.far.length ?? 0);
        },
        breakersOpened: () => breakersOpened,
        ready: () => !stopping && configuration.current() !== undefined && table.isRead(),
        async run(signal) {
            const unsubscribe = configuration.onChange(current => {
                rules = indexRules(current);
            });
            rules = indexRules(configuration.current());
            const reader = runRouteReader({
                table,
                membership: options.membership,
                rpc: options.rpc,
                random,
                logger,
                waitMilliseconds: settings.routesWaitMilliseconds,
                owners,
                onChange: () => {
                    const now = clock();
                    pool.updateRoutes(table.all(), now);
                    credits.startCellTasks(signal);
                    credits.renewNow();
                    selector.retryWaiting(now);
                },
            }, signal);
            while (!signal.aborted) {
                pool.updateRoutes(table.all(), clock());
                credits.startCellTasks(signal);
                selector.sweep(clock());
                await pause(SWEEP_MILLISECONDS, signal);
            }
            unsubscribe();
            await reader;
            await pool.close();
            await credits.releaseAll();
            await forwarder.close();
        },
        async drain(limitMilliseconds) {
            stopping = true;
            const endsAt = clock() + limitMilliseconds;
            const acceptsUntil = Math.min(endsAt, clock() + settings.drainDelayMilliseconds);
            while (clock() < acceptsUntil || inFlight > 0 && clock() < endsAt) {
                await pause(DRAIN_STEP_MILLISECONDS);
            }
        },
    };
}

function indexRules(configuration: Configuration | undefined): Map<string, ServiceRule> {
    const rules = (configuration?.documents ?? []).flatMap(document => document.rules);
    return new Map(rules.filter(rule => rule.kind === "service").map(rule => [rule.name, rule]));
}
