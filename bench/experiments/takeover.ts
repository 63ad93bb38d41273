/**
 * From the kill of a cell's owner under load to the next urgent start; tasks lost and doubled on the way.
 */
import { mkdtemp, readFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { pause } from "../../src/core/time.js";
import { createStore } from "../../src/platform/adapters/store.js";
import { startDeployment } from "../../stand-ins/deployment.js";
import type { DeployedInstance, Deployment } from "../../stand-ins/deployment.js";
import { WorkerRecord } from "../../stand-ins/worker/index.js";
import { applyText, readTasks, waitFor } from "../scheduler/operators.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";

const URGENT_BOUND_SECONDS = 6.8;
const WORKERS = 8;
const SERVICES = 12;
const BATCH = 24;
const STORE_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_ROUNDS = "3";
const POLL_MILLISECONDS = 20;
const SETTLE_MILLISECONDS = 3_000;
const CLAIM_KEY = "scheduler/claims/levi-0";

/** How an owner ends: its process is started again at once, or its instance stays silent. */
type Ending = "restarted" | "silent";

/** What one round showed. */
interface Round {
    readonly ending: Ending;
    readonly urgentSeconds: number;
    /** Tasks that ran before the kill and neither ran on, finished, nor were replaced. */
    readonly lost: number;
}

interface Setting {
    readonly deployment: Deployment;
    readonly recordFile: string;
}

export const experiment: Experiment = {
    name: "takeover",
    summary: "kill -9 of a cell's owner under load to the next urgent start; tasks lost and doubled",
    options: { rounds: { type: "string" } },
    async run(context) {
        const recordFile = join(await mkdtemp(join(tmpdir(), "flamingowell-takeover-")), "workers.jsonl");
        const deployment = await startDeployment({
            dataCentres: [{ name: "levi", workers: WORKERS }],
            instances: 3,
            platform: { recordFile },
        });
        try {
            const setting = { deployment, recordFile };
            await applyText(deployment, "load", loadRules());
            await waitFor("the load runs", async () => countRunning(await readTasks(deployment)) === SERVICES + BATCH);
            const rounds = await runRounds(setting, context);
            await pause(SETTLE_MILLISECONDS);
            return toChecks(rounds, await readRecords(recordFile));
        }
        finally {
            await deployment.kill();
        }
    },
};

function loadRules(): string {
    return [
        `service desk --replicas ${SERVICES} --cores 1 --memory 1GiB --until 2030-01-01 # Bench, bench`,
        `batch prep --tasks ${BATCH} --cores 2 --memory 1GiB --seconds 36000 --until 2030-01-01 # Bench, bench`,
    ].join("\n");
}

async function runRounds(setting: Setting, context: ExperimentContext): Promise<Round[]> {
    const rounds: Round[] = [];
    for (let round = 0; round < Number(context.values["rounds"] ?? DEFAULT_ROUNDS); round += 1) {
        for (const ending of ["restarted", "silent"] as const) {
            const result = await runRound(setting, ending, `${ending}-${round + 1}`);
            context.progress(JSON.stringify(result));
            rounds.push(result);
        }
    }
    return rounds;
}

async function runRound({ deployment, recordFile }: Setting, ending: Ending, name: string): Promise<Round> {
    const owner = await findOwner(deployment);
    const before = listRunning(await readRecords(recordFile));
    const killedAt = Date.now();
    await owner.scheduler.kill();
    const restarting = ending === "restarted" ? deployment.restart(owner, "scheduler") : undefined;
    await applyText(
        deployment,
        name,
        `service ${name} --replicas 1 --cores 1 --memory 1GiB --priority 0 --until 2030-01-01 # B, b`,
    );
    let startedAt: number | undefined;
    await waitFor(`the urgent replica of ${name} starts`, async () => {
        const start = (await readRecords(recordFile)).find(record =>
            record.event === "attempt-started" && record.rule === name
        );
        startedAt = start?.at;
        await pause(POLL_MILLISECONDS);
        return start !== undefined;
    });
    await restarting;
    if (ending === "silent") {
        await deployment.restart(owner, "scheduler");
    }
    await waitFor("the load runs on", async () => countRunning(await readTasks(deployment)) >= SERVICES + BATCH);
    const after = new Set(listRunning(await readRecords(recordFile)));
    return {
        ending,
        urgentSeconds: ((startedAt ?? Infinity) - killedAt) / 1_000,
        lost: before.filter(task => !after.has(task)).length,
    };
}

/** The instance that the store names as the cell's owner. */
async function findOwner(deployment: Deployment): Promise<DeployedInstance> {
    const store = createStore({ origins: [deployment.storeOrigin], timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS });
    const found = await store.read({ key: CLAIM_KEY });
    const text = found.isOk ? found.value.entries[0]?.value ?? "" : "";
    const owner = deployment.instances.find(({ name }) => text.includes(`"${name}"`));
    if (owner === undefined) {
        throw new Error("the cell has no owner");
    }
    return owner;
}

function countRunning(tasks: readonly { readonly rule: string; readonly state: string; }[]): number {
    return tasks.filter(({ rule, state }) => state === "running" && (rule === "desk" || rule === "prep")).length;
}

async function readRecords(file: string): Promise<WorkerRecord[]> {
    const text = await readFile(file, "utf8").catch(() => "");
    const whole = text.slice(0, text.lastIndexOf("\n") + 1);
    return whole.split("\n").filter(line => line !== "").map(line => WorkerRecord.parse(JSON.parse(line)));
}

/** Attempts that run after all records, as `TASK#ATTEMPT`. */
function listRunning(records: readonly WorkerRecord[]): string[] {
    const running = new Set<string>();
    for (const record of records) {
        if (record.event === "attempt-started") {
            running.add(`${record.taskId}#${record.attempt}`);
        }
        if (record.event === "attempt-ended") {
            running.delete(`${record.taskId}#${record.attempt}`);
        }
    }
    return [...running];
}

/** Starts of a task while another attempt of it ran. */
function countDoubled(records: readonly WorkerRecord[]): number {
    const running = new Map<string, number>();
    let doubled = 0;
    for (const record of records) {
        if (record.event === "attempt-started") {
            doubled += (running.get(record.taskId) ?? 0) > 0 ? 1 : 0;
            running.set(record.taskId, (running.get(record.taskId) ?? 0) + 1);
        }
        if (record.event === "attempt-ended") {
            running.set(record.taskId, (running.get(record.taskId) ?? 1) - 1);
        }
    }
    return doubled;
}

function toChecks(rounds: readonly Round[], records: readonly WorkerRecord[]): Check[] {
    const longest = (ending: Ending) =>
        Math.max(...rounds.filter(round => round.ending === ending).map(({ urgentSeconds }) => urgentSeconds));
    const starts = records.filter(({ event }) => event === "attempt-started").length;
    return [
        checkAtLeast("takeovers under load", rounds.length, "takeovers", 1),
        checkAtLeast("attempts started", starts, "attempts", SERVICES + BATCH),
        checkAtMost("kill to urgent start, process restarted", longest("restarted"), "s", URGENT_BOUND_SECONDS),
        checkAtMost("kill to urgent start, instance silent", longest("silent"), "s", URGENT_BOUND_SECONDS),
        checkAtMost("tasks lost", rounds.reduce((sum, { lost }) => sum + lost, 0), "tasks", 0),
        checkAtMost("tasks doubled", countDoubled(records), "tasks", 0),
    ];
}
