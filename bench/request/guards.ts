/**
 * The guards of exclusive and keyed requests, constructed for a bench's gateway as for a real one.
 */
import express from "express";
import type { RunningServer } from "../../src/core/http.js";
import { listen } from "../../src/core/http.js";
import type { Logger } from "../../src/core/log.js";
import type { Metrics } from "../../src/core/metrics.js";
import type { RpcClient } from "../../src/core/rpc.js";
import { createRpcRouter } from "../../src/core/rpc.js";
import { systemClock } from "../../src/core/time.js";
import { createExclusive } from "../../src/gateway/exclusive/exclusive.js";
import { ExclusiveSettings } from "../../src/gateway/exclusive/settings.js";
import type { Guard } from "../../src/gateway/guard.js";
import { createIdempotencyGuard } from "../../src/gateway/idempotency/guard.js";
import { IdempotencySettings } from "../../src/gateway/idempotency/settings.js";
import type { MembershipSource } from "../../src/membership/member.js";
import { createInstanceList } from "../../src/platform/adapters/instances.js";
import { createStore } from "../../src/platform/adapters/store.js";
import type { ConfigurationSource } from "../../src/rules/rule.js";
import { BENCH_PEER_TOKEN } from "./settings.js";
import { BENCH_ADDRESS } from "./support.js";

const PLATFORM_TIMEOUT_MILLISECONDS = 2_000;

/** What the guards are made of. */
export interface BenchGuardsOptions {
    readonly instance: string;
    readonly incarnation: string;
    readonly platform: { readonly store: string; readonly instances: string; };
    readonly configuration: ConfigurationSource;
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    readonly metrics: Metrics;
    readonly logger: Logger;
}

/** The guards of one gateway, with the part that keeps its claims. */
export interface BenchGuards {
    readonly guards: readonly Guard[];
    readonly peers: RunningServer;
    run(signal: AbortSignal): Promise<void>;
    /** Gives the partitions back and waits for the records that are still to be written. */
    settle(limitMilliseconds: number): Promise<void>;
}

/** Creates the guards over a platform's store and instance list. */
export async function createBenchGuards(options: BenchGuardsOptions): Promise<BenchGuards> {
    const { configuration, incarnation, instance, logger, membership, metrics, platform, rpc } = options;
    const store = createStore({ origins: [platform.store], timeoutMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS });
    const application = express();
    const peers = await listen(application, BENCH_ADDRESS);
    const exclusive = createExclusive({
        identity: { instance, incarnation, origin: peers.origin },
        settings: ExclusiveSettings.parse({}),
        store,
        instanceList: createInstanceList({
            origin: platform.instances,
            timeoutMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS,
        }),
        configuration,
        membership,
        rpc,
        clock: systemClock,
        metrics,
        logger,
    });
    const idempotency = createIdempotencyGuard({
        settings: IdempotencySettings.parse({}),
        store,
        countGateways: () => 1,
        clock: systemClock,
        metrics,
        logger,
    });
    application.use(createRpcRouter({ handlers: exclusive.handlers, token: BENCH_PEER_TOKEN }));
    return {
        guards: [exclusive.guard, idempotency],
        peers,
        run: signal => exclusive.run(signal),
        settle: async limitMilliseconds => {
            await exclusive.handOver();
            await idempotency.flush(limitMilliseconds);
        },
    };
}
