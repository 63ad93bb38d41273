/**
 * Steps for takeovers, with real processes.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { mkdtemp, readFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRpcClient } from "../../src/core/rpc.js";
import { applyRules } from "../../src/operator/messages.js";
import { createInstanceList } from "../../src/platform/adapters/instances.js";
import { createStore } from "../../src/platform/adapters/store.js";
import { exportState } from "../../src/scheduler/queries/export.js";
import type { ExportedCell } from "../../src/scheduler/queries/export.js";
import { verifyState } from "../../src/scheduler/queries/verify.js";
import { OPERATOR_TOKEN, startDeployment } from "../../stand-ins/deployment.js";
import type { DeployedInstance, Deployment } from "../../stand-ins/deployment.js";
import { WorkerRecord } from "../../stand-ins/worker/index.js";
import { findOverlaps, listRunning } from "./support/check.js";
import { waitUntil } from "./support/fleet.js";

const LIMIT = { timeout: 90_000 };
const CALL_LIMIT_MILLISECONDS = 2_000;
const REPLICAS = 6;
const TASKS = 10;
const ANSWERS_LOST = 5;

interface TakeoverWorld {
    deployment?: Deployment;
    recordFile: string;
    owner: DeployedInstance;
    epoch: number;
    before: string[];
}

Given(
    "a deployment of {int} entry instances and {int} workers runs {int} replicas and {int} batch tasks",
    LIMIT,
    async function(this: TakeoverWorld, instances: number, workers: number, replicas: number, tasks: number) {
        this.recordFile = join(await mkdtemp(join(tmpdir(), "flamingowell-takeover-")), "workers.jsonl");
        this.deployment = await startDeployment({
            dataCentres: [{ name: "levi", workers }],
            instances,
            platform: { recordFile: this.recordFile },
        });
        await apply(this.deployment, "load", [
            `service desk --replicas ${replicas} --cores 1 --memory 1GiB --until 2030-01-01 # Aino, desk`,
            `batch prep --tasks ${tasks} --cores 2 --memory 1GiB --seconds 36000 --until 2030-01-01 # Eero, desk`,
        ]);
        await waitUntil("all run", async () => (await readRunning(this)).length === REPLICAS + TASKS);
        await waitUntil(
            "the ledger has them as running",
            async () =>
                (await readCell(deploymentOf(this))).tasks.filter(({ state }) => state === "running").length
                    === REPLICAS + TASKS,
        );
        this.before = await readRunning(this);
    },
);

When(
    /^the owner of the cell is (.+) while answers of the store get lost$/,
    LIMIT,
    async function(this: TakeoverWorld, ending: string) {
        const deployment = deploymentOf(this);
        const { head } = await readCell(deployment);
        const owner = deployment.instances.find(({ name }) => name === head.holder.instance);
        assert.ok(owner !== undefined, "the cell has no owner");
        this.owner = owner;
        this.epoch = head.epoch;
        await deployment.setFaults(deployment.storeOrigin, { loseAnswers: ANSWERS_LOST });
        if (ending.startsWith("paused")) {
            owner.scheduler.pause();
        }
        else {
            await owner.scheduler.kill();
        }
        if (ending === "killed and started again") {
            await deployment.restart(owner, "scheduler");
        }
        if (ending.startsWith("paused")) {
            await waitForEpoch(this);
            owner.scheduler.resume();
        }
    },
);

Then("another process owns the cell with a higher epoch", LIMIT, async function(this: TakeoverWorld) {
    await waitForEpoch(this);
});

Then("a new urgent replica starts", LIMIT, async function(this: TakeoverWorld) {
    await apply(deploymentOf(this), "urgent", [
        "service rescue --replicas 1 --cores 1 --memory 1GiB --priority 0 --until 2030-01-01 # Aino, desk",
    ]);
    await waitUntil(
        "the urgent replica runs",
        async () =>
            (await readRecords(this)).some(record => record.event === "attempt-started" && record.rule === "rescue"),
    );
});

Then("what ran before still runs, and nothing ran in two places at once", async function(this: TakeoverWorld) {
    const running = new Set(await readRunning(this));
    assert.equal(this.before.length, REPLICAS + TASKS);
    assert.deepEqual(this.before.filter(task => !running.has(task)), []);
    assert.deepEqual(findOverlaps(await readRecords(this)), []);
});

Then("verifying the exported ledgers finds no violation", LIMIT, async function(this: TakeoverWorld) {
    const deployment = deploymentOf(this);
    const state = await exportState(storeOf(deployment), Date.now());
    const listed = await createInstanceList({
        origin: deployment.instancesOrigin,
        timeoutMilliseconds: CALL_LIMIT_MILLISECONDS,
    }).list();
    assert.ok(state.isOk && listed.isOk);
    const workers = listed.value.flatMap(instance => instance.kind === "worker" ? [instance] : []);
    const verification = verifyState({ state: state.value, workers });
    assert.ok(verification.placed >= REPLICAS + TASKS, `only ${verification.placed} placed tasks were checked`);
    assert.deepEqual(verification.violations, []);
});

After(LIMIT, async function(this: TakeoverWorld) {
    await this.deployment?.kill();
});

async function waitForEpoch(world: TakeoverWorld): Promise<void> {
    await waitUntil("the epoch rises", async () => (await readCell(deploymentOf(world))).head.epoch > world.epoch);
}

async function apply(deployment: Deployment, team: string, lines: readonly string[]): Promise<void> {
    const client = createRpcClient({ token: OPERATOR_TOKEN, timeoutMilliseconds: CALL_LIMIT_MILLISECONDS });
    const order = { team, text: lines.join("\n"), baseRevision: 0, applyId: randomUUID(), by: "Aino" };
    const origin = deployment.instances[0]?.gateway.announcement["operators"] ?? "";
    await waitUntil(`rules of ${team} are accepted`, async () => {
        const answer = await client.call(origin, applyRules, order);
        assert.ok(answer.isErr || answer.value.outcome === "accepted", JSON.stringify(answer));
        return answer.isOk;
    });
}

async function readCell(deployment: Deployment): Promise<ExportedCell> {
    const state = await exportState(storeOf(deployment), Date.now());
    const cell = state.isOk ? state.value.cells[0] : undefined;
    if (cell === undefined) {
        throw new Error("the store has no ledger");
    }
    return cell;
}

function storeOf(deployment: Deployment) {
    return createStore({ origins: [deployment.storeOrigin], timeoutMilliseconds: CALL_LIMIT_MILLISECONDS });
}

async function readRecords(world: TakeoverWorld): Promise<WorkerRecord[]> {
    const text = await readFile(world.recordFile, "utf8");
    const whole = text.slice(0, text.lastIndexOf("\n") + 1);
    return whole.split("\n").filter(line => line !== "").map(line => WorkerRecord.parse(JSON.parse(line)));
}

async function readRunning(world: TakeoverWorld): Promise<string[]> {
    return listRunning(await readRecords(world)).map(({ taskId, attempt }) => `${taskId}#${attempt}`);
}

function deploymentOf(world: TakeoverWorld): Deployment {
    if (world.deployment === undefined) {
        throw new Error("no deployment has been started");
    }
    return world.deployment;
}
