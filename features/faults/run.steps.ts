/**
 * Steps for fault runs, each in a process of its own as on the command line.
 */
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import type { BenchResult, Check } from "../../bench/support/experiment.js";

const RUN_LIMIT_MILLISECONDS = 240_000;
const OUTPUT_LIMIT_BYTES = 64 * 1_024 * 1_024;

interface RunWorld {
    output: string;
    result: BenchResult;
}

When("the experiment {string} runs with {string}", { timeout: RUN_LIMIT_MILLISECONDS }, async function(
    this: RunWorld,
    name: string,
    words: string,
) {
    this.output = await runBench([name, ...words.split(" ")]);
    this.result = JSON.parse(this.output.trimEnd().split("\n").at(-1) ?? "") as BenchResult;
});

Then("no promise is broken", function(this: RunWorld) {
    const judged = this.result.checks.filter(check => check.unit === "violations");
    assert.ok(judged.length > 0, this.output);
    assert.deepEqual(judged.filter(check => check.figure !== 0), [], this.output);
});

Then("calls were answered after the faults, and all lasting batch tasks finished", function(this: RunWorld) {
    for (const name of ["answered after the faults", "batch tasks finished"]) {
        assert.ok(findCheck(this, name).holds, this.output);
    }
});

Then("there were occasions for {string}", function(this: RunWorld, promises: string) {
    for (const promise of promises.split(", ")) {
        assert.ok(findCheck(this, `${promise}: occasions`).figure > 0, this.output);
    }
});

Then("{string} holds", function(this: RunWorld, name: string) {
    assert.ok(findCheck(this, name).holds, this.output);
});

function findCheck(world: RunWorld, name: string): Check {
    const check = world.result.checks.find(each => each.name === name);
    assert.ok(check !== undefined, `no check is named ${name}\n${world.output}`);
    return check;
}

/** Runs a bench; its exit code says whether all checks hold, which the steps look at one by one. */
function runBench(words: readonly string[]): Promise<string> {
    return new Promise((resolve, reject) => {
        execFile(
            process.execPath,
            ["dist/bench/main.js", ...words],
            { maxBuffer: OUTPUT_LIMIT_BYTES },
            (error, stdout, stderr) => {
                if (error !== null && error.code !== 1) {
                    reject(new Error(`${error.message}\n${stdout}\n${stderr}`));
                    return;
                }
                resolve(stdout);
            },
        );
    });
}
