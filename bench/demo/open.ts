/**
 * Opens a demo: starts the deployment, waits until gateways are ready, applies the example's rules with the client.
 */
import { execFile } from "node:child_process";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { request } from "undici";
import { pause } from "../../src/core/time.js";
import type { Deployment } from "../../stand-ins/deployment.js";
import { deploymentPlans, OPERATOR_TOKEN, startDeployment } from "../../stand-ins/deployment.js";

const CLIENT = "dist/src/binaries/flamingowell.js";
const READY_LIMIT_MILLISECONDS = 15_000;
const POLL_MILLISECONDS = 50;

/** Name of one of the users' deployments. */
export type DeploymentName = keyof typeof deploymentPlans;

/** Tells whether a deployment of that name exists. */
export function isDeploymentName(name: string): name is DeploymentName {
    return name in deploymentPlans;
}

/** What kind of demo. */
export interface DemoOptions {
    readonly deployment: DeploymentName;
    readonly instances: number;
    /** Workers cut their answers short. */
    readonly truncateAnswers: boolean;
}

/** A demo that runs. */
export interface Demo {
    readonly deployment: Deployment;
    readonly options: DemoOptions;
    /** Callers' origins of all gateways. */
    readonly origins: readonly string[];
    /** Operators' origins of all gateways. */
    readonly operatorOrigins: readonly string[];
    /** JSON lines that the workers write. */
    readonly recordFile: string;
}

/** Starts everything. */
export async function openDemo(options: DemoOptions): Promise<Demo> {
    const plan = deploymentPlans[options.deployment];
    const recordFile = join(await mkdtemp(join(tmpdir(), "flamingowell-demo-")), "workers.jsonl");
    const deployment = await startDeployment({
        dataCentres: plan.dataCentres,
        instances: options.instances,
        platform: { recordFile },
    });
    try {
        return await prepare({
            deployment,
            options,
            origins: listOrigins(deployment, "callers"),
            operatorOrigins: listOrigins(deployment, "operators"),
            recordFile,
        });
    }
    catch (thrown) {
        await deployment.kill();
        throw thrown;
    }
}

async function prepare(demo: Demo): Promise<Demo> {
    const { deployment, options } = demo;
    const plan = deploymentPlans[options.deployment];
    console.log(
        `${options.instances} entry instances, ${deployment.workers.length} workers, logs in ${deployment.directory}`,
    );
    await runClient(demo, ["rules", "apply", plan.rules, "--team", plan.team]);
    await waitForGateways(demo);
    if (options.truncateAnswers) {
        await Promise.all(
            deployment.workers.map(worker => deployment.setFaults(worker.control, { truncateAnswers: true })),
        );
    }
    return demo;
}

function listOrigins(deployment: Deployment, port: string): string[] {
    return deployment.instances.flatMap(({ gateway }) => gateway.announcement[port] ?? []);
}

/** Runs the operators' client and prints what it prints. */
export async function runClient(demo: Demo, words: readonly string[]): Promise<void> {
    const [gateway = ""] = demo.operatorOrigins;
    const { stdout, stderr } = await promisify(execFile)(process.execPath, [
        CLIENT,
        ...words,
        "--gateway",
        gateway,
        "--token",
        OPERATOR_TOKEN,
    ]);
    process.stdout.write(stdout + stderr);
}

async function waitForGateways(demo: Demo): Promise<void> {
    const limit = AbortSignal.timeout(READY_LIMIT_MILLISECONDS);
    await Promise.all(demo.deployment.instances.map(async ({ gateway }) => {
        while (!limit.aborted && !await isReady(gateway.announcement["metrics"] ?? "")) {
            await pause(POLL_MILLISECONDS);
        }
    }));
    if (limit.aborted) {
        throw new Error("gateways are not ready");
    }
}

async function isReady(metricsOrigin: string): Promise<boolean> {
    const answer = await request(`${metricsOrigin}/ready`);
    await answer.body.dump();
    return answer.statusCode === 200;
}
