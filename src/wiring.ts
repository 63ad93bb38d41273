/**
 * Constructs the parts of both daemons and joins them.
 */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { Agent } from "undici";
import { createConfigurationFeed } from "./configuration/feed.js";
import { createCertificateKeeper, createPeerConnector } from "./core/certificates.js";
import type { CertificateKeeper } from "./core/certificates.js";
import type { RunningDaemon } from "./core/daemon.js";
import type { ServerTls } from "./core/http.js";
import type { Logger } from "./core/log.js";
import type { Role } from "./core/messages/identity.js";
import type { MethodHandler } from "./core/method.js";
import { createMetrics } from "./core/metrics.js";
import type { Metrics } from "./core/metrics.js";
import type { Part } from "./core/part.js";
import { createRandom, hashText } from "./core/random.js";
import { createRpcClient, createRpcRouter } from "./core/rpc.js";
import { createStopSteps } from "./core/stop.js";
import { answerErrors, mountMetrics, openSurface } from "./core/surface.js";
import type { Surface } from "./core/surface.js";
import { systemClock } from "./core/time.js";
import { createExclusive } from "./gateway/exclusive/exclusive.js";
import { createGateway } from "./gateway/gateway.js";
import { createIdempotencyGuard } from "./gateway/idempotency/guard.js";
import { createMembership } from "./membership/membership.js";
import { createOperatorSurface } from "./operator/operator.js";
import { describeStatus } from "./operator/status.js";
import type { DaemonState } from "./operator/status.js";
import { createInstanceList } from "./platform/adapters/instances.js";
import { createStore } from "./platform/adapters/store.js";
import { createWorkerControl } from "./platform/adapters/worker.js";
import { observeStore } from "./platform/reach.js";
import { shareInstanceList } from "./platform/sharing.js";
import { createPolicy } from "./policy/create.js";
import { createCreditAllocator } from "./scheduler/credits/allocator.js";
import { createCreditHooks } from "./scheduler/credits/hooks.js";
import { createScheduler } from "./scheduler/scheduler.js";
import type { GatewaySettings } from "./settings/gateway.js";
import type { SchedulerSettings } from "./settings/scheduler.js";

type Settings = GatewaySettings | SchedulerSettings;

/** Starts a gateway. */
export async function startGateway(settings: GatewaySettings, logger: Logger): Promise<RunningDaemon> {
    const foundation = await layFoundation("gateway", settings, logger);
    const { clock, configuration, instanceList, membership, metrics, random, rpc, store } = foundation;
    const exclusive = createExclusive({
        identity: { ...foundation.identity, origin: foundation.origin },
        settings: settings.exclusive,
        store,
        instanceList,
        configuration: configuration.source,
        membership: membership.source,
        rpc,
        clock,
        metrics,
        logger,
    });
    const idempotency = createIdempotencyGuard({
        settings: settings.idempotency,
        store,
        countGateways: () => 1 + membership.source.members().filter(member => member.role === "gateway").length,
        clock,
        metrics,
        logger,
    });
    const gateway = createGateway({
        identity: foundation.identity,
        settings: settings.requests,
        configuration: configuration.source,
        membership: membership.source,
        rpc,
        guards: [exclusive.guard, idempotency],
        peerToken: settings.peerToken,
        peerConnector: createConnector(foundation.certificates, settings.requests.connectTimeoutMilliseconds),
        clock,
        random,
        metrics,
        logger,
    });
    const operator = createOperatorSurface({
        settings: settings.operator,
        store,
        instanceList,
        feed: configuration,
        membership: membership.source,
        rpc,
        clock,
        metrics,
        logger,
    });
    const operators = await openSurface(settings.operators, createServerTls(foundation.certificates, false));
    operators.app.use(createRpcRouter({ handlers: operator.handlers, token: settings.operatorToken }));
    operators.app.use(answerErrors);
    foundation.peers.app.use(gateway.peerListener);
    const callers = await gateway.listenForCallers(settings.callers);
    const running = await foundation.run([gateway, operator, exclusive, {
        handlers: [],
        run: signal => callers.run(signal),
    }], {
        ready: () => gateway.ready(),
        ownedCells: () => [],
        storeReachable: () => store.isReachable(),
    });
    return {
        announcement: { ...running.announcement, callers: callers.origin, operators: operators.running.origin },
        stop: async () => {
            const [limit, steps] = [settings.stopLimitMilliseconds, createStopSteps(logger)];
            await Promise.all([
                steps.take("drain", gateway.drain(limit)),
                steps.take("leave", membership.leave()),
                steps.take("hand-over", exclusive.handOver()),
            ]);
            await steps.take("record outcomes", idempotency.flush(limit));
            await steps.take("close callers", callers.close());
            await steps.take("close operators", operators.running.close());
            await running.stop();
        },
    };
}

