/**
 * Platform stand-ins and schedulers in one process, joined by real connections.
 */
import { randomUUID } from "node:crypto";
import { createLogger } from "../../../src/core/log.js";
import { createMetrics } from "../../../src/core/metrics.js";
import { createRandom } from "../../../src/core/random.js";
import { createRpcClient } from "../../../src/core/rpc.js";
import { pause, systemClock } from "../../../src/core/time.js";
import { createInstanceList } from "../../../src/platform/adapters/instances.js";
import { createStore } from "../../../src/platform/adapters/store.js";
import { createWorkerControl } from "../../../src/platform/adapters/worker.js";
import type { EntryInstance } from "../../../src/platform/instances.js";
import { createPolicy } from "../../../src/policy/create.js";
import { PolicySettings } from "../../../src/policy/settings.js";
import { createScheduler } from "../../../src/scheduler/scheduler.js";
import type { Scheduler } from "../../../src/scheduler/scheduler.js";
import { CellSettings } from "../../../src/scheduler/settings.js";
import { createInstancesStandIn, InstancesStandInSettings } from "../../../stand-ins/instances/index.js";
import type { InstancesStandIn } from "../../../stand-ins/instances/index.js";
import { createStoreStandIn, StoreStandInSettings } from "../../../stand-ins/store/index.js";
import type { StoreStandIn } from "../../../stand-ins/store/index.js";
import { createWorkerStandIn, WorkerBehaviour } from "../../../stand-ins/worker/index.js";
import type { WorkerRecord, WorkerStandIn } from "../../../stand-ins/worker/index.js";
import { createConfiguration } from "./rules.js";
import type { ChangingConfiguration } from "./rules.js";

const SHAPE = { slots: 8, cores: 32, memoryBytes: 125_000_000_000, accelerators: 0, connections: 64 };
const WORKERS_PER_RACK = 8;
const CALL_LIMIT_MILLISECONDS = 500;
const WAIT_LIMIT_MILLISECONDS = 20_000;
const WAIT_STEP_MILLISECONDS = 20;

/** Short intervals, so that scenarios take little time. */
const QUICK_SETTINGS = CellSettings.parse({
    commitIntervalMilliseconds: 20,
    storeLeaseSeconds: 1,
    claimIntervalMilliseconds: 100,
    instanceIntervalMilliseconds: 100,
    workerLeaseMilliseconds: 1_000,
    renewIntervalMilliseconds: 200,
    reportIntervalMilliseconds: 500,
    stopGraceMilliseconds: 200,
    routeDrainMilliseconds: 50,
});

/** A scheduler of the fleet. */
export interface FleetScheduler {
    readonly instance: string;
    readonly scheduler: Scheduler;
    readonly finished: Promise<void>;
    /** Ends its tasks without handing anything over. */
    abort(): void;
}

/** A fleet for one scenario. */
export interface Fleet {
    readonly store: StoreStandIn;
    readonly instances: InstancesStandIn;
    readonly workers: readonly WorkerStandIn[];
    readonly records: readonly WorkerRecord[];
    readonly configuration: ChangingConfiguration;
    readonly schedulers: readonly FleetScheduler[];
    startScheduler(instance: string, dataCentre: string, settings?: Partial<CellSettings>): FleetScheduler;
    close(): Promise<void>;
}

/** Starts the platform's stand-ins with workers in each data centre. */
export async function createFleet(
    dataCentres: Readonly<Record<string, number>>,
    behaviour: Partial<WorkerBehaviour> = {},
): Promise<Fleet> {
    const store = await createStoreStandIn(StoreStandInSettings.parse({}));
    const records: WorkerRecord[] = [];
    const workers: WorkerStandIn[] = [];
    for (const [dataCentre, count] of Object.entries(dataCentres)) {
        for (let index = 0; index < count; index += 1) {
            workers.push(
                await createWorkerStandIn({
                    name: `${dataCentre}-${index + 1}`,
                    dataCentre,
                    rack: Math.floor(index / WORKERS_PER_RACK),
                    shape: SHAPE,
                    host: "127.0.0.1",
                    behaviour: WorkerBehaviour.parse(behaviour),
                    record: record => {
                        records.push(record);
                    },
                }),
            );
        }
    }
    const instances = await createInstancesStandIn(
        InstancesStandInSettings.parse({}),
        workers.map(worker => worker.instance),
    );
    const configuration = createConfiguration();
    const schedulers: FleetScheduler[] = [];
    return {
        store,
        instances,
        workers,
        records,
        configuration,
        schedulers,
        startScheduler(instance, dataCentre, settings = {}) {
            instances.put(createEntry(instance, dataCentre));
            const controller = new AbortController();
            const random = createRandom(1);
            const scheduler = createScheduler({
                identity: { instance, dataCentre, incarnation: randomUUID(), origin: "http://127.0.0.1:1" },
                settings: { ...QUICK_SETTINGS, ...settings },
                store: createStore({ origins: [store.origin], timeoutMilliseconds: CALL_LIMIT_MILLISECONDS }),
                instanceList: createInstanceList({
                    origin: instances.origin,
                    timeoutMilliseconds: CALL_LIMIT_MILLISECONDS,
                }),
                workers: createWorkerControl({ timeoutMilliseconds: CALL_LIMIT_MILLISECONDS }),
                configuration,
                membership: {
                    members: () => [],
                    self: () => createMember(instance, dataCentre),
                    onChange: () => () => undefined,
                },
                rpc: createRpcClient({ token: "test-token", timeoutMilliseconds: CALL_LIMIT_MILLISECONDS }),
                createPolicy: () => createPolicy({ settings: PolicySettings.parse({}), random }),
                credits: {
                    addCell: () => undefined,
                    updateWorkers: () => undefined,
                    removeCell: () => undefined,
                    observeConnections: () => undefined,
                },
                clock: systemClock,
                random,
                metrics: createMetrics({}),
                logger: createLogger("scheduler", { instance }),
            });
            const running = {
                instance,
                scheduler,
                finished: scheduler.run(controller.signal),
                abort: () => controller.abort(),
            };
            schedulers.push(running);
            return running;
        },
        async close() {
            schedulers.forEach(scheduler => scheduler.abort());
            await Promise.all(schedulers.map(scheduler => scheduler.finished));
            await Promise.all([store.close(), instances.close(), ...workers.map(worker => worker.close())]);
        },
    };
}

/** Waits until a condition holds; the text says what was waited for. */
export async function waitUntil(condition: string, isTrue: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = Date.now() + WAIT_LIMIT_MILLISECONDS;
    while (!await isTrue()) {
        if (Date.now() > deadline) {
            throw new Error(`waited in vain: ${condition}`);
        }
        await pause(WAIT_STEP_MILLISECONDS);
    }
}

function createEntry(name: string, dataCentre: string): EntryInstance {
    return {
        kind: "entry",
        name,
        dataCentre,
        state: "live",
        gatewayOrigin: "http://127.0.0.1:1",
        schedulerOrigin: "http://127.0.0.1:1",
    };
}

function createMember(instance: string, dataCentre: string) {
    return {
        instance,
        role: "scheduler" as const,
        dataCentre,
        origin: "http://127.0.0.1:1",
        incarnation: 1,
        state: "alive" as const,
        configurationRevision: 0,
    };
}
