/**
 * Usage reports for tests of the policy.
 */
import type { AttemptUsage, WorkerReport } from "../../src/platform/worker.js";
import type { PlacedTask } from "../../src/policy/policy.js";

/** Baseline tail latency of the test service, without batch neighbours. */
export const BASELINE_TAIL_MILLISECONDS = 20;

/** Returns a usage report of a worker's tasks in which services have the given tail latency. */
export function createReport(
    worker: string,
    tasks: readonly PlacedTask[],
    measuredAtMilliseconds: number,
    tailMilliseconds = BASELINE_TAIL_MILLISECONDS,
    useShare = 1,
): WorkerReport {
    const usages: AttemptUsage[] = tasks.map(task => ({
        taskId: task.taskId,
        attempt: task.attempt,
        rule: task.rule,
        kind: task.kind,
        cores: task.resources.cores * task.throttleShare * useShare,
        memoryBytes: task.resources.memoryBytes / 2,
        progress: task.progress,
        throttleShare: task.throttleShare,
        ...(task.kind === "service"
            ? {
                requestsPerSecond: 50,
                latencyMedianMilliseconds: tailMilliseconds / 3,
                latencyTailMilliseconds: tailMilliseconds,
            }
            : {}),
    }));
    return { worker, incarnation: "1", measuredAtMilliseconds, usages, connections: [] };
}
