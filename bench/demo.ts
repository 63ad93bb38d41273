/**
 * Runs the system on loopback with an example of rules and callers' traffic.
 *
 * `npm run demo -- [--deployment NAME] [--instances N] [--smoke] [--fault truncate-answers]`
 */
import { parseArgs } from "node:util";
import { deploymentPlans } from "../stand-ins/deployment.js";
import { runForever } from "./demo/forever.js";
import { isDeploymentName, openDemo } from "./demo/open.js";
import type { DemoOptions } from "./demo/open.js";
import { runSmoke } from "./demo/smoke.js";

const EXIT_BAD_INPUT = 2;
const DEFAULT_INSTANCES = "3";

const options = readOptions();
if (options === undefined) {
    process.exitCode = EXIT_BAD_INPUT;
}
else {
    const demo = await openDemo(options);
    process.exitCode = options.smoke ? await runSmoke(demo) : await runForever(demo);
}

function readOptions(): DemoOptions & { readonly smoke: boolean; } | undefined {
    try {
        const { values } = parseArgs({
            options: {
                deployment: { type: "string", default: "tunturivalo" },
                instances: { type: "string", default: DEFAULT_INSTANCES },
                smoke: { type: "boolean", default: false },
                fault: { type: "string" },
            },
        });
        const instances = Number(values.instances);
        if (!isDeploymentName(values.deployment)) {
            throw new Error(`--deployment is one of ${Object.keys(deploymentPlans).join(", ")}`);
        }
        if (!Number.isInteger(instances) || instances < 1) {
            throw new Error("--instances is a whole number from 1");
        }
        if (values.fault !== undefined && values.fault !== "truncate-answers") {
            throw new Error("--fault is truncate-answers");
        }
        const truncateAnswers = values.fault === "truncate-answers";
        return { deployment: values.deployment, instances, truncateAnswers, smoke: values.smoke };
    }
    catch (thrown) {
        console.error((thrown as Error).message);
        return undefined;
    }
}
