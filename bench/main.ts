/**
 * `npm run bench`: lists experiments, runs one by name, or compares two result files.
 *
 * `--seed N` fixes the run, `--json FILE` keeps the result, `--report FOLDER` writes a Markdown page with SVG plots.
 * The last line of a run is its result as JSON. Exit codes: 0 all checks hold, 1 one does not, 2 bad command line.
 */
import { existsSync } from "node:fs";
import { readdir, readFile, writeFile } from "node:fs/promises";
import { basename } from "node:path";
import { parseArgs } from "node:util";
import { quote } from "shell-quote";
import { describeThrown } from "../src/core/errors.js";
import { compareResults } from "./support/compare.js";
import type { BenchResult, Check, Experiment } from "./support/experiment.js";
import type { BarChart } from "./support/report/bars.js";
import { writeReport } from "./support/report/report.js";
import type { Drawing } from "./support/report/report.js";

const EXPERIMENTS_FOLDER = new URL("experiments/", import.meta.url);
const DEFAULT_SEED = "1";

const [name, ...rest] = process.argv.slice(2);
try {
    process.exitCode = await runCommand();
}
catch (thrown) {
    console.error(describeThrown(thrown));
    process.exitCode = 2;
}

async function runCommand(): Promise<number> {
    if (name === undefined) {
        return listExperiments();
    }
    if (name === "compare") {
        return compareFiles(rest);
    }
    return runExperiment(await loadExperiment(name), rest);
}

async function listNames(): Promise<string[]> {
    const files = existsSync(EXPERIMENTS_FOLDER) ? await readdir(EXPERIMENTS_FOLDER) : [];
    return files.filter(file => file.endsWith(".js")).map(file => basename(file, ".js")).sort();
}

async function loadExperiment(wanted: string): Promise<Experiment> {
    const names = await listNames();
    if (!names.includes(wanted)) {
        throw new Error(`no experiment is named ${wanted}; there are ${names.join(", ")}, and compare FILE FILE`);
    }
    const module = await import(new URL(`${wanted}.js`, EXPERIMENTS_FOLDER).href) as { experiment: Experiment; };
    return module.experiment;
}

async function listExperiments(): Promise<number> {
    for (const each of await listNames()) {
        const experiment = await loadExperiment(each);
        const options = Object.keys(experiment.options ?? {}).map(option => `--${option}`).join(" ");
        console.log(`${each.padEnd(16)} ${experiment.summary}${options === "" ? "" : ` (${options})`}`);
    }
    return 0;
}

async function runExperiment(experiment: Experiment, commandLine: string[]): Promise<number> {
    const { values } = parseArgs({
        args: commandLine,
        options: {
            ...experiment.options,
            seed: { type: "string", default: DEFAULT_SEED },
            json: { type: "string" },
            report: { type: "string" },
        },
    }) as { values: Record<string, string | boolean | undefined>; };
    const seed = Number(values["seed"]);
    if (!Number.isSafeInteger(seed)) {
        throw new Error(`--seed takes a whole number, not ${String(values["seed"])}`);
    }
    const plots: Drawing[] = [];
    const lines: string[] = [];
    const checks = await experiment.run({
        seed,
        values,
        progress(line) {
            console.log(line);
            lines.push(line);
        },
        plot: plot => plots.push(plot),
    });
    const result: BenchResult = {
        bench: experiment.name,
        seed,
        holds: checks.length > 0 && checks.every(check => check.holds),
        checks,
    };
    checks.forEach(printCheck);
    if (typeof values["json"] === "string") {
        await writeFile(values["json"], `${JSON.stringify(result, undefined, 4)}\n`);
    }
    if (typeof values["report"] === "string") {
        const command = quote(["npm", "run", "bench", "--", experiment.name, ...commandLine]);
        const { summary } = experiment;
        const content = { result, summary, command, plots: [...plots, plotBounds(checks)], lines, takenAt: new Date() };
        console.log(`wrote ${await writeReport(values["report"], content)}`);
    }
    console.log(JSON.stringify(result));
    return result.holds ? 0 : 1;
}

/** Shows at a glance how far each figure is from its bound; bounds of zero have no share. */
function plotBounds(checks: readonly Check[]): BarChart {
    const bars = checks.filter(check => check.bound > 0 && Number.isFinite(check.figure)).map(check => ({
        name: check.name,
        value: check.figure / check.bound,
    }));
    return { name: "bounds", title: "Figures as shares of their bounds", unit: "figure / bound", bars, mark: 1 };
}

function printCheck(check: Check): void {
    const baseline = check.baseline === undefined ? "" : `, baseline ${check.baseline}`;
    const verdict = check.holds ? "holds" : "FAILS";
    console.log(`${verdict}  ${check.name}: ${check.figure} ${check.unit} (bound ${check.bound}${baseline})`);
}

async function compareFiles(files: readonly string[]): Promise<number> {
    const [before, after] = files;
    if (before === undefined || after === undefined) {
        throw new Error("compare takes two result files: the one before and the one after");
    }
    const comparison = compareResults(await readResult(before), await readResult(after));
    for (const line of comparison.lines) {
        console.log(line);
    }
    console.log(JSON.stringify({ worse: comparison.worse }));
    return comparison.worse.length === 0 ? 0 : 1;
}

async function readResult(file: string): Promise<BenchResult> {
    return JSON.parse(await readFile(file, "utf8")) as BenchResult;
}
