/**
 * What the example's rules ask for.
 */
import { readFile } from "node:fs/promises";
import { safeParseRules } from "../../src/rules/parse.js";
import type { Rule } from "../../src/rules/rule.js";
import { deploymentPlans } from "../../stand-ins/deployment.js";
import type { Demo } from "./open.js";

async function readRules(demo: Demo): Promise<readonly Rule[]> {
    const { rules: file, team } = deploymentPlans[demo.options.deployment];
    const parsed = safeParseRules(await readFile(file, "utf8"), { team, file });
    return parsed.success ? parsed.rules : [];
}

/** Names of the services. */
export async function listServices(demo: Demo): Promise<string[]> {
    return (await readRules(demo)).filter(rule => rule.kind === "service").map(rule => rule.name);
}

/** Number of tasks of batch rules that run once. */
export async function countBatchTasks(demo: Demo): Promise<number> {
    const once = (await readRules(demo)).flatMap(rule =>
        rule.kind === "batch" && rule.schedule === undefined ? [rule.tasks] : []
    );
    return once.reduce((total, tasks) => total + tasks, 0);
}
