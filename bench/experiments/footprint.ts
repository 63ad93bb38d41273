/**
 * Scheduler's memory, processor share and bytes a second: at today's sizes, and per full cell.
 */
import { pause } from "../../src/core/time.js";
import { deploymentPlans, startDeployment } from "../../stand-ins/deployment.js";
import type { Deployment, DeploymentOptions } from "../../stand-ins/deployment.js";
import { applyText, readTasks, waitFor } from "../scheduler/operators.js";
import { readProcessUse } from "../scheduler/process.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";

const BYTES_PER_MEGABYTE = 1_000_000;
const BYTES_PER_KILOBYTE = 1_000;
const MEMORY_BOUND_MEGABYTES = 128;
const PROCESSOR_BOUND_PERCENT = 4.7;
const TRANSFER_BOUND_KILOBYTES = 14;
const SETTLE_MILLISECONDS = 8_000;
const DEFAULT_SECONDS = "20";
const FULL_CELL_WORKERS = 128;
const FULL_CELL_SLOTS = 11;
const FULL_CELL_SERVICES = 400;
const FULL_CELL_BATCH = 1_000;
const NODE_FLAGS = ["--max-old-space-size=64", "--max-semi-space-size=1"];

/** Mean use of the schedulers that own cells, over a span of time. */
interface Footprint {
    readonly residentMegabytes: number;
    readonly processorPercent: number;
    readonly kilobytesPerSecond: number;
}

export const experiment: Experiment = {
    name: "footprint",
    summary: "scheduler's memory, processor share and bytes a second, today and at a full cell",
    options: { seconds: { type: "string" }, only: { type: "string" } },
    async run(context) {
        const checks: Check[] = [];
        for (const [name, measure] of [["today", measureToday], ["full-cell", measureFullCell]] as const) {
            if (context.values["only"] === undefined || context.values["only"] === name) {
                checks.push(...await measure(context));
            }
        }
        return checks;
    },
};

async function measureToday(context: ExperimentContext): Promise<Check[]> {
    const plan = deploymentPlans["sumber-padi"];
    const rules = [
        "service ticket --replicas 60 --cores 2 --memory 4GiB --until 2030-01-01 # Bench, bench",
        "batch reconcile --tasks 90 --cores 2 --memory 4GiB --seconds 36000 --until 2030-01-01 # Bench, bench",
    ];
    return measureDeployment("today", { dataCentres: plan.dataCentres, instances: 9 }, rules, 150, context);
}

async function measureFullCell(context: ExperimentContext): Promise<Check[]> {
    const rules = [
        `service desk --replicas ${FULL_CELL_SERVICES} --cores 1 --memory 1GiB --until 2030-01-01 # Bench, bench`,
        `batch prep --tasks ${FULL_CELL_BATCH} --cores 1 --memory 1GiB --seconds 36000 --until 2030-01-01 # Bench, bench`,
    ];
    const shape = { slots: FULL_CELL_SLOTS, cores: 32, memoryBytes: 125_000_000_000, accelerators: 0, connections: 64 };
    const options = {
        dataCentres: [{ name: "levi", workers: FULL_CELL_WORKERS }],
        instances: 1,
        platform: { shape },
    };
    return measureDeployment("full-cell", options, rules, FULL_CELL_SERVICES + FULL_CELL_BATCH, context);
}

async function measureDeployment(
    name: string,
    options: DeploymentOptions,
    rules: readonly string[],
    tasks: number,
    context: ExperimentContext,
): Promise<Check[]> {
    const deployment = await startDeployment({ ...options, nodeFlags: NODE_FLAGS });
    try {
        await applyText(deployment, "bench", rules.join("\n"));
        await waitFor(`${tasks} tasks run`, async () => {
            const running = (await readTasks(deployment)).filter(({ state }) => state === "running").length;
            context.progress(`${name}: ${running} of ${tasks} tasks run`);
            await pause(500);
            return running === tasks;
        });
        await pause(SETTLE_MILLISECONDS);
        const footprints = await measureSchedulers(deployment, Number(context.values["seconds"] ?? DEFAULT_SECONDS));
        for (const [index, footprint] of footprints.entries()) {
            context.progress(`${name}: scheduler ${index + 1}: ${JSON.stringify(footprint)}`);
        }
        return toChecks(name, tasks, footprints);
    }
    finally {
        await deployment.kill();
    }
}

async function measureSchedulers(deployment: Deployment, seconds: number): Promise<Footprint[]> {
    const pids = deployment.instances.map(({ scheduler }) => scheduler.pid);
    const before = pids.map(readProcessUse);
    await pause(seconds * 1_000);
    return pids.map((pid, index) => {
        const first = before[index] ?? readProcessUse(pid);
        const last = readProcessUse(pid);
        const elapsedSeconds = (last.atMilliseconds - first.atMilliseconds) / 1_000;
        return {
            residentMegabytes: last.residentBytes / BYTES_PER_MEGABYTE,
            processorPercent: 100 * (last.processorSeconds - first.processorSeconds) / elapsedSeconds,
            kilobytesPerSecond: (last.transferredBytes - first.transferredBytes) / BYTES_PER_KILOBYTE / elapsedSeconds,
        };
    });
}

/** The bounds hold for each scheduler, so the largest figure counts. */
function toChecks(name: string, tasks: number, footprints: readonly Footprint[]): Check[] {
    const largest = (pick: (footprint: Footprint) => number) => Math.max(...footprints.map(pick));
    return [
        checkAtLeast(`${name}: tasks running while measured`, tasks, "tasks", 1),
        checkAtMost(`${name}: resident memory`, largest(use => use.residentMegabytes), "MB", MEMORY_BOUND_MEGABYTES),
        checkAtMost(`${name}: processor`, largest(use => use.processorPercent), "% of a core", PROCESSOR_BOUND_PERCENT),
        checkAtMost(
            `${name}: bytes read and written`,
            largest(use => use.kilobytesPerSecond),
            "KB/s",
            TRANSFER_BOUND_KILOBYTES,
        ),
    ];
}
