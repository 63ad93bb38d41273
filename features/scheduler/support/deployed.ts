/**
 * A deployment of real processes under load, as the takeover and outage scenarios use it.
 */
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { mkdtemp, readFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRpcClient } from "../../../src/core/rpc.js";
import { applyRules } from "../../../src/operator/messages.js";
import { createStore } from "../../../src/platform/adapters/store.js";
import { exportState } from "../../../src/scheduler/queries/export.js";
import type { ExportedCell } from "../../../src/scheduler/queries/export.js";
import { OPERATOR_TOKEN, startDeployment } from "../../../stand-ins/deployment.js";
import type { DeployedInstance, Deployment } from "../../../stand-ins/deployment.js";
import { WorkerRecord } from "../../../stand-ins/worker/index.js";
import { listRunning } from "./check.js";
import { waitUntil } from "./fleet.js";

/** Time limit of steps that wait for a condition. */
export const LIMIT = { timeout: 90_000 };
export const CALL_LIMIT_MILLISECONDS = 2_000;

/** State of a scenario. */
export interface TakeoverWorld {
    deployment?: Deployment;
    recordFile: string;
    owner: DeployedInstance;
    epoch: number;
    /** Attempts that ran before the failure, as `TASK#ATTEMPT`. */
    before: string[];
}

/** Size and load of a deployment. */
export interface LoadPlan {
    readonly instances: number;
    readonly workers: number;
    readonly replicas: number;
    readonly tasks: number;
    /** Settings of the schedulers' cells. */
    readonly cells?: object;
}

/** Starts a deployment of one data centre and waits until the ledger has all its tasks as running. */
export async function startLoaded(world: TakeoverWorld, plan: LoadPlan): Promise<void> {
    const { instances, workers, replicas, tasks, cells = {} } = plan;
    world.recordFile = join(await mkdtemp(join(tmpdir(), "flamingowell-takeover-")), "workers.jsonl");
    world.deployment = await startDeployment({
        dataCentres: [{ name: "levi", workers }],
        instances,
        platform: { recordFile: world.recordFile },
        scheduler: { cells },
    });
    await apply(world.deployment, "load", [
        `service desk --replicas ${replicas} --cores 1 --memory 1GiB --until 2030-01-01 # Aino, desk`,
        `batch prep --tasks ${tasks} --cores 2 --memory 1GiB --seconds 36000 --until 2030-01-01 # Eero, desk`,
    ]);
    await waitUntil("all run", async () => (await readRunning(world)).length === replicas + tasks);
    await waitUntil(
        "the ledger has them as running",
        async () =>
            (await readCell(deploymentOf(world))).tasks.filter(({ state }) => state === "running").length
                === replicas + tasks,
    );
    world.before = await readRunning(world);
}

/** Waits until the cell has a newer epoch than the recorded one. */
export async function waitForEpoch(world: TakeoverWorld): Promise<void> {
    await waitUntil("the epoch rises", async () => (await readCell(deploymentOf(world))).head.epoch > world.epoch);
}

/** Applies the rules of a team. */
export async function apply(deployment: Deployment, team: string, lines: readonly string[]): Promise<void> {
    const client = createRpcClient({ token: OPERATOR_TOKEN, timeoutMilliseconds: CALL_LIMIT_MILLISECONDS });
    const order = { team, text: lines.join("\n"), baseRevision: 0, applyId: randomUUID(), by: "Aino" };
    const origin = deployment.instances[0]?.gateway.announcement["operators"] ?? "";
    await waitUntil(`rules of ${team} are accepted`, async () => {
        const answer = await client.call(origin, applyRules, order);
        assert.ok(answer.isErr || answer.value.outcome === "accepted", JSON.stringify(answer));
        return answer.isOk;
    });
}

/** Reads the ledger of the only cell. */
export async function readCell(deployment: Deployment): Promise<ExportedCell> {
    const state = await exportState(storeOf(deployment), Date.now());
    const cell = state.isOk ? state.value.cells[0] : undefined;
    if (cell === undefined) {
        throw new Error("the store has no ledger");
    }
    return cell;
}

/** Connects to the store of a deployment. */
export function storeOf(deployment: Deployment) {
    return createStore({ origins: [deployment.storeOrigin], timeoutMilliseconds: CALL_LIMIT_MILLISECONDS });
}

/** Reads the records of the workers. */
export async function readRecords(world: TakeoverWorld): Promise<WorkerRecord[]> {
    const text = await readFile(world.recordFile, "utf8");
    const whole = text.slice(0, text.lastIndexOf("\n") + 1);
    return whole.split("\n").filter(line => line !== "").map(line => WorkerRecord.parse(JSON.parse(line)));
}

/** Lists the attempts that run, as `TASK#ATTEMPT`. */
export async function readRunning(world: TakeoverWorld): Promise<string[]> {
    return listRunning(await readRecords(world)).map(({ taskId, attempt }) => `${taskId}#${attempt}`);
}

/** Gives the deployment of a scenario. */
export function deploymentOf(world: TakeoverWorld): Deployment {
    if (world.deployment === undefined) {
        throw new Error("no deployment has been started");
    }
    return world.deployment;
}
