/**
 * Opens a demo: starts the deployment, waits until gateways are ready, applies the example's rules with the client.
 */
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Deployment } from "../../stand-ins/deployment.js";
import { deploymentPlans, startDeployment } from "../../stand-ins/deployment.js";
import { createDeploymentOperator } from "../../stand-ins/operator.js";

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
    const operator = createDeploymentOperator(deployment);
    process.stdout.write(await operator.runClient(["rules", "apply", plan.rules, "--team", plan.team]));
    await operator.waitForGateways();
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
