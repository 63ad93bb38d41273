/**
 * Interference in the policy bench's model, and the reports that workers make of it.
 */
import type { Random } from "../../src/core/random.js";
import type { AttemptUsage, WorkerReport } from "../../src/platform/worker.js";
import { BASE_TAIL_MILLISECONDS } from "./contestants.js";
import type { Environment } from "./environment.js";
import { drawNormal, SERVICE_CORES } from "./environment.js";
import type { ModelTask } from "./tasks.js";
import { toMilliseconds } from "./tasks.js";

export const REQUESTS_AT_PEAK = 100;
const MISSING_REPORTS = 0.05;
const WRONG_REPORTS = 0.01;
const REPORT_NOISE = 0.1;
const SERVICE_NEIGHBOUR_EFFECT = 0.01;
const REFERENCE_CORES = 4;
/** Ratio of the 99th percentile to the median of the latency of single requests. */
const TAIL_FACTOR = Math.exp(2.326 * 0.5);

/** Real use of cores. */
export function useCores(environment: Environment, task: ModelTask, load: number, second: number): number {
    if (task.kind === "service") {
        return SERVICE_CORES * (0.3 + 0.5 * load);
    }
    const noisy = environment.isNoisy(task.index, second) ? 1.25 : 1;
    return task.cores * (environment.batches[task.index]?.useShare ?? 1) * task.share * noisy;
}

/** Median latency in units of the service's base. */
export function latencyOf(
    environment: Environment,
    service: ModelTask,
    tasks: readonly ModelTask[],
    load: number,
    second: number,
): number {
    let rise = 0;
    for (const other of tasks) {
        if (other === service) {
            continue;
        }
        if (other.kind === "service") {
            rise += SERVICE_NEIGHBOUR_EFFECT;
            continue;
        }
        const useShare = environment.batches[other.index]?.useShare ?? 1;
        const noisy = environment.isNoisy(other.index, second) ? 2 : 1;
        rise += environment.effect(service.index, other.index, second) * other.share * other.cores * useShare
            / REFERENCE_CORES * noisy;
    }
    return (1 + 0.5 * load) * (1 + (0.25 + 0.75 * load ** 2) * rise);
}

/** Makes the report of a worker; `undefined` where it goes missing. Latencies are wrong now and then. */
export function createReport(
    environment: Environment,
    worker: string,
    tasks: readonly ModelTask[],
    medians: ReadonlyMap<ModelTask, number>,
    second: number,
    random: Random,
): WorkerReport | undefined {
    const load = environment.load(second);
    // Drawn in any case, so that a missing report does not shift what follows.
    const missing = random() < MISSING_REPORTS;
    const usages: AttemptUsage[] = tasks.map(task => {
        const median = medians.get(task);
        const noise = Math.exp(REPORT_NOISE * drawNormal(random));
        const wrong = random() < WRONG_REPORTS ? 10 ** Math.sign(random() - 0.5) : 1;
        return {
            taskId: task.taskId,
            attempt: task.attempt,
            rule: task.rule,
            kind: task.kind,
            cores: useCores(environment, task, load, second),
            memoryBytes: 0.8 * task.memoryBytes,
            progress: task.kind === "batch" ? task.doneSeconds / task.workSeconds : 0,
            throttleShare: task.share,
            ...(median === undefined ? {} : {
                requestsPerSecond: REQUESTS_AT_PEAK * load,
                latencyMedianMilliseconds: BASE_TAIL_MILLISECONDS / TAIL_FACTOR * median * noise * wrong,
                latencyTailMilliseconds: BASE_TAIL_MILLISECONDS * median * noise * wrong,
            }),
        };
    });
    const measuredAtMilliseconds = toMilliseconds(second);
    return missing ? undefined : { worker, incarnation: "1", measuredAtMilliseconds, usages, connections: [] };
}
