/**
 * Schedulers with stores, workers and links in memory, in virtual time. Each scheduler can be cut off from the store or from
 * single workers, and answers of its orders can be held up.
 */
import createDebug from "debug";
import { Result } from "true-myth/result";
import { createFailure } from "../../../src/core/errors.js";
import type { Failure } from "../../../src/core/errors.js";
import { createLogger } from "../../../src/core/log.js";
import { createMetrics } from "../../../src/core/metrics.js";
import { createRandom } from "../../../src/core/random.js";
import { createRpcClient } from "../../../src/core/rpc.js";
import { pause } from "../../../src/core/time.js";
import type { PlatformInstance } from "../../../src/platform/instances.js";
import type { Store } from "../../../src/platform/store.js";
import type { WorkerControl } from "../../../src/platform/worker.js";
import { createPolicy } from "../../../src/policy/create.js";
import { PolicySettings } from "../../../src/policy/settings.js";
import { createScheduler } from "../../../src/scheduler/scheduler.js";
import type { Scheduler } from "../../../src/scheduler/scheduler.js";
import { CellSettings } from "../../../src/scheduler/settings.js";
import type { WorkerRecord } from "../../../stand-ins/worker/index.js";
import { createGate } from "../model/gate.js";
import type { Gate } from "../model/gate.js";
import { createModelStore } from "../model/store.js";
import type { ModelStore } from "../model/store.js";
import { startVirtualTime } from "../model/time.js";
import type { VirtualTime } from "../model/time.js";
import { createModelWorkers } from "../model/worker.js";
import type { ModelWorker } from "../model/worker.js";
import { createConfiguration } from "./rules.js";
import type { ChangingConfiguration } from "./rules.js";

const SLOTS = 3;
const UNREACHABLE_MILLISECONDS = 300;
const SETTLE_MILLISECONDS = 2_000;

const SETTINGS = CellSettings.parse({
    racksPerCell: 1,
    commitIntervalMilliseconds: 50,
    storeLeaseSeconds: 2,
    claimIntervalMilliseconds: 250,
    instanceIntervalMilliseconds: 250,
    workerLeaseMilliseconds: 18_000,
    renewIntervalMilliseconds: 400,
    stopGraceMilliseconds: 100,
    routeDrainMilliseconds: 100,
});

type OrderKind = "start" | "stop" | "throttle" | "renew";

/** An order that a scheduler has sent. */
export interface SentOrder {
    readonly kind: OrderKind;
    readonly by: string;
    readonly worker: string;
    readonly at: number;
}

/** One scheduler and its links. */
export interface Party {
    readonly instance: string;
    readonly scheduler: Scheduler;
    /** Calls to the store wait while it is paused. */
    readonly storeLink: Gate;
    /** Answers to stops wait while it is paused. */
    readonly stopAnswers: Gate;
    /** Names of workers that this scheduler does not reach. */
    readonly unreachable: Set<string>;
    /** Calls a method and lets time pass until it is answered. */
    call(method: string, params: unknown): Promise<unknown>;
}

/** Options of a party. */
export interface PartyOptions {
    /** Changes the store as this scheduler sees it. */
    readonly wrapStore?: (store: Store) => Store;
}

/** What parties share. */
export interface Stage {
    readonly time: VirtualTime;
    readonly store: ModelStore;
    readonly configuration: ChangingConfiguration;
    readonly workers: readonly ModelWorker[];
    readonly records: readonly WorkerRecord[];
    readonly orders: readonly SentOrder[];
    add(instance: string, options?: PartyOptions): Promise<Party>;
    listStarts(worker?: string): Extract<WorkerRecord, { event: "attempt-started"; }>[];
    change(worker: ModelWorker, changes: Partial<ModelWorker["instance"]>): void;
    close(): Promise<void>;
}

/** Plays a history in virtual time; the log would consist of its faults. */
export async function playStage(workerCount: number, history: (stage: Stage) => Promise<void>): Promise<Stage> {
    const namespaces = createDebug.disable();
    const stage = createStage(workerCount);
    try {
        await history(stage);
    }
    finally {
        await stage.close();
        createDebug.enable(namespaces);
    }
    return stage;
}

