/**
 * Steps for settings files.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { ClientSettings } from "../../src/client/settings.js";
import { formatFailure } from "../../src/core/errors.js";
import type { Failure } from "../../src/core/errors.js";
import { ListenAddress } from "../../src/core/http.js";
import { loadSettings } from "../../src/core/settings.js";
import { GatewaySettings } from "../../src/settings/gateway.js";
import { SchedulerSettings } from "../../src/settings/scheduler.js";
import { areRelated, spoil } from "./fuzz.js";

const SEED = 20_261_204;
const FUZZ_LIMIT_MILLISECONDS = 120_000;

const schemas = { gateway: GatewaySettings, scheduler: SchedulerSettings, client: ClientSettings };

const address = { host: "127.0.0.1", port: 0 };
const common = {
    instance: "entry-1",
    dataCentre: "levi",
    store: { origins: ["http://127.0.0.1:1"], timeoutMilliseconds: 1_000 },
    instanceList: { origin: "http://127.0.0.1:1" },
    peers: address,
    metrics: address,
    peerToken: "a-peer-token",
};
const valid = {
    gateway: GatewaySettings.parse({
        ...common,
        callers: address,
        operators: address,
        operatorToken: "an-operator-token",
    }),
    scheduler: SchedulerSettings.parse(common),
    client: ClientSettings.parse({ gateways: ["http://127.0.0.1:1"], by: "Aino" }),
};

interface SettingsWorld {
    file: string;
    referenceOutput: string;
    failures: Failure[];
}

Given("a settings file with {string}", async function(this: SettingsWorld, content: string) {
    this.file = await createFile();
    await writeFile(this.file, content);
});

When("it is read as a listen address", async function(this: SettingsWorld) {
    const settings = await loadSettings(this.file, ListenAddress);
    assert.ok(settings.isErr, "the file was accepted");
    this.failures = settings.error;
});

Then("the failure has code {string}", function(this: SettingsWorld, code: string) {
    assert.equal(this.failures[0]?.code, code);
});

Then("the failure names the settings file and {string}", function(this: SettingsWorld, text: string) {
    const line = this.failures.map(formatFailure).join("\n");
    assert.ok(line.includes(this.file), line);
    assert.ok(line.includes(text), line);
});

Then(
    /^of (\d+) settings files of the (gateway|scheduler|client) each is accepted whole or refused for its bad place$/,
    { timeout: FUZZ_LIMIT_MILLISECONDS },
    async (runs: string, daemon: keyof typeof schemas) => {
        const file = await createFile();
        await fastCheck.assert(
            fastCheck.asyncProperty(spoil(valid[daemon]), async ({ document, path }) => {
                await writeFile(file, JSON.stringify(document));
                const settings = await loadSettings<typeof schemas[keyof typeof schemas]>(file, schemas[daemon]);
                for (const failure of settings.isErr ? settings.error : []) {
                    assert.equal(failure.code, "invalid-input");
                    assert.ok(failure.step.includes(file));
                    assert.ok(areRelated(failure.path ?? [], path), `${formatFailure(failure)} for ${path.join(".")}`);
                    assert.match(failure.message, /expected|allowed are|use /, formatFailure(failure));
                }
                assert.ok(settings.isErr || !path.includes("unheardOf"), "an unknown key was accepted");
            }),
            { seed: SEED, numRuns: Number(runs) },
        );
    },
);

Then(
    "{int} arbitrary texts are refused as settings of every daemon",
    { timeout: FUZZ_LIMIT_MILLISECONDS },
    async (runs: number) => {
        const file = await createFile();
        const text = fastCheck.oneof(fastCheck.string({ unit: "binary" }), fastCheck.json());
        await fastCheck.assert(
            fastCheck.asyncProperty(
                text,
                fastCheck.constantFrom(GatewaySettings, SchedulerSettings),
                async (content, schema) => {
                    await writeFile(file, content);
                    const settings = await loadSettings<typeof GatewaySettings | typeof SchedulerSettings>(
                        file,
                        schema,
                    );
                    assert.ok(settings.isErr, `accepted: ${content}`);
                    assert.ok(
                        settings.error.length > 0 && settings.error.every(failure => failure.step.includes(file)),
                    );
                },
            ),
            { seed: SEED, numRuns: runs },
        );
    },
);

When("the reference is checked", { timeout: FUZZ_LIMIT_MILLISECONDS }, async function(this: SettingsWorld) {
    const run = promisify(execFile);
    const finished = await run(process.execPath, ["dist/src/binaries/reference.js", "--check"])
        .catch((thrown: unknown) => thrown as { stdout: string; });
    this.referenceOutput = finished.stdout;
});

Then("it is up to date", function(this: SettingsWorld) {
    assert.equal(this.referenceOutput, "docs/operators/settings.md is up to date\n");
});

async function createFile(): Promise<string> {
    return join(await mkdtemp(join(tmpdir(), "flamingowell-")), "settings.json");
}
