/**
 * Time until a leaving upstream is left alone by all gateways: by its own refusal while the instance list lags, and by
 * the list while the upstream goes on answering.
 */
import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { pause, systemClock } from "../../src/core/time.js";
import { startDeployment } from "../../stand-ins/deployment.js";
import type { DeployedWorker, Deployment } from "../../stand-ins/deployment.js";
import { createDeploymentOperator } from "../../stand-ins/operator.js";
import { WorkerRecord } from "../../stand-ins/worker/record.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { runLoad } from "../support/load.js";

const SERVICE = "beacon-check";
const GATEWAYS = 9;
const DATA_CENTRES = ["rovaniemi", "levi", "saariselka"].map(name => ({ name, workers: 3 }));
const REQUEST_MILLISECONDS = 20;
const SETTLING_MILLISECONDS = 3_000;
const WATCHED_MILLISECONDS = 10_000;
const LONGEST_LOAD_MILLISECONDS = 600_000;
/** The list tells of a change long after the run. */
const LIST_LAG_MILLISECONDS = 600_000;
const LONGEST_SECONDS = 3;
const MILLISECONDS_PER_SECOND = 1_000;
/** Records reach their file within this time. */
const RECORDING_MILLISECONDS = 200;
const DEFAULT_RATES = "300,45";

/** What a leaving worker was sent. */
interface Leave {
    /** Requests that reached it in the seconds before it left. */
    readonly before: number;
    /** Requests that reached it afterwards, refused ones counted in. */
    readonly sends: number;
    readonly runs: number;
    /** Time from the first word of the leave to the last request that reached the worker. */
    readonly lastSendSeconds: number;
}

export const experiment: Experiment = {
    name: "leaving",
    summary: "time until 9 gateways send nothing to a leaving upstream, by its own word and by the list's",
    options: { rates: { type: "string", default: DEFAULT_RATES } },
    run: async context => {
        const checks: Check[] = [];
        for (const rate of String(context.values["rates"]).split(",").map(Number)) {
            checks.push(...await measure(rate, context));
        }
        return checks;
    },
};

async function measure(callsPerSecond: number, context: ExperimentContext): Promise<Check[]> {
    const directory = await mkdtemp(join(tmpdir(), "flamingowell-leaving-"));
    const recordFile = join(directory, "workers.jsonl");
    const deployment = await startDeployment({
        dataCentres: DATA_CENTRES,
        instances: GATEWAYS,
        directory,
        platform: {
            recordFile,
            workers: { profiles: { [SERVICE]: { requestMilliseconds: REQUEST_MILLISECONDS } } },
        },
    });
    const ended = new AbortController();
    try {
        await prepare(deployment);
        const load = runLoad({
            seed: context.seed,
            origins: deployment.instances.flatMap(({ gateway }) => gateway.announcement["callers"] ?? []),
            callsPerSecond,
            durationMilliseconds: LONGEST_LOAD_MILLISECONDS,
            name: "leaving",
            clock: systemClock,
            drawCall: () => ({ service: SERVICE, key: "kit", method: "GET" }),
            signal: ended.signal,
        });
        await pause(SETTLING_MILLISECONDS);
        const own = await leave(deployment, recordFile, "own word");
        const listed = await leave(deployment, recordFile, "list");
        ended.abort();
        const { outcomes, sent } = await load;
        context.progress(`${callsPerSecond} calls a second: ${sent} sent, ${JSON.stringify(outcomes)}`);
        return [...judge(`${callsPerSecond}/s, own word`, own), ...judge(`${callsPerSecond}/s, list's word`, listed)];
    }
    finally {
        ended.abort();
        await deployment.kill();
    }
}

async function prepare(deployment: Deployment): Promise<void> {
    const operator = createDeploymentOperator(deployment);
    const file = join(deployment.directory, "rules");
    const replicas = DATA_CENTRES.reduce((sum, { workers }) => sum + workers, 0);
    await writeFile(
        file,
        `service ${SERVICE} --replicas ${replicas} --cores 20 --memory 1GiB --deadline 2s --until 2099-12-31 # Aino\n`,
    );
    await operator.runClient(["rules", "apply", file, "--team", "rental"]);
    await operator.waitForAnswers([SERVICE]);
}

/** Lets the busiest worker leave, and counts what reaches it afterwards. */
async function leave(deployment: Deployment, recordFile: string, by: "own word" | "list"): Promise<Leave> {
    const settledAt = systemClock() - SETTLING_MILLISECONDS;
    const { before, worker } = await findBusiest(deployment, recordFile, settledAt);
    await setLag(deployment, by === "own word" ? LIST_LAG_MILLISECONDS : 0);
    const leftAt = systemClock();
    await listAsLeaving(deployment, worker);
    if (by === "own word") {
        await deployment.setFaults(worker.control, { refuse: true });
    }
    await pause(WATCHED_MILLISECONDS);
    const records = (await readRecords(recordFile)).filter(record =>
        record.worker === worker.name && record.at >= leftAt
    );
    const runs = records.filter(({ event }) => event === "request-started");
    const refusals = records.filter(({ event }) => event === "request-refused");
    const toldAt = by === "own word" ? refusals[0]?.at ?? leftAt : leftAt;
    const last = Math.max(toldAt, ...[...runs, ...refusals].map(({ at }) => at));
    return {
        before,
        sends: refusals.length + runs.length,
        runs: runs.filter(({ at }) => at > toldAt).length,
        lastSendSeconds: (last - toldAt) / MILLISECONDS_PER_SECOND,
    };
}

async function findBusiest(
    deployment: Deployment,
    recordFile: string,
    since: number,
): Promise<{ worker: DeployedWorker; before: number; }> {
    const records = await readRecords(recordFile);
    const counts = deployment.workers.map(worker => ({
        worker,
        before:
            records.filter(record =>
                record.event === "request-started" && record.worker === worker.name && record.at >= since
            ).length,
    }));
    const [busiest] = counts.sort((left, right) => right.before - left.before);
    if (busiest === undefined) {
        throw new Error("the deployment has no workers");
    }
    return busiest;
}

async function readRecords(recordFile: string): Promise<WorkerRecord[]> {
    await pause(RECORDING_MILLISECONDS);
    const lines = (await readFile(recordFile, "utf8")).split("\n").filter(line => line !== "");
    return lines.map(line => WorkerRecord.parse(JSON.parse(line)));
}

async function setLag(deployment: Deployment, lagMilliseconds: number): Promise<void> {
    await deployment.setFaults(deployment.instancesOrigin, { lagMilliseconds });
}

async function listAsLeaving(deployment: Deployment, { name }: DeployedWorker): Promise<void> {
    const answer = await request(`${deployment.instancesOrigin}/instances`);
    const instances = await answer.body.json() as { name: string; }[];
    const changed = { ...instances.find(instance => instance.name === name), state: "leaving" };
    const put = await request(`${deployment.instancesOrigin}/stand-in/instances/${name}`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(changed),
    });
    const text = await put.body.text();
    if (put.statusCode !== 200) {
        throw new Error(`${name} is not listed as leaving: ${text}`);
    }
}

function judge(name: string, { before, lastSendSeconds, runs, sends }: Leave): Check[] {
    return [
        checkAtLeast(`${name}: requests at the worker in the 3 s before it left`, before, "requests", 1),
        checkAtMost(
            `${name}: last send after the word (${sends} sends, ${runs} runs)`,
            lastSendSeconds,
            "s",
            LONGEST_SECONDS,
        ),
    ];
}
