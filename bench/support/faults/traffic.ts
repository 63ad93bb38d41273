/**
 * Callers of a fault run: checks of kits by key, watches, and bills that must run at most once.
 */
import type { Random } from "../../../src/core/random.js";
import { runLoad } from "../load.js";
import type { Call, LoadResult } from "../load.js";
import { services } from "./rules.js";
import type { World } from "./world.js";

const KITS = 12;
const REPEAT_SHARE = 0.25;
const REPEAT_AMONG_LAST = 20;

/** A load on all gateways. */
export interface TrafficOptions {
    readonly name: string;
    readonly seed: number;
    readonly callsPerSecond: number;
    readonly durationMilliseconds: number;
}

/** Runs callers against all gateways, as the platform's balancer would spread them. */
export function runTraffic(world: World, options: TrafficOptions): Promise<LoadResult> {
    return runLoad({
        ...options,
        origins: world.balancer.ready,
        clock: world.clock,
        drawCall: (random, index) => drawCall(random, index, options.name),
        idempotencyHeader: world.options.without?.idempotencyKey ?? true,
        onRecord: record => world.calls.push(record),
    });
}

function drawCall(random: Random, index: number, name: string): Call {
    const drawn = random();
    if (drawn < 0.4) {
        return { service: services.exclusive, key: `kit-${Math.floor(random() * KITS)}`, method: "POST" };
    }
    if (drawn < 0.7) {
        return { service: services.plain, key: `kit-${index}`, method: random() < 0.5 ? "GET" : "POST" };
    }
    return drawBill(random, index, name);
}

/** Some bills repeat an earlier one: same key, same request. */
function drawBill(random: Random, index: number, name: string): Call {
    const repeats = random() < REPEAT_SHARE;
    const back = 1 + Math.floor(random() * REPEAT_AMONG_LAST);
    const bill = repeats ? Math.max(0, index - back) : index;
    const idempotencyKey = `bill-${name}-${bill}`;
    return { service: services.billing, key: `bill-${bill}`, method: "POST", idempotencyKey };
}
