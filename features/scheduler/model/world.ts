/**
 * The model's world: schedulers over a store and workers in memory, in virtual time, with a checker of invariants.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../../src/core/errors.js";
import { createLogger } from "../../../src/core/log.js";
import { createMetrics } from "../../../src/core/metrics.js";
import { createRandom } from "../../../src/core/random.js";
import type { Random } from "../../../src/core/random.js";
import { createRpcClient } from "../../../src/core/rpc.js";
import type { EntryInstance, PlatformInstance } from "../../../src/platform/instances.js";
import { createPolicy } from "../../../src/policy/create.js";
import { PolicySettings } from "../../../src/policy/settings.js";
import { createScheduler } from "../../../src/scheduler/scheduler.js";
import type { Scheduler } from "../../../src/scheduler/scheduler.js";
import { CellSettings } from "../../../src/scheduler/settings.js";
import { createConfiguration } from "../support/rules.js";
import type { ChangingConfiguration } from "../support/rules.js";
import { createGate } from "./gate.js";
import type { Gate } from "./gate.js";
import { createInvariants } from "./invariants.js";
import type { Invariants } from "./invariants.js";
import { createModelStore } from "./store.js";
import type { ModelStore } from "./store.js";
import { startVirtualTime } from "./time.js";
import type { VirtualTime } from "./time.js";
import { createModelWorkers } from "./worker.js";
import type { ModelWorker, ModelWorkers } from "./worker.js";

const SLOTS = 3;
const RACKS_PER_CELL = 1;

/** Time for which a former owner may renew without the store. */
export const HORIZON_MILLISECONDS = 12_000;

const SETTINGS = CellSettings.parse({
    racksPerCell: RACKS_PER_CELL,
    commitIntervalMilliseconds: 50,
    storeLeaseSeconds: 2,
    claimIntervalMilliseconds: 250,
    instanceIntervalMilliseconds: 250,
    workerLeaseMilliseconds: 2_000,
    renewIntervalMilliseconds: 400,
    reportIntervalMilliseconds: 5_000,
    horizonMilliseconds: HORIZON_MILLISECONDS,
    stopGraceMilliseconds: 100,
    routeDrainMilliseconds: 100,
    segmentsPerSnapshot: 6,
    backOffMilliseconds: 200,
    longestBackOffMilliseconds: 1_000,
    overflowAfterMilliseconds: 1_500,
});

/** A scheduler's process in the model. */
export interface ModelScheduler {
    readonly instance: string;
    readonly dataCentre: string;
    gate: Gate;
    scheduler: Scheduler;
    controller: AbortController;
    state: "running" | "paused" | "dead";
}

/** The model's world. */
export interface World {
    readonly time: VirtualTime;
    readonly store: ModelStore;
    readonly workers: ModelWorkers;
    readonly schedulers: readonly ModelScheduler[];
    readonly configuration: ChangingConfiguration;
    readonly invariants: Invariants;
    /** What has been done, for the report of a failure. */
    readonly history: string[];
    recordStep(what: string): void;
    listWorkers(): readonly ModelWorker[];
    addWorker(dataCentre: string, rack: number): void;
    removeWorker(name: string): void;
    changeWorker(name: string, state: "live" | "leaving"): void;
    crash(scheduler: ModelScheduler): void;
    start(scheduler: ModelScheduler): void;
    close(): Promise<void>;
}

