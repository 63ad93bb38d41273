/**
 * What the operators' port says of tasks.
 */
import type { TaskSummary } from "../../src/core/messages/operator.js";
import { createRpcClient } from "../../src/core/rpc.js";
import { listTasks } from "../../src/operator/messages.js";
import { OPERATOR_TOKEN } from "../../stand-ins/deployment.js";
import type { Demo } from "./open.js";

const TIMEOUT_MILLISECONDS = 5_000;

/** Reads all tasks, or none where no gateway answers. */
export async function readTasks(demo: Demo): Promise<readonly TaskSummary[]> {
    const rpc = createRpcClient({ token: OPERATOR_TOKEN, timeoutMilliseconds: TIMEOUT_MILLISECONDS });
    for (const origin of demo.operatorOrigins) {
        const answer = await rpc.call(origin, listTasks, {});
        if (answer.isOk) {
            return answer.value.tasks;
        }
    }
    return [];
}

/** Tells whether a task runs. */
export function isRunning(task: TaskSummary): boolean {
    return task.state === "running";
}

/** Tells whether a batch task has finished. */
export function isFinishedBatch(task: TaskSummary): boolean {
    return task.kind === "batch" && task.state === "finished";
}
