/**
 * Store writes and added latency of requests with an idempotency key, for the ways that were weighed: intent and outcome
 * in groups, the same without groups, and reserve-then-confirm with an upstream that can hold a reservation.
 */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { randomUUID } from "node:crypto";
import { createLogger } from "../../src/core/log.js";
import { createMetrics } from "../../src/core/metrics.js";
import { createRandom } from "../../src/core/random.js";
import { pause, systemClock } from "../../src/core/time.js";
import { createIdempotencyGuard } from "../../src/gateway/idempotency/guard.js";
import { IdempotencySettings } from "../../src/gateway/idempotency/settings.js";
import { createRecordWriter } from "../../src/gateway/idempotency/writer.js";
import { createStore } from "../../src/platform/adapters/store.js";
import type { Store } from "../../src/platform/store.js";
import { createStoreStandIn, StoreStandInSettings } from "../../stand-ins/store/index.js";
import type { StoreStandIn } from "../../stand-ins/store/index.js";
import { checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";

const GATEWAYS = 9;
const REQUESTS_PER_SECOND = 400;
const DURATION_MILLISECONDS = 8_000;
/** One call of an upstream, with the way there and back. */
const UPSTREAM_MILLISECONDS = 8;
/** One call of the store: it answers in milliseconds. */
const STORE_MILLISECONDS = 2;
const DEADLINE_MILLISECONDS = 5_000;
const STORE_TIMEOUT_MILLISECONDS = 2_000;
/** The store takes several hundred writes a second, and others write too. */
const WRITES_PER_SECOND_BOUND = 300;

/** A way of running requests. */
interface Way {
    /** Runs one request; resolves when the caller has its answer. */
    runRequest(index: number): Promise<void>;
    /** Waits for what is still to be written. */
    settle(): Promise<void>;
}

/** What a way costs. */
interface WayCost {
    readonly writesPerSecond: number;
    readonly addedMedianMilliseconds: number;
    readonly addedTailMilliseconds: number;
}

export const experiment: Experiment = {
    name: "idempotency",
    summary: "store writes and added latency of requests with an idempotency key, for three ways",
    options: {},
    run,
};

async function run(context: ExperimentContext): Promise<Check[]> {
    const single = await measure(
        "intent and outcome, one write each",
        context,
        store => createKeyed(store, { groupRecords: 1, transactionsPerSecond: 1_000_000 }),
    );
    const reserve = await measure("reserve, then confirm", context, createReserving);
    const chosen = await measure("intent and outcome in groups", context, store => createKeyed(store, {}));
    return [
        checkAtMost(
            "store writes at 400 requests a second",
            chosen.writesPerSecond,
            "writes/s",
            WRITES_PER_SECOND_BOUND,
            single.writesPerSecond,
        ),
        checkAtMost(
            "added latency, median, against reserve-then-confirm",
            chosen.addedMedianMilliseconds,
            "ms",
            reserve.addedMedianMilliseconds,
            reserve.addedMedianMilliseconds,
        ),
        checkAtMost(
            "added latency, 99th percentile, against reserve-then-confirm",
            chosen.addedTailMilliseconds,
            "ms",
            reserve.addedTailMilliseconds,
            reserve.addedTailMilliseconds,
        ),
    ];
}

async function measure(
    name: string,
    context: ExperimentContext,
    create: (store: Store) => Way,
): Promise<WayCost> {
    const standIn = await createStoreStandIn(StoreStandInSettings.parse({ writesPerSecond: 100_000 }));
    standIn.setFaults({ slowMilliseconds: STORE_MILLISECONDS });
    const store = createStore({ origins: [standIn.origin], timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS });
    const way = create(store);
    // The first request brings the lease of the records.
    await way.runRequest(-1);
    const before = countWrites(standIn);
    const added = await load(way, context.seed);
    await way.settle();
    const writes = countWrites(standIn) - before;
    await standIn.close();
    const cost = {
        writesPerSecond: writes * 1_000 / DURATION_MILLISECONDS,
        addedMedianMilliseconds: added.getValueAtPercentile(50) / 1_000,
        addedTailMilliseconds: added.getValueAtPercentile(99) / 1_000,
    };
    context.progress(`${name}: ${JSON.stringify(cost)}`);
    return cost;
}

function countWrites(standIn: StoreStandIn): number {
    return standIn.counts().calls.txn;
}

/** Open loop: requests leave at times drawn from the seed. Latency beyond one upstream call, in microseconds. */
async function load(way: Way, seed: number): Promise<Histogram> {
    const random = createRandom(seed);
    const added = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3,
    });
    const running: Promise<void>[] = [];
    const startedAt = systemClock();
    let dueAt = startedAt;
    for (let index = 0; dueAt - startedAt < DURATION_MILLISECONDS; index += 1) {
        dueAt += -Math.log(1 - random()) * 1_000 / REQUESTS_PER_SECOND;
        const wait = dueAt - systemClock();
        if (wait > 0) {
            await pause(wait);
        }
        const due = dueAt;
        running.push(
            way.runRequest(index).then(() => {
                const took = systemClock() - due - UPSTREAM_MILLISECONDS;
                added.recordValue(Math.max(1, Math.round(took * 1_000)));
            }),
        );
    }
    await Promise.all(running);
    return added;
}

