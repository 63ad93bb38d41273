/**
 * `flamingowell-platform --settings FILE`: store, instance list and workers for development, in one process.
 */
import { parseArgs } from "node:util";
import * as z from "zod";
import { describeThrown, formatFailure } from "../src/core/errors.js";
import { Name } from "../src/core/messages/identity.js";
import { loadSettings } from "../src/core/settings.js";
import { systemClock } from "../src/core/time.js";
import { WorkerShape } from "../src/platform/instances.js";
import { createInstancesStandIn, InstancesStandInSettings } from "./instances/index.js";
import { createStoreStandIn, StoreStandInSettings } from "./store/index.js";
import { createWorkerStandIn, openRecordFile, WorkerBehaviour } from "./worker/index.js";
import type { Recorder, WorkerStandIn } from "./worker/index.js";

const STALL_CHECK_MILLISECONDS = 50;
const LEAST_STALL_MILLISECONDS = 200;
const DEFAULT_SHAPE = { slots: 8, cores: 32, memoryBytes: 125_000_000_000, accelerators: 0, connections: 64 };

/** Settings of the development platform. */
const PlatformSettings = z.strictObject({
    host: z.string().min(1).default("127.0.0.1"),
    store: StoreStandInSettings.prefault({}),
    instances: InstancesStandInSettings.prefault({}),
    /** Workers by data centre, named `DATACENTRE-NN`. */
    dataCentres: z.array(z.strictObject({ name: Name, workers: z.int().min(0) })).default([]),
    workersPerRack: z.int().min(1).default(8),
    shape: WorkerShape.default(DEFAULT_SHAPE),
    workers: WorkerBehaviour.prefault({}),
    /** File that workers' records are appended to; nothing is recorded without one. */
    recordFile: z.string().optional(),
});
type PlatformSettings = z.infer<typeof PlatformSettings>;

await main();

async function main(): Promise<void> {
    const settings = await readSettings();
    if (settings !== undefined) {
        await run(settings);
    }
}

async function readSettings(): Promise<PlatformSettings | undefined> {
    try {
        const { values } = parseArgs({ options: { settings: { type: "string" } } });
        if (values.settings === undefined) {
            throw new Error("use --settings FILE");
        }
        const settings = await loadSettings(values.settings, PlatformSettings);
        if (settings.isErr) {
            throw new Error(settings.error.map(formatFailure).join("\n"));
        }
        return settings.value;
    }
    catch (thrown) {
        console.error(describeThrown(thrown));
        process.exitCode = 2;
        return undefined;
    }
}

async function run(settings: PlatformSettings): Promise<void> {
    const records = settings.recordFile === undefined ? undefined : openRecordFile(settings.recordFile);
    const store = await createStoreStandIn(settings.store);
    const workers: WorkerStandIn[] = [];
    for (const dataCentre of settings.dataCentres) {
        for (let index = 0; index < dataCentre.workers; index += 1) {
            workers.push(
                await createWorkerStandIn({
                    name: `${dataCentre.name}-${String(index + 1).padStart(2, "0")}`,
                    dataCentre: dataCentre.name,
                    rack: Math.floor(index / settings.workersPerRack),
                    shape: settings.shape,
                    host: settings.host,
                    behaviour: settings.workers,
                    record: records?.record ?? (() => undefined),
                }),
            );
        }
    }
    const instances = await createInstancesStandIn(settings.instances, workers.map(worker => worker.instance));
    console.log(JSON.stringify({
        event: "listening",
        store: store.origin,
        instances: instances.origin,
        workers: workers.map(({ instance }) => ({
            name: instance.name,
            control: instance.controlOrigin,
            serve: instance.serveOrigin,
        })),
    }));
    const watching = watchStalls(records?.record ?? (() => undefined));
    const stop = async () => {
        clearInterval(watching);
        await Promise.all([store, instances, ...workers].map(part => part.close()));
        records?.close();
    };
    process.once("SIGTERM", () => void stop());
    process.once("SIGINT", () => void stop());
}

/** Writes down when this process has stood still, so that checkers do not blame the system for it. */
function watchStalls(record: Recorder): NodeJS.Timeout {
    let last = systemClock();
    return setInterval(() => {
        const at = systemClock();
        const milliseconds = at - last - STALL_CHECK_MILLISECONDS;
        if (milliseconds > LEAST_STALL_MILLISECONDS) {
            record({ event: "stalled", worker: "platform", at, milliseconds });
        }
        last = at;
    }, STALL_CHECK_MILLISECONDS);
}
