/**
 * Steps for settings files.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { formatFailure } from "../../src/core/errors.js";
import type { Failure } from "../../src/core/errors.js";
import { ListenAddress } from "../../src/core/http.js";
import { loadSettings } from "../../src/core/settings.js";

interface SettingsWorld {
    file: string;
    failures: Failure[];
}

Given("a settings file with {string}", async function(this: SettingsWorld, content: string) {
    this.file = join(await mkdtemp(join(tmpdir(), "flamingowell-")), "settings.json");
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
