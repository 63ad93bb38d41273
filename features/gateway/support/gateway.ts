/**
 * A gateway on a port of its own, with a scheduler that says what the scenario wants.
 */
import express from "express";
import { Result } from "true-myth/result";
import { createFixedConfiguration, createFixedMembership } from "../../../bench/request/sources.js";
import type { Failure } from "../../../src/core/errors.js";
import { listen } from "../../../src/core/http.js";
import type { RunningServer } from "../../../src/core/http.js";
import { createLogger } from "../../../src/core/log.js";
import { readRoutes } from "../../../src/core/messages/routes.js";
import type { CellRoutes, Route } from "../../../src/core/messages/routes.js";
import { implement } from "../../../src/core/method.js";
import { createMetrics } from "../../../src/core/metrics.js";
import type { Metrics } from "../../../src/core/metrics.js";
import { createRandom } from "../../../src/core/random.js";
import { createRpcClient, createRpcRouter } from "../../../src/core/rpc.js";
import { pause, systemClock } from "../../../src/core/time.js";
import { createGateway } from "../../../src/gateway/gateway.js";
import type { Gateway } from "../../../src/gateway/gateway.js";
import type { Guard } from "../../../src/gateway/guard.js";
import { RequestSettings } from "../../../src/gateway/settings.js";
import type { ServiceRule } from "../../../src/rules/rule.js";
import { createCreditAllocator } from "../../../src/scheduler/credits/allocator.js";
import type { CreditAllocator, CreditAllocatorOptions } from "../../../src/scheduler/credits/allocator.js";

export const PEER_TOKEN = "peer-token";
const HOST = "127.0.0.1";
const FAST_SETTINGS: Partial<RequestSettings> = { routesWaitMilliseconds: 500, drainDelayMilliseconds: 0 };
const CHANGE_STEP_MILLISECONDS = 10;

const WORKER_CONNECTIONS = 64;

/** A scheduler that offers the routes that it was told to. */
export interface TestScheduler {
    readonly origin: string;
    readonly creditAllocator: CreditAllocator;
    /** Times that routes have been read. */
    reads(): number;
    offer(cell: Partial<CellRoutes>, routes: readonly Partial<Route>[]): void;
    close(): Promise<void>;
}

/** Starts a scheduler that owns one cell. */
export async function startScheduler(options: Partial<CreditAllocatorOptions> = {}): Promise<TestScheduler> {
    const creditAllocator = createCreditAllocator({
        clock: systemClock,
        metrics: createMetrics({}),
        logger: createLogger("scheduler-test"),
        isOwner: () => true,
        ...options,
    });
    let takenEpoch = 0;
    let cell: CellRoutes = { cell: "levi-0", epoch: 1, version: 0, routes: [] };
    let reads = 0;
    const routes = implement(readRoutes, async ({ known, waitMilliseconds }) => {
        reads += 1;
        const endsAt = systemClock() + waitMilliseconds;
        const isKnown = () =>
            known.some(one => one.cell === cell.cell && one.epoch === cell.epoch && one.version === cell.version);
        while (isKnown() && systemClock() < endsAt) {
            await pause(CHANGE_STEP_MILLISECONDS);
        }
        return Result.ok<{ owned: string[]; cells: CellRoutes[]; }, Failure>({
            owned: [cell.cell],
            cells: isKnown() ? [] : [cell],
        });
    });
    const application = express();
    application.use(createRpcRouter({ handlers: [routes, ...creditAllocator.handlers], token: PEER_TOKEN }));
    const server = await listen(application, { host: HOST, port: 0 });
    return {
        origin: server.origin,
        creditAllocator,
        reads: () => reads,
        offer: (changed, offered) => {
            cell = {
                ...cell,
                version: cell.version + 1,
                ...changed,
                routes: offered.map((route, index) => ({
                    service: "beacon-check",
                    taskId: `beacon-check-${index}`,
                    attempt: 1,
                    worker: `worker-${index}`,
                    dataCentre: "levi",
                    cell: cell.cell,
                    origin: "http://127.0.0.1:1",
                    state: "serving",
                    ...route,
                })),
            };
            const workers = [...new Set(cell.routes.map(({ worker }) => worker))];
            const capacities = workers.map(worker => ({ worker, connections: WORKER_CONNECTIONS }));
            if (cell.epoch === takenEpoch) {
                creditAllocator.updateWorkers(cell.cell, capacities, systemClock());
                return;
            }
            takenEpoch = cell.epoch;
            creditAllocator.addCell(cell.cell, cell.epoch, capacities, systemClock());
        },
        close: async () => {
            server.server.closeAllConnections();
            await server.close();
        },
    };
}

/** What a gateway under test is made of. */
export interface TestGatewayOptions {
    readonly schedulers: readonly string[];
    readonly instance?: string;
    readonly dataCentre?: string;
    readonly settings?: Partial<RequestSettings>;
    readonly rule?: Partial<ServiceRule>;
    readonly guards?: readonly Guard[];
    /** Peer origins of the other gateways that it knows. */
    readonly listPeers?: () => readonly string[];
}

/** A running gateway. */
export interface TestGateway {
    readonly origin: string;
    readonly peerOrigin: string;
    readonly gateway: Gateway;
    readonly metrics: Metrics;
    readonly server: RunningServer;
    /** Value of a counter for one label. */
    count(name: string, labels: Record<string, string>): Promise<number>;
    close(): Promise<void>;
}

/** Starts a gateway in this process. */
export async function startGateway(options: TestGatewayOptions): Promise<TestGateway> {
    const instance = options.instance ?? "entry-1";
    const metrics = createMetrics({});
    const gateway = createGateway({
        identity: { instance, dataCentre: options.dataCentre ?? "levi", incarnation: `${instance}-${systemClock()}` },
        settings: RequestSettings.parse({ ...FAST_SETTINGS, ...options.settings }),
        configuration: createFixedConfiguration(options.rule ?? {}),
        membership: createFixedMembership(instance, options.schedulers, options.listPeers),
        rpc: createRpcClient({ token: PEER_TOKEN, timeoutMilliseconds: 2_000 }),
        guards: options.guards ?? [],
        peerToken: PEER_TOKEN,
        clock: systemClock,
        random: createRandom(1),
        metrics,
        logger: createLogger("gateway-test"),
    });
    const server = await gateway.listenForCallers({ host: HOST, port: 0 });
    const application = express();
    application.use(gateway.peerListener);
    application.use(createRpcRouter({ handlers: gateway.handlers, token: PEER_TOKEN }));
    const peers = await listen(application, { host: HOST, port: 0 });
    const controller = new AbortController();
    const running = Promise.all([gateway.run(controller.signal), server.run(controller.signal)]);
    return {
        origin: server.origin,
        peerOrigin: peers.origin,
        gateway,
        metrics,
        server,
        async count(name, labels) {
            const metric = await metrics.registry.getSingleMetric(name)?.get();
            const found = metric?.values.find(value =>
                Object.entries(labels).every(([label, text]) => value.labels[label] === text)
            );
            return found?.value ?? 0;
        },
        async close() {
            controller.abort();
            await running;
            server.server.closeAllConnections();
            peers.server.closeAllConnections();
            await Promise.all([server.close(), peers.close()]);
        },
    };
}
