/**
 * What a run of the policy bench happens in: workers, load, hidden effects and arrivals, the same for all contestants.
 *
 * docs/measurements/policy-model.md gives the model; nothing here is shared with the policy.
 */
import { createRandom } from "../../src/core/random.js";
import type { Random } from "../../src/core/random.js";
import type { WorkerInstance } from "../../src/platform/instances.js";

/** A deployment: its size and its name. */
export interface Deployment {
    readonly name: string;
    readonly workers: number;
    readonly replicasPerCell: number;
}

export const deployments: readonly Deployment[] = [
    { name: "tunturivalo", workers: 33, replicasPerCell: 3 },
    { name: "sumber-padi", workers: 45, replicasPerCell: 4 },
];

/** A batch rule as it really is. */
export interface BatchModel {
    readonly rule: string;
    readonly declaredCores: number;
    readonly declaredGibibytes: number;
    /** Real use of cores as a share of the declared ones. */
    readonly useShare: number;
    readonly meanSeconds: number;
}

/** A batch task that arrives. */
export interface Arrival {
    readonly atSecond: number;
    readonly cell: number;
    readonly batch: number;
    readonly workSeconds: number;
}

/** A time in which one batch rule is noisy. */
interface Wave {
    readonly batch: number;
    readonly fromSecond: number;
    readonly toSecond: number;
}

/** One run's world. Seconds count from the start of the run. */
export interface Environment {
    readonly cells: readonly (readonly WorkerInstance[])[];
    readonly services: readonly string[];
    readonly replicasPerCell: number;
    readonly batches: readonly BatchModel[];
    readonly arrivals: readonly Arrival[];
    readonly seconds: number;
    /** Load of the services, 0 to 1. */
    load(second: number): number;
    /** Rise of a service's latency by 4 cores of a batch rule at peak load. */
    effect(service: number, batch: number, second: number): number;
    isNoisy(batch: number, second: number): boolean;
}

export const SERVICE_CORES = 3;
export const SERVICE_GIBIBYTES = 6;
export const GIBIBYTE = 1_073_741_824;
const CELLS = 3;
const SERVICES = 4;
const BATCH_RULES = 10;
const CHANGED_RULES = 3;
const WORKER_CORES = 32;
const WORKER_GIBIBYTES = 125;
const WORKER_SLOTS = 8;
const RACK_SIZE = 8;
const BATCH_DEMAND = 0.8;
const RUN_TIME_SIGMA = 0.5;
const WAVE_GAP_SECONDS = 720;
const WAVE_SECONDS = 180;
const WAVE_ARRIVALS = 3;
const LOAD_PERIOD_SECONDS = 5_400;

/** Creates the world of one run. */
export function createEnvironment(deployment: Deployment, seed: number, seconds: number): Environment {
    const random = createRandom(seed);
    const batches = Array.from({ length: BATCH_RULES }, (unused, index) => createBatch(index, random));
    const before = createEffects(random);
    const after = changeEffects(before, random);
    const waves = createWaves(seconds, random);
    const noise = Array.from({ length: seconds + 1 }, () => 0.95 + 0.1 * random());
    const phase = random();
    const isNoisy = (batch: number, second: number) =>
        waves.some(wave => wave.batch === batch && second >= wave.fromSecond && second < wave.toSecond);
    return {
        cells: createCells(deployment),
        services: Array.from({ length: SERVICES }, (unused, index) => `service-${index}`),
        replicasPerCell: deployment.replicasPerCell,
        batches,
        arrivals: createArrivals(deployment, batches, isNoisy, seconds, random),
        seconds,
        load: second => {
            const wave = 0.65 + 0.35 * Math.sin(2 * Math.PI * (second / LOAD_PERIOD_SECONDS + phase));
            return Math.min(1, Math.max(0.3, wave * (noise[second] ?? 1)));
        },
        effect: (service, batch, second) => (second < seconds / 2 ? before : after)[service]?.[batch] ?? 0,
        isNoisy,
    };
}