/** Starts a scheduler. */
export async function startScheduler(settings: SchedulerSettings, logger: Logger): Promise<RunningDaemon> {
    const foundation = await layFoundation("scheduler", settings, logger);
    const { clock, configuration, instanceList, membership, metrics, random, rpc, store } = foundation;
    const credits = createCreditAllocator({
        clock,
        metrics,
        logger,
        isOwner: (cell, now) => scheduler.ownsCell(cell, now),
    });
    const scheduler = createScheduler({
        identity: { ...foundation.identity, origin: foundation.origin },
        settings: settings.cells,
        store,
        instanceList,
        workers: createWorkerControl({ timeoutMilliseconds: settings.workerTimeoutMilliseconds }),
        configuration: configuration.source,
        membership: membership.source,
        rpc,
        createPolicy: () => createPolicy({ settings: settings.policy, random, metrics, logger }),
        credits: createCreditHooks(credits),
        clock,
        random,
        metrics,
        logger,
    });
    const creditPart: Part = { handlers: credits.handlers, run: async () => undefined };
    const running = await foundation.run([scheduler, creditPart], {
        ready: () => scheduler.ready(),
        ownedCells: () => scheduler.ownedCells(),
        storeReachable: () => scheduler.storeReachable(),
    });
    return {
        announcement: running.announcement,
        stop: async () => {
            await membership.leave();
            await scheduler.handOver(settings.stopLimitMilliseconds);
            await running.stop();
        },
    };
}

/** Opens the ports and constructs what both daemons have. */
async function layFoundation(role: Role, settings: Settings, logger: Logger) {
    const clock = systemClock;
    const startedAtMilliseconds = clock();
    const incarnation = randomUUID();
    const random = createRandom(hashText(incarnation));
    const metrics = createMetrics({ instance: settings.instance, role });
    const certificates = settings.tls === undefined ? undefined : await createCertificateKeeper(settings.tls, logger);
    const peers = await openSurface(settings.peers, createServerTls(certificates, true));
    const origin = settings.advertisedOrigin ?? peers.running.origin;
    const connector = createConnector(certificates, settings.peerTimeoutMilliseconds);
    const rpc = createRpcClient({
        token: settings.peerToken,
        timeoutMilliseconds: settings.peerTimeoutMilliseconds,
        ...(connector === undefined ? {} : { dispatcher: new Agent({ connect: connector }) }),
    });
    const store = observeStore(createStore(settings.store));
    const instanceList = shareInstanceList(createInstanceList(settings.instanceList), {
        clock,
        freshMilliseconds: settings.instanceList.freshMilliseconds,
    });
    const membership = createMembership({
        self: {
            instance: settings.instance,
            role,
            dataCentre: settings.dataCentre,
            origin,
            incarnation: Math.floor(startedAtMilliseconds),
        },
        configurationRevision: () => configuration.source.current()?.revision ?? 0,
        settings: settings.membership,
        instanceList,
        rpc,
        clock,
        random,
        metrics,
        logger,
    });
    const configuration = createConfigurationFeed({
        settings: settings.configuration,
        store,
        membership: membership.source,
        rpc,
        clock,
        random,
        metrics,
        logger,
    });
    const identity = { instance: settings.instance, dataCentre: settings.dataCentre, incarnation };
    const certificateParts: Part[] = certificates === undefined
        ? []
        : [{ handlers: [], run: signal => certificates.run(signal) }];
    const run = (parts: readonly Part[], state: DaemonState) =>
        runParts({
            parts: [membership, configuration, ...certificateParts, ...parts],
            status: describeStatus(state, { ...identity, role, origin, startedAtMilliseconds }, configuration.source),
            peers,
            settings,
            metrics,
            logger,
            ready: () => state.ready(),
        });
    return {
        clock,
        random,
        metrics,
        certificates,
        peers,
        origin,
        rpc,
        store,
        instanceList,
        membership,
        configuration,
        identity,
        run,
    };
}

function createServerTls(
    certificates: CertificateKeeper | undefined,
    requireClientCertificate: boolean,
): ServerTls | undefined {
    return certificates === undefined ? undefined : { certificates, requireClientCertificate };
}

function createConnector(certificates: CertificateKeeper | undefined, timeoutMilliseconds: number) {
    return certificates === undefined ? undefined : createPeerConnector(certificates, timeoutMilliseconds);
}

interface RunOptions {
    readonly parts: readonly Part[];
    readonly status: MethodHandler;
    readonly peers: Surface;
    readonly settings: Settings;
    readonly metrics: Metrics;
    readonly logger: Logger;
    ready(): boolean;
}

/** Mounts the methods of all parts and runs the parts until `stop`. */
async function runParts(options: RunOptions): Promise<RunningDaemon> {
    const { parts, peers, settings } = options;
    const handlers = [...parts.flatMap(part => part.handlers), options.status];
    peers.app.use(createRpcRouter({ handlers, token: settings.peerToken }));
    peers.app.use(answerErrors);
    const metricsSurface = await openSurface(settings.metrics);
    mountMetrics(metricsSurface, { metrics: options.metrics, ready: () => options.ready() });
    const stopping = new AbortController();
    // Every wait of every part listens to the one signal; a count of them says nothing about a leak.
    setMaxListeners(0, stopping.signal);
    const runs = parts.map(part => part.run(stopping.signal));
    return {
        announcement: { peers: peers.running.origin, metrics: metricsSurface.running.origin },
        stop: async () => {
            const steps = createStopSteps(options.logger);
            stopping.abort();
            await Promise.all(runs.map((run, index) => steps.take(`part ${index + 1}`, run)));
            await steps.take("close peers", peers.running.close());
            await steps.take("close metrics", metricsSurface.running.close());
        },
    };
}
