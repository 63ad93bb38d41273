/**
 * Callers of the examples' services.
 */
import type { Random } from "../../src/core/random.js";
import { systemClock } from "../../src/core/time.js";
import { runLoad } from "../support/load.js";
import type { Call, CallRecord, LoadResult } from "../support/load.js";
import type { Demo } from "./open.js";
import { listServices } from "./rules.js";

const CALLS_PER_SECOND = 60;
const KEYS = 40;
const SEED = 1;

/** Options of the traffic. */
export interface TrafficOptions {
    readonly durationMilliseconds: number;
    readonly signal?: AbortSignal;
    onRecord(record: CallRecord): void;
}

/** Lets callers call all services of the example's rules. */
export async function runTraffic(demo: Demo, options: TrafficOptions): Promise<LoadResult> {
    const services = await listServices(demo);
    return runLoad({
        seed: SEED,
        origins: demo.origins,
        callsPerSecond: CALLS_PER_SECOND,
        durationMilliseconds: options.durationMilliseconds,
        name: "demo",
        clock: systemClock,
        drawCall: (random, index) => drawCall(services, random, index),
        onRecord: record => options.onRecord(record),
        ...(options.signal === undefined ? {} : { signal: options.signal }),
    });
}

function drawCall(services: readonly string[], random: Random, index: number): Call {
    const service = services[Math.floor(random() * services.length)] ?? "";
    const key = `key-${Math.floor(random() * KEYS)}`;
    const isWrite = random() < 1 / 3;
    return isWrite
        ? { service, key, method: "POST", idempotencyKey: `demo-${index}` }
        : { service, key, method: "GET" };
}