/** Creates a world: two data centres, two cells in the first and one in the second, three schedulers. */
export function createWorld(seed: number): World {
    const random = createRandom(seed);
    const time = startVirtualTime(now => {
        store.step(now);
        workers.all.forEach(worker => worker.step(now));
    });
    const store = createModelStore(time.now);
    const workers = createModelWorkers();
    const configuration = createConfiguration(time.now);
    const invariants = createInvariants(workers, time.now);
    const listed = new Map<string, PlatformInstance>();
    const schedulers: ModelScheduler[] = [];
    const history: string[] = [];
    let incarnations = 0;

    const addWorker = (dataCentre: string, rack: number) => {
        const name = `${dataCentre}-${workers.all.size + 1}`;
        const worker = workers.add({
            name,
            dataCentre,
            rack,
            slots: SLOTS,
            clock: time.now,
            record: record => invariants.observe(record),
        });
        listed.set(name, worker.instance);
    };

    const startProcess = (instance: string, dataCentre: string) => {
        incarnations += 1;
        const gate = createGate();
        const controller = new AbortController();
        const scheduler = createProcess(
            { instance, dataCentre, incarnation: String(incarnations), gate },
            { store, workers, configuration, listed, random, time },
        );
        void scheduler.run(controller.signal);
        return { gate, controller, scheduler, state: "running" as const };
    };

    for (
        const [dataCentre, rack] of [["levi", 0], ["levi", 0], ["levi", 1], ["rovaniemi", 0], ["rovaniemi", 0]] as const
    ) {
        addWorker(dataCentre, rack);
    }
    for (
        const [instance, dataCentre] of [["entry-1", "levi"], ["entry-2", "levi"], ["entry-3", "rovaniemi"]] as const
    ) {
        listed.set(instance, createEntry(instance, dataCentre));
        schedulers.push({ instance, dataCentre, ...startProcess(instance, dataCentre) });
    }

    return {
        time,
        store,
        workers,
        schedulers,
        configuration,
        invariants,
        history,
        recordStep(what) {
            history.push(`${time.now() % 10_000_000}: ${what}`);
        },
        listWorkers: () => [...workers.all.values()].filter(({ state }) => state !== "dead"),
        addWorker,
        removeWorker(name) {
            listed.delete(name);
        },
        changeWorker(name, state) {
            const instance = listed.get(name);
            if (instance !== undefined) {
                listed.set(name, { ...instance, state });
            }
        },
        crash(scheduler) {
            scheduler.gate.kill();
            scheduler.controller.abort();
            scheduler.state = "dead";
        },
        start(scheduler) {
            Object.assign(scheduler, startProcess(scheduler.instance, scheduler.dataCentre));
        },
        async close() {
            schedulers.forEach(({ controller }) => controller.abort());
            await time.advance(100);
            time.end();
        },
    };
}

interface ProcessIdentity {
    readonly instance: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    readonly gate: Gate;
}

interface ProcessEnvironment {
    readonly store: ModelStore;
    readonly workers: ModelWorkers;
    readonly configuration: ChangingConfiguration;
    readonly listed: ReadonlyMap<string, PlatformInstance>;
    readonly random: Random;
    readonly time: VirtualTime;
}

function createProcess(
    { instance, dataCentre, incarnation, gate }: ProcessIdentity,
    world: ProcessEnvironment,
): Scheduler {
    return createScheduler({
        identity: { instance, dataCentre, incarnation, origin: `http://${instance}:1` },
        settings: SETTINGS,
        store: world.store.connect(gate),
        instanceList: {
            async list() {
                await gate.pass();
                return Result.ok([...world.listed.values()]);
            },
        },
        workers: world.workers.connect(gate),
        configuration: world.configuration,
        membership: {
            members: () => [],
            self: () => {
                throw new Error("the model has no membership");
            },
            onChange: () => () => undefined,
        },
        rpc: {
            ...createRpcClient({ token: "model-token", timeoutMilliseconds: 1 }),
            call: async () => Result.err(createFailure("unavailable", "call", "the model has no peers")),
        },
        createPolicy: () => createPolicy({ settings: PolicySettings.parse({}), random: world.random }),
        credits: {
            addCell: () => undefined,
            updateWorkers: () => undefined,
            removeCell: () => undefined,
            observeConnections: () => undefined,
        },
        clock: world.time.now,
        random: world.random,
        metrics: createMetrics({}),
        logger: createLogger("model", { instance }),
    });
}

function createEntry(name: string, dataCentre: string): EntryInstance {
    return {
        kind: "entry",
        name,
        dataCentre,
        state: "live",
        gatewayOrigin: `http://${name}:2`,
        schedulerOrigin: `http://${name}:1`,
    };
}
