/**
 * Assigns a replica and a connection to each request, or queues it until its deadline.
 */
import { Result } from "true-myth/result";
import type { Route } from "../../core/messages/routes.js";
import type { Random } from "../../core/random.js";
import type { Clock } from "../../core/time.js";
import { reasons } from "../counters.js";
import { notRun } from "../refusal.js";
import type { Refusal } from "../refusal.js";
import { nameAttempt } from "../routes/table.js";
import type { RouteTable } from "../routes/table.js";
import type { RequestSettings } from "../settings.js";
import { chooseReplica } from "../upstream/choose-replica.js";
import type { Connection } from "../upstream/connections.js";
import { createReplicaHealth, decayHealth, findOutliers, isEligible, observeOutcome } from "../upstream/health.js";
import type { ReplicaHealth, ReplicaOutcome } from "../upstream/health.js";
import type { UpstreamPool } from "../upstream/pool.js";
import { createConcurrencyLimit } from "./concurrency-limit.js";
import type { ConcurrencyLimit } from "./concurrency-limit.js";
import { createWaitQueue } from "./queue.js";
import type { WaitQueue } from "./queue.js";
import { createRecentConcurrency } from "./recent-concurrency.js";
import type { RecentConcurrency } from "./recent-concurrency.js";

/** Request for a replica and a connection. */
export interface AcquireRequest {
    readonly service: string;
    readonly priority: number;
    readonly deadlineMilliseconds: number;
    /** Replicas that have refused the request. */
    readonly tried: ReadonlySet<Route>;
    /** True once nobody can read the answer any more. */
    readonly hasCallerLeft: () => boolean;
}

/** A replica and a connection reserved for one attempt until `finish`. */
export interface Reservation {
    readonly route: Route;
    readonly connection: Connection;
    readonly startedAtMilliseconds: number;
}

/** Assigns replicas and connections to requests. */
export interface UpstreamSelector {
    acquire(request: AcquireRequest, now: number): Promise<Result<Reservation, Refusal>>;
    /** Whether an eligible replica exists that has not refused the request. */
    hasUntried(request: AcquireRequest, now: number): boolean;
    /** Ends a reservation; the connection is reused only after a complete answer. */
    finish(reservation: Reservation, outcome: ReplicaOutcome, now: number): void;
    /** Health of a replica. */
    healthOf(route: Route): ReplicaHealth;
    /** Retries waiting requests after routes or credits have changed. */
    retryWaiting(now: number): void;
    /** Expires waiting requests, updates outliers, and removes the state of replicas without routes. */
    sweep(now: number): void;
    waiting(): number;
    /** Number of connections that waiting requests need on a worker. */
    demand(worker: string): number;
}

/** Options of the selector. */
export interface SelectorOptions {
    readonly settings: RequestSettings;
    readonly table: RouteTable;
    readonly pool: UpstreamPool;
    readonly clock: Clock;
    readonly random: Random;
    /** Called when a circuit breaker opens. */
    onBreakerOpen(route: Route): void;
    /** Called when a request is queued; the gateway may need more credits. */
    onShortage(): void;
}

interface ServiceState {
    readonly limit: ConcurrencyLimit;
    readonly queue: WaitQueue;
    readonly recentConcurrency: RecentConcurrency;
    inFlight: number;
    outliers: ReadonlySet<Route>;
}

const SMALLEST_LATENCY_MILLISECONDS = 0.1;
/** Time before its deadline that a request needs to be sent, as a multiple of the mean latency. */
const NEEDED_TIME_IN_LATENCIES = 2;
/** Added cost of a replica that always fails, as a multiple of its cost without failures. */
const FAILURE_PENALTY = 30;

type AcquireOutcome = Reservation | "no-replica" | "breakers-open" | "no-place";

/** Creates a selector without waiting requests. */
export function createUpstreamSelector(options: SelectorOptions): UpstreamSelector {
    return new Selector(options);
}

class Selector implements UpstreamSelector {
    private readonly services = new Map<string, ServiceState>();
    private health = new Map<string, ReplicaHealth>();

    constructor(private readonly options: SelectorOptions) {}

