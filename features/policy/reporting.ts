/**
 * Usage reports for tests of the policy.
 */
import type { AttemptUsage, WorkerReport } from "../../src/platform/worker.js";
import type { PlacedTask } from "../../src/policy/policy.js";

/** Tail of the tests' service when nothing disturbs it, in milliseconds. */
export const BASELINE_TAIL_MILLISECONDS = 20;

/** A report of the tasks on a worker in which services have the given tail. */
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