function createBatch(index: number, random: Random): BatchModel {
    return {
        rule: `batch-${index}`,
        declaredCores: 2 + Math.floor(7 * random()),
        declaredGibibytes: 4 + Math.floor(13 * random()),
        useShare: 0.6 + 0.6 * random(),
        meanSeconds: 240 + 480 * random(),
    };
}

function drawEffect(random: Random): number {
    const kind = random();
    if (kind < 0.6) {
        return 0.03 * random();
    }
    return kind < 0.85 ? 0.1 + 0.2 * random() : 0.6 + 1.4 * random();
}

function createEffects(random: Random): number[][] {
    return Array.from({ length: SERVICES }, () => Array.from({ length: BATCH_RULES }, () => drawEffect(random)));
}

function changeEffects(before: readonly (readonly number[])[], random: Random): number[][] {
    const first = Math.floor(BATCH_RULES * random());
    const changed = new Set(Array.from({ length: CHANGED_RULES }, (unused, step) => (first + step) % BATCH_RULES));
    return before.map(effects => effects.map((effect, batch) => changed.has(batch) ? drawEffect(random) : effect));
}

function createWaves(seconds: number, random: Random): Wave[] {
    const waves: Wave[] = [];
    let second = drawExponential(WAVE_GAP_SECONDS, random);
    while (second < seconds) {
        const batch = Math.floor(BATCH_RULES * random());
        waves.push({ batch, fromSecond: second, toSecond: second + WAVE_SECONDS });
        second += drawExponential(WAVE_GAP_SECONDS, random);
    }
    return waves;
}

function createArrivals(
    deployment: Deployment,
    batches: readonly BatchModel[],
    isNoisy: Environment["isNoisy"],
    seconds: number,
    random: Random,
): Arrival[] {
    const workersPerCell = deployment.workers / CELLS;
    const free = workersPerCell * WORKER_CORES - SERVICES * deployment.replicasPerCell * SERVICE_CORES;
    const arrivals: Arrival[] = [];
    for (let cell = 0; cell < CELLS; cell += 1) {
        batches.forEach((model, batch) => {
            const meanWork = model.meanSeconds * Math.exp(RUN_TIME_SIGMA ** 2 / 2);
            const perSecond = BATCH_DEMAND * free / batches.length / (model.declaredCores * meanWork);
            // Drawn at the rate of waves; outside of waves all but a third are dropped.
            let second = drawExponential(1 / (perSecond * WAVE_ARRIVALS), random);
            while (second < seconds) {
                const workSeconds = model.meanSeconds * Math.exp(RUN_TIME_SIGMA * drawNormal(random));
                if (random() < 1 / WAVE_ARRIVALS || isNoisy(batch, second)) {
                    arrivals.push({ atSecond: second, cell, batch, workSeconds });
                }
                second += drawExponential(1 / (perSecond * WAVE_ARRIVALS), random);
            }
        });
    }
    return arrivals.sort((left, right) => left.atSecond - right.atSecond);
}

function createCells(deployment: Deployment): WorkerInstance[][] {
    const perCell = deployment.workers / CELLS;
    return Array.from({ length: CELLS }, (unused, cell) =>
        Array.from({ length: perCell }, (alsoUnused, index) => ({
            kind: "worker" as const,
            name: `worker-${cell}-${String(index).padStart(2, "0")}`,
            dataCentre: `centre-${cell}`,
            rack: Math.floor(index / RACK_SIZE),
            state: "live" as const,
            shape: {
                slots: WORKER_SLOTS,
                cores: WORKER_CORES,
                memoryBytes: WORKER_GIBIBYTES * GIBIBYTE,
                accelerators: 0,
                connections: 64,
            },
            controlOrigin: "http://127.0.0.1:1",
            serveOrigin: "http://127.0.0.1:2",
        })));
}

function drawExponential(mean: number, random: Random): number {
    return -mean * Math.log(1 - random());
}

/** Draws from the standard normal distribution. */
export function drawNormal(random: Random): number {
    return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
