/**
 * An operators' surface in the test process, with the clock and the store of the scenario.
 */
import { Result } from "true-myth/result";
import type { z } from "zod";
import { createLogger } from "../../src/core/log.js";
import { createMetrics } from "../../src/core/metrics.js";
import { createRpcClient } from "../../src/core/rpc.js";
import type { Clock } from "../../src/core/time.js";
import { createOperatorSurface } from "../../src/operator/operator.js";
import { OperatorSettings } from "../../src/operator/settings.js";
import type { Store } from "../../src/platform/store.js";
import { describeMember } from "../membership/network.js";

/** Calls a method of the surface by its name. */
export type SurfaceCall = (name: string, params: unknown) => Promise<unknown>;

/** Options of a surface. It has no peers and no rules except those in its store. */
export interface SurfaceOptions {
    readonly store: Store;
    readonly settings?: z.input<typeof OperatorSettings>;
    readonly clock: Clock;
}

/** Creates an operators' surface. */
export function createSurface({ store, settings = {}, clock }: SurfaceOptions): SurfaceCall {
    const self = describeMember("entry-9");
    const surface = createOperatorSurface({
        settings: OperatorSettings.parse(settings),
        store,
        instanceList: { list: () => Promise.resolve(Result.ok([])) },
        feed: {
            source: { current: () => undefined, onChange: () => () => undefined },
            accept: () => undefined,
            revisionOf: () => 0,
            handlers: [],
            run: () => Promise.resolve(),
        },
        membership: { members: () => [], self: () => self, onChange: () => () => undefined },
        rpc: createRpcClient({ token: "unused", timeoutMilliseconds: 1_000 }),
        clock,
        metrics: createMetrics({}),
        logger: createLogger("surface"),
    });
    return async (name, params) => await surface.handlers.find(handler => handler.name === name)?.handle(params);
}
