/**
 * Gateways reduced to their guard of idempotent requests, over a store that can fail.
 */
import { randomUUID } from "node:crypto";
import type { Logger } from "../../src/core/log.js";
import { createMetrics } from "../../src/core/metrics.js";
import { systemClock } from "../../src/core/time.js";
import type { Admission, Guard, GuardedRequest } from "../../src/gateway/guard.js";
import { createIdempotencyGuard } from "../../src/gateway/idempotency/guard.js";
import { IdempotencySettings } from "../../src/gateway/idempotency/settings.js";
import { createStore } from "../../src/platform/adapters/store.js";
import type { Store } from "../../src/platform/store.js";

const STORE_TIMEOUT_MILLISECONDS = 300;

/** A logger that prints nothing. */
export const silentLogger: Logger = {
    debug: () => undefined,
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
};

/** Creates a client of the store stand-in at an origin. */
export function createStoreClient(origin: string): Store {
    return createStore({ origins: [origin], timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS });
}

/** Creates the guard of one gateway. */
export function createGuard(storeOrigin: string): Guard {
    return createIdempotencyGuard({
        settings: IdempotencySettings.parse({
            pollMilliseconds: 10,
            retryMilliseconds: 50,
            outcomeWaitMilliseconds: 500,
        }),
        store: createStoreClient(storeOrigin),
        countGateways: () => 1,
        clock: systemClock,
        metrics: createMetrics({}),
        logger: silentLogger,
    });
}

/** Makes a request under a key. */
export function createRequest(key: string, remainingMilliseconds: number, fingerprint = key): GuardedRequest {
    return {
        requestId: randomUUID(),
        service: "guide-billing",
        idempotencyKey: key,
        fingerprint,
        deadlineMilliseconds: systemClock() + remainingMilliseconds,
        forwarded: false,
    };
}

/** How a gateway ends a request that it may run. */
export type Ending = "answer" | "crash" | "not-run";

/** Counts runs of requests by key. */
export interface RunCounter {
    record(key: string): void;
    count(key: string): number;
    /** Keys that ran more than once. */
    keysRunTwice(): string[];
}

/** Creates a counter at zero. */
export function createRunCounter(): RunCounter {
    const runs = new Map<string, number>();
    return {
        record: key => runs.set(key, (runs.get(key) ?? 0) + 1),
        count: key => runs.get(key) ?? 0,
        keysRunTwice: () => [...runs].filter(([, count]) => count > 1).map(([key]) => key),
    };
}

/** Takes a request through a guard as a gateway does. */
export async function runThrough(
    guard: Guard,
    request: GuardedRequest,
    ending: Ending,
    runs: RunCounter,
): Promise<Admission> {
    const admission = await guard.admit(request, systemClock());
    if (admission.kind !== "proceed" || !admission.permit.maySend(systemClock())) {
        return admission;
    }
    if (ending === "not-run") {
        await admission.permit.finish("not-run");
        return admission;
    }
    runs.record(request.idempotencyKey ?? "");
    if (ending === "answer") {
        const body = Buffer.from("paid").toString("base64");
        await admission.permit.finish("answered", { status: 200, headers: [], body });
    }
    return admission;
}
