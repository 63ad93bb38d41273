/**
 * Gives each request a replica and a connection, or lets it wait for them until its deadline.
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
import { chooseReplica } from "../upstream/choose.js";
import type { Connection } from "../upstream/connections.js";
import { createReplicaHealth, fadeHealth, findOutliers, mayTry, observeVerdict } from "../upstream/health.js";
import type { ReplicaHealth, Verdict } from "../upstream/health.js";
import type { UpstreamPool } from "../upstream/pool.js";
import { createConcurrencyLimit } from "./limit.js";
import type { ConcurrencyLimit } from "./limit.js";
import { createRecentPlaces } from "./places.js";
import type { RecentPlaces } from "./places.js";
import { createWaitQueue } from "./queue.js";
import type { WaitQueue } from "./queue.js";

/** What a request needs. */
export interface Wanted {
    readonly service: string;
    readonly priority: number;
    readonly deadlineMilliseconds: number;
    /** Replicas that the request has been refused by. */
    readonly tried: ReadonlySet<Route>;
}

/** A replica and a connection, held until `finish`. */
export interface Lease {
    readonly route: Route;
    readonly connection: Connection;
    readonly startedAtMilliseconds: number;
}

/** Hands out leases. */
export interface UpstreamSelector {
    acquire(wanted: Wanted, now: number): Promise<Result<Lease, Refusal>>;
    /** Tells whether a replica is left that the request has not been refused by. */
    hasUntried(wanted: Wanted, now: number): boolean;
    /** Ends a lease; the connection is kept only after an answer that arrived whole. */
    finish(lease: Lease, verdict: Verdict, now: number): void;
    /** Health of a replica. */
    healthOf(route: Route): ReplicaHealth;
    /** Lets waiting requests try again, after routes or credits have changed. */
    wake(now: number): void;
    /** Takes out requests whose time is up, and forgets replicas that are gone. */
    sweep(now: number): void;
    waiting(): number;
    /** Connections that waiting requests want on a worker. */
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
    /** Called when a request has to wait for a connection; more credits may help. */
    onShortage(): void;
}

interface ServiceState {
    readonly limit: ConcurrencyLimit;
    readonly queue: WaitQueue;
    readonly places: RecentPlaces;
    inFlight: number;
    outliers: ReadonlySet<Route>;
}

const SMALLEST_LATENCY_MILLISECONDS = 0.1;
/** Time that a request needs to be worth sending, as a multiple of the mean latency. */
const NEEDED_LATENCIES = 2;
/** Cost of a replica that fails always, as a multiple of one that never does. */
const FAILURE_PENALTY = 30;

type Attempted = Lease | "no-replica" | "breakers-open" | "no-place";

/** Creates a selector. */
export function createUpstreamSelector(options: SelectorOptions): UpstreamSelector {
    return new Selector(options);
}

class Selector implements UpstreamSelector {
    private readonly services = new Map<string, ServiceState>();
    private health = new Map<string, ReplicaHealth>();

    constructor(private readonly options: SelectorOptions) {}

    async acquire(wanted: Wanted, now: number): Promise<Result<Lease, Refusal>> {
        const state = this.findService(wanted.service);
        if (state.queue.lengthBefore(wanted.priority) === 0) {
            const attempted = this.attempt(wanted, state, now);
            if (attempted === "no-replica") {
                return Result.err(notRun(503, reasons.noUpstream, "no replica of the service is known"));
            }
            if (attempted === "breakers-open") {
                return Result.err(notRun(503, reasons.circuitOpen, "every replica of the service is failing"));
            }
            if (attempted !== "no-place") {
                return Result.ok(attempted);
            }
        }
        if (this.options.settings.shedding && this.isHopeless(wanted, state, now)) {
            return Result.err(notRun(503, reasons.queueFull, "the queue is longer than the time that is left"));
        }
        return this.wait(wanted, state);
    }

    hasUntried({ service, tried }: Wanted, now: number): boolean {
        const routes = this.options.table.find(service);
        return [...routes?.near ?? [], ...routes?.far ?? []].some(route =>
            !tried.has(route) && mayTry(this.healthOf(route), this.options.settings, now)
        );
    }

