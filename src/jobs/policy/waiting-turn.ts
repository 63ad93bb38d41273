/**
 * Tells tasks that only the limit of starts holds from those that come after others, where a pass has ended at its limit.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import type { Task } from "../job-table/task.js";
import type { WaitingReason } from "./waiting-reasons.js";
import type { PlacementExplanation } from "./waiting.js";

/** Counts for each step how many tasks of its pool come before its first one, of those that a pass has left out, in their order. */
export function countTasksBefore(
    unreachedTasks: readonly Task[],
    poolOf: (task: Task) => string | undefined,
): ReadonlyMap<StepProgress, number> {
    const countsByPool = new Map<string | undefined, number>();
    const tasksBefore = new Map<StepProgress, number>();
    for (const task of unreachedTasks) {
        const pool = poolOf(task);
        const count = countsByPool.get(pool) ?? 0;
        countsByPool.set(pool, count + 1);
        const step = stepProgressOf(task);
        tasksBefore.set(step, tasksBefore.get(step) ?? count);
    }
    return tasksBefore;
}

/**
 * Explains why a task waits that workers suit, by how many tasks come before it; absent if the latest pass has looked at it. Each task before
 * it takes one of the workers at most, so that one is left while there are fewer of them than workers that suit.
 */
export function explainTurn(
    { reason, suitableWorkers }: Pick<PlacementExplanation, "reason" | "suitableWorkers">,
    tasksBefore: number | undefined,
): WaitingReason {
    const isSuited = reason === "worker-suits" || reason === "gang-room";
    if (!isSuited || tasksBefore === undefined) {
        return reason;
    }
    return tasksBefore < suitableWorkers ? "start-limit" : "turn";
}
