/**
 * Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
import { setTimeout as delay } from "node:timers/promises";
import { startDeployment } from "./deployment.js";
import type { Deployment, DeploymentOptions } from "./deployment.js";
import { openRecord } from "./record.js";
import type { Recorder } from "./record.js";

/** Time after which a case is given up; the limit of a script is 120 s. */
const LIMIT_MILLISECONDS = 117_000;

/** A case. */
export interface Case {
    /** Folder of the record. */
    readonly folder: string;
    readonly options: Omit<DeploymentOptions, "recorder">;
    /** Plays the case and returns the breaches of its rule. */
    play(deployment: Deployment, recorder: Recorder, isTroubled: boolean): Promise<readonly string[]>;
}

/** Plays a case and ends the process. */
export async function runCase(definition: Case): Promise<void> {
    const { folder, options } = definition;
    const isTroubled = process.env["TROUBLE"] !== "0";
    const recorder = openRecord(`${folder}/record.txt`);
    recorder.write("case", { folder, isTroubled });
    let deployment: Deployment | undefined;
    let code = 2;
    const stop = (): void => {
        recorder.write("stopped");
        void (deployment?.close() ?? Promise.resolve()).then(() => process.exit(2));
    };
    process.once("SIGTERM", stop).once("SIGINT", stop);
    try {
        deployment = await startDeployment({ ...options, recorder });
        const breaches = await Promise.race([
            definition.play(deployment, recorder, isTroubled),
            delay(LIMIT_MILLISECONDS).then(() => {
                throw new Error("the case has not ended in time");
            }),
        ]);
        breaches.forEach(breach => recorder.write("breach", { breach }));
        code = breaches.length > 0 ? 1 : 0;
        process.stdout.write(`${folder}: ${code === 1 ? "broken" : "held"} (${breaches.length} breaches)\n`);
        breaches.slice(0, 5).forEach(breach => process.stdout.write(`  ${breach}\n`));
    }
    catch (thrown) {
        recorder.write("failure", { message: String(thrown) });
        process.stdout.write(`${folder}: could not run: ${String(thrown)}\n`);
    }
    await deployment?.close();
    recorder.write("result", { code });
    recorder.close();
    process.exit(code);
}

/** Waits until a condition holds; throws after the limit. */
export async function waitUntil(what: string, limitMilliseconds: number, isMet: () => boolean): Promise<void> {
    const until = performance.now() + limitMilliseconds;
    while (!isMet()) {
        if (performance.now() > until) {
            throw new Error(`${what} has not come about in ${limitMilliseconds} ms`);
        }
        await delay(10);
    }
}
