/**
 * Exclusive requests under faults, with real processes: callers, faults at set times, and what workers ran.
 */
import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createRpcClient } from "../../src/core/rpc.js";
import { pause, systemClock } from "../../src/core/time.js";
import { findPartition, readHolder } from "../../src/gateway/exclusive/partition.js";
import { ExclusiveSettings } from "../../src/gateway/exclusive/settings.js";
import type { DeployedInstance, Deployment } from "../../stand-ins/deployment.js";
import { PEER_TOKEN, startDeployment } from "../../stand-ins/deployment.js";
import { createDeploymentOperator } from "../../stand-ins/operator.js";
import { WorkerRecord } from "../../stand-ins/worker/record.js";
import type { Evidence } from "../support/checker/index.js";
import { runLoad } from "../support/load.js";
import type { CallRecord } from "../support/load.js";

const SERVICE = "beacon-check";
const TEAM = "rental";
const INSTANCES = 3;
const REQUEST_MILLISECONDS = 40;
const PEER_TIMEOUT_MILLISECONDS = 1_000;
const DATA_CENTRES = [
    { name: "rovaniemi", workers: 2 },
    { name: "levi", workers: 2 },
    { name: "saariselka", workers: 2 },
];

/** A fault at a time after the start of the traffic. */
export type ExclusiveFault =
    /** The gateway's process is killed and started again after a while. */
    | { readonly kind: "crash"; readonly atMilliseconds: number; readonly restartMilliseconds: number; }
    /** The gateway's process is stopped by the operating system for a while. */
    | { readonly kind: "silence"; readonly atMilliseconds: number; readonly lastsMilliseconds: number; }
    | { readonly kind: "outage"; readonly atMilliseconds: number; readonly lastsMilliseconds: number; }
    /** A planned stop and restart of a gateway. */
    | { readonly kind: "stop"; readonly atMilliseconds: number; };

/** What to run. */
export interface ExclusiveScenario {
    readonly seed: number;
    readonly durationMilliseconds: number;
    readonly callsPerSecond: number;
    readonly keys: number;
    /** Settings of exclusive requests, as in the gateway's settings file. */
    readonly settings: object;
    /** Whether the rule is exclusive; without it the promise is expected to be broken. */
    readonly exclusive: boolean;
    readonly faults: readonly ExclusiveFault[];
}

/** What a scenario gives. */
export interface ExclusiveOutcome {
    readonly evidence: Evidence;
    /** When the traffic began; milliseconds since the Unix epoch. */
    readonly startedAtMilliseconds: number;
}

/** Runs a scenario on a deployment of its own. */
export async function runExclusiveScenario(scenario: ExclusiveScenario): Promise<ExclusiveOutcome> {
    const directory = await mkdtemp(join(tmpdir(), "flamingowell-exclusive-"));
    const recordFile = join(directory, "workers.jsonl");
    const deployment = await startDeployment({
        dataCentres: DATA_CENTRES,
        instances: INSTANCES,
        directory,
        platform: {
            recordFile,
            workers: { profiles: { [SERVICE]: { requestMilliseconds: REQUEST_MILLISECONDS } } },
        },
        gateway: { exclusive: scenario.settings },
    });
    try {
        await prepare(deployment, scenario);
        return await drive(deployment, scenario, recordFile);
    }
    finally {
        await deployment.kill();
    }
}

async function prepare(deployment: Deployment, scenario: ExclusiveScenario): Promise<void> {
    const operator = createDeploymentOperator(deployment);
    const file = join(deployment.directory, "rules");
    const exclusive = scenario.exclusive ? "--exclusive path:0" : "";
    await writeFile(
        file,
        `service ${SERVICE} --replicas 3 --cores 1 --memory 1GiB ${exclusive} --deadline 2s --until 2099-12-31 # Aino\n`,
    );
    await operator.runClient(["rules", "apply", file, "--team", TEAM]);
    await operator.waitForAnswers([SERVICE]);
}

async function drive(
    deployment: Deployment,
    scenario: ExclusiveScenario,
    recordFile: string,
): Promise<ExclusiveOutcome> {
    const calls: CallRecord[] = [];
    const startedAtMilliseconds = systemClock();
    const faults = Promise.all(scenario.faults.map(fault => carryOut(fault, deployment, scenario)));
    await runLoad({
        seed: scenario.seed,
        origins: deployment.instances.flatMap(({ gateway }) => gateway.announcement["callers"] ?? []),
        callsPerSecond: scenario.callsPerSecond,
        durationMilliseconds: scenario.durationMilliseconds,
        name: "exclusive",
        clock: systemClock,
        drawCall: random => ({
            service: SERVICE,
            key: nameKey(Math.floor(random() * scenario.keys)),
            method: random() < 1 / 2 ? "GET" : "POST",
        }),
        onRecord: record => calls.push(record),
    });
    await faults;
    await writeFile(join(deployment.directory, "calls.jsonl"), calls.map(call => `${JSON.stringify(call)}\n`).join(""));
    const lines = (await readFile(recordFile, "utf8")).split("\n").filter(line => line !== "");
    const workers = lines.map(line => WorkerRecord.parse(JSON.parse(line)));
    return {
        startedAtMilliseconds,
        evidence: { calls, workers, operators: [], exclusiveServices: [SERVICE], endedAt: systemClock() },
    };
}

async function carryOut(fault: ExclusiveFault, deployment: Deployment, scenario: ExclusiveScenario): Promise<void> {
    await pause(fault.atMilliseconds);
    const victim = await findBusiestHolder(deployment, scenario.keys);
    switch (fault.kind) {
        case "crash":
            await victim.gateway.kill();
            await pause(fault.restartMilliseconds);
            await deployment.restart(victim, "gateway");
            break;
        case "silence":
            victim.gateway.pause();
            await pause(fault.lastsMilliseconds);
            victim.gateway.resume();
            break;
        case "outage":
            await deployment.setFaults(deployment.storeOrigin, { down: "hang" });
            await pause(fault.lastsMilliseconds);
            await deployment.setFaults(deployment.storeOrigin, { down: "no" });
            break;
        case "stop":
            await victim.gateway.stop();
            await deployment.restart(victim, "gateway");
            break;
    }
}

function nameKey(index: number): string {
    return `kit-${index}`;
}

/** The instance whose gateway holds most of the keys in use, so that the fault falls where it is felt. */
async function findBusiestHolder(deployment: Deployment, keys: number): Promise<DeployedInstance> {
    const rpc = createRpcClient({ token: PEER_TOKEN, timeoutMilliseconds: PEER_TIMEOUT_MILLISECONDS });
    const { partitions } = ExclusiveSettings.parse({});
    const inUse = [...Array(keys).keys()].map(index => findPartition(SERVICE, nameKey(index), partitions));
    const counts = await Promise.all(deployment.instances.map(async instance => {
        const answer = await rpc.call(instance.gateway.announcement["peers"] ?? "", readHolder, {});
        const held = answer.isOk ? answer.value.held : [];
        return { instance, count: inUse.filter(partition => held.includes(partition)).length };
    }));
    const [busiest] = counts.sort((left, right) => right.count - left.count);
    if (busiest === undefined) {
        throw new Error("the deployment has no instances");
    }
    return busiest.instance;
}
