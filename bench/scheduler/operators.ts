/**
 * What an operator does, for benches: applies rules and lists tasks through a gateway.
 */
import { randomUUID } from "node:crypto";
import type { TaskSummary } from "../../src/core/messages/operator.js";
import { createRpcClient } from "../../src/core/rpc.js";
import { pause } from "../../src/core/time.js";
import { applyRules, listTasks } from "../../src/operator/messages.js";
import { OPERATOR_TOKEN } from "../../stand-ins/deployment.js";
import type { Deployment } from "../../stand-ins/deployment.js";

const CALL_LIMIT_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 50;
const WAIT_LIMIT_MILLISECONDS = 30_000;

const client = createRpcClient({ token: OPERATOR_TOKEN, timeoutMilliseconds: CALL_LIMIT_MILLISECONDS });

/** Applies a team's rules; repeats until a gateway takes them. */
export async function applyText(deployment: Deployment, team: string, text: string): Promise<void> {
    const order = { team, text, baseRevision: 0, applyId: randomUUID(), by: "bench" };
    await waitFor(`rules of ${team} are accepted`, async () => {
        const answer = await client.call(operatorOrigin(deployment), applyRules, order);
        if (answer.isOk && answer.value.outcome !== "accepted") {
            throw new Error(`rules of ${team}: ${JSON.stringify(answer.value)}`);
        }
        return answer.isOk;
    });
}

/** Lists all tasks of the deployment. */
export async function readTasks(deployment: Deployment): Promise<readonly TaskSummary[]> {
    const answer = await client.call(operatorOrigin(deployment), listTasks, {});
    return answer.isOk ? answer.value.tasks : [];
}

/** Waits until a condition holds; rejects after half a minute. */
export async function waitFor(what: string, holds: () => Promise<boolean>): Promise<void> {
    const deadline = performance.now() + WAIT_LIMIT_MILLISECONDS;
    while (!await holds()) {
        if (performance.now() > deadline) {
            throw new Error(`waited in vain: ${what}`);
        }
        await pause(POLL_MILLISECONDS);
    }
}

function operatorOrigin(deployment: Deployment): string {
    const origin = deployment.instances[0]?.gateway.announcement["operators"];
    if (origin === undefined) {
        throw new Error("the deployment has no gateway");
    }
    return origin;
}