    finish(lease: Lease, verdict: Verdict, now: number): void {
        const { route, connection } = lease;
        const state = this.findService(route.service);
        const health = this.healthOf(route);
        const connections = this.options.pool.find(route.worker);
        state.inFlight -= 1;
        health.inFlight -= 1;
        const latency = now - lease.startedAtMilliseconds;
        if (verdict === "failed" || verdict === "timed-out" || verdict === "unused") {
            connections?.discard(connection);
        }
        else {
            connections?.release(connection, now);
        }
        if (connections === undefined) {
            void connection.client.destroy();
        }
        if (verdict === "answered") {
            state.limit.observe(latency, state.inFlight + 1);
        }
        if (verdict === "timed-out") {
            state.limit.observeTimeout();
        }
        if (observeVerdict(health, verdict, latency, this.options.settings, now)) {
            this.options.onBreakerOpen(route);
        }
        this.wake(now);
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

    wake(now: number): void {
        for (const state of this.services.values()) {
            if (state.queue.length() > 0) {
                state.queue.advance(now, this.neededTime(state));
            }
        }
    }

    sweep(now: number): void {
        const routes = this.options.table.all();
        const names = new Set(routes.map(nameAttempt));
        this.health = new Map([...this.health].filter(([name, { inFlight }]) => names.has(name) || inFlight > 0));
        for (const [service, state] of this.services) {
            state.queue.expire(now, this.neededTime(state));
            state.places.fade();
            const own = routes.filter(route => route.service === service && route.state === "serving");
            const mean = state.limit.meanLatencyMilliseconds();
            own.forEach(route => fadeHealth(this.healthOf(route), mean));
            state.outliers = new Set(
                findOutliers(own, route => this.healthOf(route), this.options.settings.ejectedShare),
            );
        }
        this.wake(now);
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
            const own = replicas.filter(route => route.worker === worker).length;
            demand += own === 0 ? 0 : waiting * own / replicas.length;
        }
        return Math.ceil(demand);
    }

    private findService(service: string): ServiceState {
        let state = this.services.get(service);
        if (state === undefined) {
            state = {
                limit: createConcurrencyLimit(this.options.settings),
                queue: createWaitQueue(),
                places: createRecentPlaces(),
                inFlight: 0,
                outliers: new Set(),
            };
            this.services.set(service, state);
        }
        return state;
    }

    private attempt(wanted: Wanted, state: ServiceState, now: number): Attempted {
        const { settings, table, pool, random } = this.options;
        const routes = table.find(wanted.service);
        if (routes === undefined) {
            return "no-replica";
        }
        if (settings.shedding && state.inFlight >= state.limit.current()) {
            return "no-place";
        }
        const mayUse = (replica: Route) => !wanted.tried.has(replica) && mayTry(this.healthOf(replica), settings, now);
        const route = chooseReplica(
            routes.near,
            routes.far,
            {
                isFree: replica =>
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
        state.places.observe(state.inFlight);
        this.healthOf(route).inFlight += 1;
        return { route, connection, startedAtMilliseconds: now };
    }

    private costOf(route: Route, state: ServiceState): number {
        const { inFlight, latencyMilliseconds, failureShare } = this.healthOf(route);
        // A replica that refuses everything answers fast; without the penalty it would draw the load.
        const penalty = 1 + FAILURE_PENALTY * failureShare;
        const latency = latencyMilliseconds === 0 ? state.limit.meanLatencyMilliseconds() : latencyMilliseconds;
        return (inFlight + 1) * Math.max(latency, SMALLEST_LATENCY_MILLISECONDS) * penalty;
    }

    /** Expects the wait from the requests ahead, the places, and the mean time that one is taken. */
    private isHopeless(wanted: Wanted, state: ServiceState, now: number): boolean {
        const places = Math.min(state.limit.current(), state.places.current());
        const rounds = state.queue.lengthBefore(wanted.priority) / places;
        const expected = rounds * state.limit.meanLatencyMilliseconds();
        return now + expected + this.neededTime(state) > wanted.deadlineMilliseconds;
    }

    /** A request that is sent with less time left would mostly be worked on in vain. */
    private neededTime(state: ServiceState): number {
        return this.options.settings.shedding ? NEEDED_LATENCIES * state.limit.meanLatencyMilliseconds() : 0;
    }

    private wait(wanted: Wanted, state: ServiceState): Promise<Result<Lease, Refusal>> {
        // A replica that refused once is better than none once the request has had to wait.
        const again = { ...wanted, tried: new Set<Route>() };
        this.options.onShortage();
        return new Promise(resolve => {
            state.queue.add({
                priority: wanted.priority,
                deadlineMilliseconds: wanted.deadlineMilliseconds,
                tryStart: now => {
                    const attempted = this.attempt(again, state, now);
                    if (typeof attempted === "string") {
                        return false;
                    }
                    resolve(Result.ok(attempted));
                    return true;
                },
                expire: () =>
                    resolve(Result.err(notRun(503, reasons.deadlinePassed, "too little time was left in the queue"))),
            });
        });
    }
}