function createKeyed(store: Store, changes: object): Way {
    const guards = [...Array(GATEWAYS).keys()].map(() =>
        createIdempotencyGuard({
            settings: IdempotencySettings.parse(changes),
            store,
            countGateways: () => GATEWAYS,
            clock: systemClock,
            metrics: createMetrics({}),
            logger: createLogger("bench"),
        })
    );
    const runRequest = async (index: number) => {
        const now = systemClock();
        const guard = pickInTurn(guards, index);
        const admission = await guard.admit({
            requestId: randomUUID(),
            service: "billing",
            idempotencyKey: `key-${index}`,
            fingerprint: "same",
            deadlineMilliseconds: now + DEADLINE_MILLISECONDS,
            forwarded: false,
        }, now);
        if (admission.kind !== "proceed") {
            throw new Error(`not admitted: ${JSON.stringify(admission)}`);
        }
        await pause(UPSTREAM_MILLISECONDS);
        await admission.permit.finish("answered", { status: 200, headers: [], body: "" });
    };
    return {
        runRequest,
        settle: async () => {
            await Promise.all(guards.map(guard => guard.flush(DEADLINE_MILLISECONDS)));
        },
    };
}

function pickInTurn<Value>(values: readonly Value[], index: number): Value {
    const value = values[(index + values.length) % values.length];
    if (value === undefined) {
        throw new Error("nothing to pick from");
    }
    return value;
}

/**
 * The upstream holds a reservation, the decision is recorded with the answer, the upstream confirms. A reservation that
 * nobody confirms lapses, so no intent is needed; the answer waits for the confirmation.
 */
function createReserving(store: Store): Way {
    const settings = IdempotencySettings.parse({});
    const writers = [...Array(GATEWAYS).keys()].map(() =>
        createRecordWriter({
            settings,
            store,
            spacingMilliseconds: () => GATEWAYS * 1_000 / settings.transactionsPerSecond,
            onTransaction: () => undefined,
        })
    );
    const runRequest = async (index: number) => {
        const writer = pickInTurn(writers, index);
        await pause(UPSTREAM_MILLISECONDS);
        const decision = { key: `/decisions/${index}`, value: randomUUID(), expectedRevision: 0 };
        const written = await writer.write(decision, AbortSignal.timeout(DEADLINE_MILLISECONDS));
        if (written.isErr) {
            throw new Error(written.error.message);
        }
        await pause(UPSTREAM_MILLISECONDS);
    };
    return { runRequest, settle: async () => undefined };
}
