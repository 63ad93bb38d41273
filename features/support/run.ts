/**
 * Runs the features and closes with a line `N passed, N failed`.
 *
 * Scenarios that KNOWN-RED.txt names (lines `test: SCENARIO`) are printed apart and do not fail the run.
 * Arguments narrow the run: paths of features, or `--name TEXT`.
 */
import { Status } from "@cucumber/cucumber";
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import { existsSync, readFileSync } from "node:fs";
import { parseArgs } from "node:util";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const STEP_FILES = ["dist/features/**/*.steps.js"];

interface Counts {
    passed: string[];
    failed: string[];
}

const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { name: { type: "string", multiple: true } },
});

const { runConfiguration } = await loadConfiguration({
    provided: {
        paths: positionals.length > 0 ? positionals : ["features/**/*.feature"],
        import: STEP_FILES,
        name: values.name ?? [],
        format: ["progress"],
        parallel: 0,
    },
});
const counts = await runAndCount();
const known = readKnownRed();
const unexpected = counts.failed.filter(name => !known.has(name));
const expected = counts.failed.filter(name => known.has(name));
for (const name of expected) {
    console.log(`known red: ${name}`);
}
for (const name of unexpected) {
    console.log(`failed: ${name}`);
}
const skipped = expected.length > 0 ? `, ${expected.length} skipped` : "";
console.log(`${counts.passed.length} passed, ${unexpected.length} failed${skipped}`);
process.exit(unexpected.length === 0 && counts.passed.length > 0 ? 0 : 1);

async function runAndCount(): Promise<Counts> {
    const names = new Map<string, string>();
    const cases = new Map<string, string>();
    const started = new Map<string, string>();
    const bad = new Set<string>();
    const counts: Counts = { passed: [], failed: [] };
    await runCucumber(
        runConfiguration,
        {},
        envelope => {
            if (envelope.pickle !== undefined) {
                names.set(envelope.pickle.id, envelope.pickle.name);
            }
            if (envelope.testCase !== undefined) {
                cases.set(envelope.testCase.id, names.get(envelope.testCase.pickleId) ?? "unnamed scenario");
            }
            if (envelope.testCaseStarted !== undefined) {
                started.set(envelope.testCaseStarted.id, cases.get(envelope.testCaseStarted.testCaseId) ?? "");
            }
            if (
                envelope.testStepFinished !== undefined
                && envelope.testStepFinished.testStepResult.status !== Status.PASSED
            ) {
                bad.add(envelope.testStepFinished.testCaseStartedId);
            }
            if (envelope.testCaseFinished !== undefined) {
                const id = envelope.testCaseFinished.testCaseStartedId;
                (bad.has(id) ? counts.failed : counts.passed).push(started.get(id) ?? "");
            }
        },
    );
    return counts;
}

function readKnownRed(): Set<string> {
    const text = existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, "utf8") : "";
    const prefix = "test: ";
    return new Set(
        text.split("\n").filter(line => line.startsWith(prefix)).map(line => line.slice(prefix.length).trim()),
    );
}
