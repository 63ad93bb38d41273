/**
 * An operator of a deployment: runs the client, waits until services answer.
 */
import { execFile } from "node:child_process";
import { promisify } from "node:util";
import { request } from "undici";
import { pause } from "../src/core/time.js";
import { OPERATOR_TOKEN } from "./deployment.js";
import type { Deployment } from "./deployment.js";

const CLIENT = "dist/src/binaries/flamingowell.js";
const WAIT_LIMIT_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 50;

/** What an operator does. */
export interface DeploymentOperator {
    /** Runs `flamingowell` with these words and gives what it printed; rejects where it exits with another code than 0. */
    runClient(words: readonly string[]): Promise<string>;
    /** Waits until every gateway says that it is ready; rejects where that takes too long. */
    waitForGateways(): Promise<void>;
    /** Waits until every gateway answers for each service; rejects where that takes too long. */
    waitForAnswers(services: readonly string[]): Promise<void>;
}

/** Creates an operator. */
export function createDeploymentOperator(deployment: Deployment): DeploymentOperator {
    const listOrigins = (port: string) =>
        deployment.instances.flatMap(({ gateway }) => gateway.announcement[port] ?? []);
    return {
        runClient: async words => {
            const [gateway = ""] = listOrigins("operators");
            const { stdout, stderr } = await promisify(execFile)(process.execPath, [
                CLIENT,
                ...words,
                "--gateway",
                gateway,
                "--token",
                OPERATOR_TOKEN,
            ]);
            return stdout + stderr;
        },
        waitForGateways: () => waitForAll(listOrigins("metrics").map(origin => `${origin}/ready`)),
        waitForAnswers: services =>
            waitForAll(listOrigins("callers").flatMap(origin => services.map(service => `${origin}/${service}/probe`))),
    };
}

async function waitForAll(urls: readonly string[]): Promise<void> {
    const limit = AbortSignal.timeout(WAIT_LIMIT_MILLISECONDS);
    await Promise.all(urls.map(async url => {
        while (!await isOk(url)) {
            if (limit.aborted) {
                throw new Error(`${url} does not answer with 200`);
            }
            await pause(POLL_MILLISECONDS);
        }
    }));
}

async function isOk(url: string): Promise<boolean> {
    const answer = await request(url);
    await answer.body.dump();
    return answer.statusCode === 200;
}