/** Creates a stage: one cell with some workers. */
function createStage(workerCount: number): Stage {
    const time = startVirtualTime(now => {
        store.step(now);
        models.all.forEach(worker => worker.step(now));
    });
    const store = createModelStore(time.now);
    const models = createModelWorkers();
    const configuration = createConfiguration(time.now);
    const records: WorkerRecord[] = [];
    const orders: SentOrder[] = [];
    const listed = new Map<string, PlatformInstance>();
    const controllers: AbortController[] = [];
    const workers = Array.from({ length: workerCount }, (_, index) =>
        models.add({
            name: `levi-${index + 1}`,
            dataCentre: "levi",
            rack: 0,
            slots: SLOTS,
            clock: time.now,
            record: record => {
                records.push(record);
            },
        }));
    workers.forEach(({ instance }) => listed.set(instance.name, instance));

    const connectWorkers = (by: string, party: Pick<Party, "stopAnswers" | "unreachable">): WorkerControl => {
        const control = models.connect(createGate());
        const send = async <Answer>(kind: OrderKind, origin: string, order: () => Promise<Result<Answer, Failure>>) => {
            const worker = workers.find(({ instance }) => instance.controlOrigin === origin)?.instance.name ?? origin;
            orders.push({ kind, by, worker, at: time.now() });
            if (party.unreachable.has(worker)) {
                await pause(UNREACHABLE_MILLISECONDS);
                return Result.err<Answer, Failure>(createFailure("timeout", kind, "no answer"));
            }
            const answer = await order();
            if (kind === "stop") {
                await party.stopAnswers.pass();
            }
            return answer;
        };
        return {
            start: (origin, order) => send("start", origin, () => control.start(origin, order)),
            stop: (origin, order) => send("stop", origin, () => control.stop(origin, order)),
            throttle: (origin, order) => send("throttle", origin, () => control.throttle(origin, order)),
            renew: (origin, order) => send("renew", origin, () => control.renew(origin, order)),
        };
    };

    return {
        time,
        store,
        configuration,
        workers,
        records,
        orders,
        async add(instance, options = {}) {
            const party = { storeLink: createGate(), stopAnswers: createGate(), unreachable: new Set<string>() };
            const connected = store.connect(party.storeLink);
            listed.set(instance, createEntry(instance));
            const random = createRandom(1);
            const scheduler = createScheduler({
                identity: { instance, dataCentre: "levi", incarnation: instance, origin: `http://${instance}:1` },
                settings: SETTINGS,
                store: options.wrapStore?.(connected) ?? connected,
                instanceList: { list: async () => Result.ok([...listed.values()]) },
                workers: connectWorkers(instance, party),
                configuration,
                membership: {
                    members: () => [],
                    self: () => {
                        throw new Error("there is no membership here");
                    },
                    onChange: () => () => undefined,
                },
                rpc: createRpcClient({ token: "model-token", timeoutMilliseconds: 1 }),
                createPolicy: () => createPolicy({ settings: PolicySettings.parse({}), random }),
                credits: {
                    addCell: () => undefined,
                    updateWorkers: () => undefined,
                    removeCell: () => undefined,
                    observeConnections: () => undefined,
                },
                clock: time.now,
                random,
                metrics: createMetrics({}),
                logger: createLogger("model", { instance }),
            });
            const controller = new AbortController();
            controllers.push(controller);
            void scheduler.run(controller.signal);
            await time.advance(SETTLE_MILLISECONDS);
            return {
                instance,
                scheduler,
                ...party,
                async call(method, params) {
                    const answer = scheduler.handlers.find(({ name }) => name === method)?.handle(params);
                    await time.advance(SETTLE_MILLISECONDS);
                    return answer;
                },
            };
        },
        listStarts: worker =>
            records.flatMap(record =>
                record.event === "attempt-started" && (worker === undefined || record.worker === worker) ? [record] : []
            ),
        change(worker, changes) {
            listed.set(worker.instance.name, { ...worker.instance, ...changes });
        },
        async close() {
            controllers.forEach(controller => controller.abort());
            await time.advance(SETTLE_MILLISECONDS);
            time.end();
        },
    };
}

function createEntry(name: string): PlatformInstance {
    return {
        kind: "entry",
        name,
        dataCentre: "levi",
        state: "live",
        gatewayOrigin: `http://${name}:2`,
        schedulerOrigin: `http://${name}:1`,
    };
}
