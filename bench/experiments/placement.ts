/**
 * Decisions a second of the policy at cells of 16, 128 and 1,024 workers, on one core.
 *
 * Each cell is half full, with a service on every fourth worker, learned interference for all pairs, and a batch of
 * tasks that wait; one call decides on all of them. A decision is one task placed, parked or refused.
 */
import { createRandom } from "../../src/core/random.js";
import type { Random } from "../../src/core/random.js";
import { createPolicy } from "../../src/policy/create.js";
import type { CellView, PendingTask, PlacedTask, Policy, WorkerView } from "../../src/policy/policy.js";
import { PolicySettings } from "../../src/policy/settings.js";
import { createEnvironment } from "../policy/environment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";

/** What one size of cell came to. */
interface Measurement {
    readonly workers: number;
    readonly microsecondsPerDecision: number;
    readonly placedShare: number;
}

const SIZES = [16, 128, 1_024];
const TASKS_PER_CALL = 64;
const BATCH_TASKS_PER_WORKER = 3;
const SERVICE_EVERY = 4;
const RULES = 40;
const SERVICES = 8;
const WARM_UP_CALLS = 5;
const MEASURED_SECONDS = 3;
const GIBIBYTE = 1_073_741_824;
const NOW = 1_800_000_000_000;
const SMALLEST_RATE_AT_128 = 2_000;

function createWorkers(count: number): WorkerView[] {
    const environment = createEnvironment({ name: "bench", workers: count * 3, replicasPerCell: 1 }, 1, 1);
    return (environment.cells[0] ?? []).map((instance, index) => ({
        instance,
        state: "live",
        tasks: [
            ...Array.from(
                { length: BATCH_TASKS_PER_WORKER },
                (unused, place) => createPlaced(`batch-${index}-${place}`, "batch", `rule-${(index + place) % RULES}`),
            ),
            ...(index % SERVICE_EVERY === 0
                ? [createPlaced(`service-${index}`, "service", `service-${index % SERVICES}`)]
                : []),
        ],
    }));
}

function createPlaced(taskId: string, kind: "service" | "batch", rule: string): PlacedTask {
    return {
        taskId,
        attempt: 1,
        rule,
        team: "team",
        kind,
        resources: { cores: 4, memoryBytes: 8 * GIBIBYTE, accelerators: 0 },
        priority: kind === "service" ? 0 : 5,
        state: "running",
        startedAtMilliseconds: NOW,
        progress: 0.5,
        checkpointProgress: 0.5,
        evictions: 0,
        throttleShare: 1,
    };
}

function createWaiting(call: number, random: Random): PendingTask[] {
    return Array.from({ length: TASKS_PER_CALL }, (unused, index) => ({
        taskId: `waiting-${call}-${index}`,
        rule: `rule-${Math.floor(random() * RULES)}`,
        team: `team-${index % 8}`,
        kind: "batch",
        resources: { cores: 1 + Math.floor(4 * random()), memoryBytes: 4 * GIBIBYTE, accelerators: 0 },
        priority: 2 + Math.floor(6 * random()),
        dataCentres: [],
        submittedAtMilliseconds: NOW,
        notBeforeMilliseconds: 0,
        failures: 0,
        retries: 3,
        evictions: 0,
    }));
}

/** Reports of all workers, so that decisions are made from learned effects and sizes. */
function teach(policy: Policy, workers: readonly WorkerView[], random: Random): void {
    for (let step = 1; step <= 5; step += 1) {
        for (const { instance, tasks } of workers) {
            const measuredAtMilliseconds = NOW - 30_000 + step * 5_000;
            const usages = tasks.map(task => ({
                taskId: task.taskId,
                attempt: task.attempt,
                rule: task.rule,
                kind: task.kind,
                cores: task.resources.cores * (0.8 + 0.2 * random()),
                memoryBytes: task.resources.memoryBytes / 2,
                progress: task.progress,
                throttleShare: 1,
                ...(task.kind === "service"
                    ? {
                        requestsPerSecond: 100,
                        latencyMedianMilliseconds: 5,
                        latencyTailMilliseconds: 20 + 2 * random(),
                    }
                    : {}),
            }));
            policy.observeReport(
                { worker: instance.name, incarnation: "1", measuredAtMilliseconds, usages, connections: [] },
                NOW,
            );
        }
    }
}

function measure(workers: number, seed: number): Measurement {
    const random = createRandom(seed);
    const policy = createPolicy({ settings: PolicySettings.parse({}), random });
    const views = createWorkers(workers);
    teach(policy, views, random);
    let placed = 0;
    let decided = 0;
    let spentMilliseconds = 0;
    for (let call = 0; call < WARM_UP_CALLS || spentMilliseconds < MEASURED_SECONDS * 1_000; call += 1) {
        const view: CellView = {
            cell: "cell",
            workers: views,
            pending: createWaiting(call, random),
            quotas: [],
            placements: [],
        };
        const before = process.cpuUsage();
        const decisions = policy.decide(view, NOW);
        const { user, system } = process.cpuUsage(before);
        if (call >= WARM_UP_CALLS) {
            spentMilliseconds += (user + system) / 1_000;
            decided += TASKS_PER_CALL;
            placed += decisions.filter(decision => decision.kind === "place").length;
        }
    }
    return { workers, microsecondsPerDecision: spentMilliseconds * 1_000 / decided, placedShare: placed / decided };
}

export const experiment: Experiment = {
    name: "placement",
    summary: "decisions a second on one core at 16, 128 and 1,024 workers a cell",
    options: {},
    run: async (context: ExperimentContext): Promise<Check[]> => {
        const measurements = SIZES.map(workers => measure(workers, context.seed));
        for (const { workers, microsecondsPerDecision, placedShare } of measurements) {
            const rate = Math.round(1_000_000 / microsecondsPerDecision);
            context.progress(
                `${workers} workers: ${microsecondsPerDecision.toFixed(1)} µs of processor a decision, ${rate}/s, `
                    + `${Math.round(100 * placedShare)} % of ${TASKS_PER_CALL} tasks a call placed`,
            );
        }
        const [small, middle, large] = measurements;
        if (small === undefined || middle === undefined || large === undefined) {
            return [];
        }
        const growth = large.microsecondsPerDecision / small.microsecondsPerDecision;
        return [
            checkAtLeast(
                "placement-rate-128",
                1_000_000 / middle.microsecondsPerDecision,
                "decisions/s",
                SMALLEST_RATE_AT_128,
            ),
            checkAtMost(
                "placement-growth-16-to-1024",
                growth,
                "ratio",
                large.workers / small.workers,
                small.microsecondsPerDecision,
            ),
            checkAtLeast("placement-placed-share-128", middle.placedShare, "share", 0.99),
        ];
    },
};