    async acquire(request: AcquireRequest, now: number): Promise<Result<Reservation, Refusal>> {
        const state = this.getServiceState(request.service);
        if (state.queue.lengthBefore(request.priority) === 0) {
            const outcome = this.tryAcquire(request, state, now);
            if (outcome === "no-replica") {
                return Result.err(
                    notRun(503, reasons.noUpstream, "the routes contain no serving replica of the service"),
                );
            }
            if (outcome === "breakers-open") {
                return Result.err(
                    notRun(
                        503,
                        reasons.circuitOpen,
                        "every replica of the service is leaving, has an open circuit breaker or has refused the request",
                    ),
                );
            }
            if (outcome !== "no-place") {
                return Result.ok(outcome);
            }
        }
        if (this.options.settings.shedding && this.wouldMissDeadline(request, state, now)) {
            return Result.err(notRun(503, reasons.queueFull, "the estimated time in the queue exceeds the deadline"));
        }
        return this.wait(request, state);
    }

    hasUntried({ service, tried }: AcquireRequest, now: number): boolean {
        const routes = this.options.table.find(service);
        return [...routes?.near ?? [], ...routes?.far ?? []].some(route =>
            !tried.has(route) && isEligible(this.healthOf(route), this.options.settings, now)
        );
    }

    finish(reservation: Reservation, outcome: ReplicaOutcome, now: number): void {
        const { route, connection } = reservation;
        const state = this.getServiceState(route.service);
        const health = this.healthOf(route);
        const connections = this.options.pool.find(route.worker);
        state.inFlight -= 1;
        health.inFlight -= 1;
        const latency = now - reservation.startedAtMilliseconds;
        if (outcome === "failed" || outcome === "timed-out" || outcome === "unused") {
            connections?.discard(connection);
        }
        else {
            connections?.release(connection, now);
        }
        if (connections === undefined) {
            void connection.client.destroy();
        }
        if (outcome === "answered") {
            state.limit.observe(latency, state.inFlight + 1);
        }
        if (outcome === "timed-out") {
            state.limit.observeTimeout();
        }
        if (observeOutcome(health, outcome, latency, this.options.settings, now)) {
            this.options.onBreakerOpen(route);
        }
        this.retryWaiting(now);
    }

    healthOf(route: Route): ReplicaHealth {
        const name = nameAttempt(route);
        let health = this.health.get(name);
        if (health === undefined) {
            health = createReplicaHealth(this.options.settings);
            this.health.set(name, health);
        }
        return health;
    }

    retryWaiting(now: number): void {
        for (const state of this.services.values()) {
            if (state.queue.length() > 0) {
                state.queue.advance(now, this.neededMilliseconds(state));
            }
        }
    }

    sweep(now: number): void {
        const routes = this.options.table.all();
        const names = new Set(routes.map(nameAttempt));
        this.health = new Map([...this.health].filter(([name, { inFlight }]) => names.has(name) || inFlight > 0));
        for (const [service, state] of this.services) {
            state.queue.expire(now, this.neededMilliseconds(state));
            state.recentConcurrency.decay();
            const serving = routes.filter(route => route.service === service && route.state === "serving");
            const meanLatency = state.limit.meanLatencyMilliseconds();
            serving.forEach(route => decayHealth(this.healthOf(route), meanLatency));
            state.outliers = new Set(
                findOutliers(serving, route => this.healthOf(route), this.options.settings.ejectedShare),
            );
        }
        this.retryWaiting(now);
    }

    waiting(): number {
        return [...this.services.values()].reduce((sum, state) => sum + state.queue.length(), 0);
    }

    demand(worker: string): number {
        let demand = 0;
        for (const [service, state] of this.services) {
            const waiting = Math.min(state.queue.length(), state.limit.current() - state.inFlight);
            const routes = waiting > 0 ? this.options.table.find(service) : undefined;
            const replicas = [...routes?.near ?? [], ...routes?.far ?? []];
            const onWorker = replicas.filter(route => route.worker === worker).length;
            demand += onWorker === 0 ? 0 : waiting * onWorker / replicas.length;
        }
        return Math.ceil(demand);
    }

