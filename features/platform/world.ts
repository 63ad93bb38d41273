/**
 * Orders and requests to a worker stand-in, as its scenarios give them.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import type { Result } from "true-myth/result";
import { request } from "undici";
import type { Failure } from "../../src/core/errors.js";
import { pause } from "../../src/core/time.js";
import { createWorkerControl } from "../../src/platform/adapters/worker.js";
import { headers } from "../../src/platform/worker.js";
import type { AttemptStatus, AttemptUsage, RenewAnswer, StartAnswer } from "../../src/platform/worker.js";
import type { WorkerRecord, WorkerStandIn } from "../../stand-ins/worker/index.js";

/** Time between two looks at a condition. */
export const POLL_MILLISECONDS = 20;
const LEASE_MILLISECONDS = 600_000;
const RESOURCES = { cores: 4, memoryBytes: 1, accelerators: 0 };
/** The worker adapter. */
export const control = createWorkerControl({ timeoutMilliseconds: 2_000 });

/** State of a scenario. */
export interface WorkerWorld {
    standIn: WorkerStandIn;
    records: WorkerRecord[];
    epoch: number;
    started: Result<readonly StartAnswer[], Failure>;
    incarnation: string;
    answer: { status: number; outcome: string; };
    underWay: Promise<{ status: number; outcome: string; }>;
    sockets: Socket[];
}

/** Gives the header of an order. */
export function header(world: WorkerWorld) {
    return { cell: "levi-0", owner: "test", epoch: world.epoch };
}

interface Start {
    readonly rule?: string;
    readonly kind?: "service" | "batch";
    readonly workSeconds?: number;
    readonly leaseMilliseconds?: number;
    readonly checkpoint?: string;
}

/** Starts an attempt; the answer is kept. */
export async function start(
    world: WorkerWorld,
    taskId: string,
    attempt: number,
    order: Start,
    workerIncarnation?: string,
): Promise<void> {
    world.started = await control.start(world.standIn.instance.controlOrigin, {
        ...header(world),
        ...(workerIncarnation === undefined ? {} : { workerIncarnation }),
        starts: [{
            taskId,
            attempt,
            rule: "prep",
            kind: "batch",
            resources: RESOURCES,
            workSeconds: 900,
            leaseMilliseconds: LEASE_MILLISECONDS,
            ...order,
        }],
    });
}

/** Stops an attempt. */
export async function stop(world: WorkerWorld, taskId: string, attempt: number, checkpoint: boolean): Promise<void> {
    const answer = await control.stop(world.standIn.instance.controlOrigin, {
        ...header(world),
        stops: [{ taskId, attempt, checkpoint, graceMilliseconds: LEASE_MILLISECONDS }],
    });
    assert.ok(answer.isOk, JSON.stringify(answer));
}

/** Renews no lease and acknowledges attempts. */
export async function renew(
    world: WorkerWorld,
    acknowledged: { taskId: string; attempt: number; }[] = [],
): Promise<RenewAnswer> {
    const answer = await readReport(world, acknowledged);
    assert.ok(answer.isOk, JSON.stringify(answer));
    return answer.value;
}

/** Renews no lease, acknowledges attempts and asks for a report. */
export function readReport(
    world: WorkerWorld,
    acknowledged: { taskId: string; attempt: number; }[] = [],
): Promise<Result<RenewAnswer, Failure>> {
    return control.renew(world.standIn.instance.controlOrigin, {
        ...header(world),
        leaseMilliseconds: LEASE_MILLISECONDS,
        renewals: [],
        acknowledged,
        reportAfterMilliseconds: 0,
    });
}

/** Asks the worker for one attempt. */
export async function findStatus(
    world: WorkerWorld,
    taskId: string,
    attempt: number,
): Promise<AttemptStatus | undefined> {
    const { attempts } = await renew(world);
    return attempts.find(status => status.taskId === taskId && status.attempt === attempt);
}

/** Reads reports until one fits. */
export async function readUsages(
    world: WorkerWorld,
    isReady: (usages: readonly AttemptUsage[]) => boolean,
): Promise<readonly AttemptUsage[]> {
    for (;;) {
        const { report } = await renew(world);
        if (report !== undefined && isReady(report.usages)) {
            return report.usages;
        }
        await pause(POLL_MILLISECONDS);
    }
}

/** Makes a caller request for one attempt. */
export async function ask(world: WorkerWorld, taskId: string, attempt: number, deadline?: string) {
    const answer = await request(`${world.standIn.instance.serveOrigin}/prep/kit-1?call=1`, {
        headers: {
            [headers.service]: "prep",
            [headers.attempt]: `${taskId}#${attempt}`,
            ...(deadline === undefined ? {} : { [headers.deadline]: deadline }),
        },
    });
    await answer.body.text();
    return { status: answer.statusCode, outcome: String(answer.headers[headers.outcome] ?? "") };
}
