/**
 * Process with a gateway whose configuration and membership are fixed.
 */
import express from "express";
import { randomUUID } from "node:crypto";
import { listen } from "../../src/core/http.js";
import { createLogger } from "../../src/core/log.js";
import { createMetrics } from "../../src/core/metrics.js";
import { createRandom } from "../../src/core/random.js";
import { createRpcClient } from "../../src/core/rpc.js";
import { systemClock } from "../../src/core/time.js";
import { createGateway } from "../../src/gateway/gateway.js";
import { createBenchGuards } from "./guards.js";
import { BENCH_PEER_TOKEN, BenchGatewaySettings, READY_PATH } from "./settings.js";
import { createFixedConfiguration, createFixedMembership, EXCLUSIVE_RULE } from "./sources.js";
import { announce, BENCH_ADDRESS, readSettings } from "./support.js";

const DRAIN_LIMIT_MILLISECONDS = 10_000;
const RPC_TIMEOUT_MILLISECONDS = 2_000;

const settings = await readSettings(BenchGatewaySettings);
const incarnation = randomUUID();
const metrics = createMetrics({});
const logger = createLogger("gateway");
const configuration = createFixedConfiguration({}, EXCLUSIVE_RULE);
const membership = createFixedMembership(settings.instance, settings.schedulers);
const rpc = createRpcClient({ token: BENCH_PEER_TOKEN, timeoutMilliseconds: RPC_TIMEOUT_MILLISECONDS });
const guards = settings.platform === undefined
    ? undefined
    : await createBenchGuards({
        instance: settings.instance,
        incarnation,
        platform: settings.platform,
        configuration,
        membership,
        rpc,
        metrics,
        logger,
    });
const gateway = createGateway({
    identity: { instance: settings.instance, dataCentre: "levi", incarnation },
    settings: settings.request,
    configuration,
    membership,
    rpc,
    guards: guards?.guards ?? [],
    peerToken: BENCH_PEER_TOKEN,
    clock: systemClock,
    random: createRandom(1),
    metrics,
    logger,
});
const controller = new AbortController();
const running = Promise.all([gateway.run(controller.signal), guards?.run(controller.signal)]);
const callers = settings.surface === "express"
    ? await listen(express().use(gateway.listener), BENCH_ADDRESS)
    : await gateway.listenForCallers(BENCH_ADDRESS);
const facts = await listen((incoming, outgoing) => {
    if (incoming.url === READY_PATH) {
        outgoing.statusCode = gateway.ready() ? 200 : 503;
        outgoing.end();
        return;
    }
    void metrics.registry.metrics().then(text => outgoing.end(text));
}, BENCH_ADDRESS);
process.once("SIGTERM", () => {
    void stop();
});
announce({ callers: callers.origin, metrics: facts.origin });

async function stop(): Promise<void> {
    await Promise.all([gateway.drain(DRAIN_LIMIT_MILLISECONDS), guards?.settle(DRAIN_LIMIT_MILLISECONDS)]);
    await callers.close();
    controller.abort();
    await running;
    process.exit(0);
}