    private getServiceState(service: string): ServiceState {
        let state = this.services.get(service);
        if (state === undefined) {
            state = {
                limit: createConcurrencyLimit(this.options.settings),
                queue: createWaitQueue(),
                recentConcurrency: createRecentConcurrency(),
                inFlight: 0,
                outliers: new Set(),
            };
            this.services.set(service, state);
        }
        return state;
    }

    private tryAcquire(request: AcquireRequest, state: ServiceState, now: number): AcquireOutcome {
        const { settings, table, pool, random } = this.options;
        const routes = table.find(request.service);
        if (routes === undefined) {
            return "no-replica";
        }
        if (settings.shedding && state.inFlight >= state.limit.current()) {
            return "no-place";
        }
        const mayUse = (replica: Route) =>
            !request.tried.has(replica) && isEligible(this.healthOf(replica), settings, now);
        const route = chooseReplica(
            routes.near,
            routes.far,
            {
                isAvailable: replica =>
                    mayUse(replica) && !state.outliers.has(replica)
                    && pool.find(replica.worker)?.available(now) === true,
                cost: replica => this.costOf(replica, state),
            },
            settings.spillFactor,
            random,
        );
        if (route === undefined) {
            const isUsable = routes.near.some(mayUse) || routes.far.some(mayUse);
            return isUsable ? "no-place" : "breakers-open";
        }
        const connection = pool.find(route.worker)?.acquire(now);
        if (connection === undefined) {
            return "no-place";
        }
        state.inFlight += 1;
        state.recentConcurrency.observe(state.inFlight);
        this.healthOf(route).inFlight += 1;
        return { route, connection, startedAtMilliseconds: now };
    }

    private costOf(route: Route, state: ServiceState): number {
        const { inFlight, latencyMilliseconds, failureShare } = this.healthOf(route);
        // A replica that refuses every request has low latency; without the penalty it would attract more requests.
        const penalty = 1 + FAILURE_PENALTY * failureShare;
        const latency = latencyMilliseconds === 0 ? state.limit.meanLatencyMilliseconds() : latencyMilliseconds;
        return (inFlight + 1) * Math.max(latency, SMALLEST_LATENCY_MILLISECONDS) * penalty;
    }

    /** Estimates the wait from the number of requests ahead, the concurrency and the mean latency. */
    private wouldMissDeadline(request: AcquireRequest, state: ServiceState, now: number): boolean {
        const concurrency = Math.min(state.limit.current(), state.recentConcurrency.current());
        const rounds = state.queue.lengthBefore(request.priority) / concurrency;
        const expectedWait = rounds * state.limit.meanLatencyMilliseconds();
        return now + expectedWait + this.neededMilliseconds(state) > request.deadlineMilliseconds;
    }

    /** Time that a request needs before its deadline; with less, it would usually time out at the upstream. */
    private neededMilliseconds(state: ServiceState): number {
        return this.options.settings.shedding ? NEEDED_TIME_IN_LATENCIES * state.limit.meanLatencyMilliseconds() : 0;
    }

    private wait(request: AcquireRequest, state: ServiceState): Promise<Result<Reservation, Refusal>> {
        // While queued, the request may also use replicas that have refused it before.
        const requestForAnyReplica = { ...request, tried: new Set<Route>() };
        this.options.onShortage();
        return new Promise(resolve => {
            state.queue.add({
                priority: request.priority,
                deadlineMilliseconds: request.deadlineMilliseconds,
                tryStart: now => {
                    if (request.hasCallerLeft()) {
                        resolve(Result.err(notRun(503, reasons.callerLeft, "the caller left while it was queued")));
                        return true;
                    }
                    const outcome = this.tryAcquire(requestForAnyReplica, state, now);
                    if (typeof outcome === "string") {
                        return false;
                    }
                    resolve(Result.ok(outcome));
                    return true;
                },
                expire: () =>
                    resolve(
                        Result.err(
                            notRun(
                                503,
                                reasons.deadlinePassed,
                                "too little time remained before the deadline while the request was queued",
                            ),
                        ),
                    ),
            });
        });
    }
}
