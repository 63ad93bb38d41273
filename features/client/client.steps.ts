/**
 * Steps that run the client as operators do, as a process of its own.
 */
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { commands } from "../../src/client/catalog.js";
import { OPERATOR_TOKEN, startDeployment } from "../../stand-ins/deployment.js";
import type { Deployment } from "../../stand-ins/deployment.js";
import { operatorsOf, waitFor } from "../membership/fleet.js";
import { STEP_LIMIT_MILLISECONDS } from "../rules/fleet.steps.js";
import type { FleetWorld } from "../rules/fleet.steps.js";

const CLIENT = resolve("dist/src/binaries/flamingowell.js");
const DAEMONS_PER_INSTANCE = 2;
const FLEET_TOKEN = "fleet-token";
const limit = { timeout: STEP_LIMIT_MILLISECONDS };

interface Run {
    readonly code: number;
    readonly output: string;
    readonly notes: string;
}

interface ClientWorld extends Partial<FleetWorld> {
    clientDirectory: string;
    clientDeployment?: Deployment;
    clientRun: Run;
}

Before(async function(this: ClientWorld) {
    this.clientDirectory = await mkdtemp(join(tmpdir(), "flamingowell-client-"));
});

After(async function(this: ClientWorld) {
    await this.clientDeployment?.kill();
    await rm(this.clientDirectory, { recursive: true, force: true });
});

Given("a deployment of {int} entry instances and {int} workers", limit, async function(
    this: ClientWorld,
    instances: number,
    workers: number,
) {
    this.clientDeployment = await startDeployment({ dataCentres: [{ name: "levi", workers }], instances });
    await waitFor("a gateway answers", async () => (await runClient(this, ["rules", "show"])).code === 0);
    const processes = `of ${instances * DAEMONS_PER_INSTANCE} processes`;
    await waitFor("a gateway knows all processes", async () => {
        const status = await runClient(this, ["status"]);
        return status.notes.includes(processes);
    });
});

Given(/^the (?:rules file|log) "([^"]*)":$/, async function(this: ClientWorld, file: string, text: string) {
    await writeFile(join(this.clientDirectory, file), `${text}\n`);
});

Given("the store of the fleet is down", function(this: ClientWorld) {
    this.nodeFleet?.store.setFaults({ down: "unavailable" });
});

When("the operator runs {string}", limit, async function(this: ClientWorld, line: string) {
    this.clientRun = await runClient(this, line.split(" "));
});

When(/^the operator runs "([^"]*)" until it (?:exits with (\d)|prints "(.*)")$/, limit, async function(
    this: ClientWorld,
    line: string,
    code: string | undefined,
    text: string | undefined,
) {
    await runUntil(
        this,
        line.split(" "),
        run => text === undefined ? run.code === Number(code) : run.output.includes(text),
    );
});

When(/^the operator runs "([^"]*)" of the task of "([^"]*)"(?: until it prints "(.*)")?$/, limit, async function(
    this: ClientWorld,
    command: string,
    rule: string,
    text: string | undefined,
) {
    await runUntil(this, ["jobs", "--json", "--rule", rule], run => run.output.includes("taskId"));
    const [task] = JSON.parse(this.clientRun.output) as { taskId: string; }[];
    await runUntil(this, [command, task?.taskId ?? ""], run => text === undefined || run.output.includes(text));
});

Then(
    /^the client exits with (\d) and (prints|notes) "(.*)"$/,
    function(this: ClientWorld, code: string, stream: string, text: string) {
        const said = stream === "prints" ? this.clientRun.output : this.clientRun.notes;
        const told = JSON.stringify(this.clientRun, undefined, 1);
        assert.equal(this.clientRun.code, Number(code), told);
        assert.ok(said.includes(text.replaceAll('\\"', '"')), told);
    },
);

Then("the client notes {string}", function(this: ClientWorld, text: string) {
    assert.ok(this.clientRun.notes.includes(text), JSON.stringify(this.clientRun));
});

Then("the client exits with {int} and prints JSON", function(this: ClientWorld, code: number) {
    assert.equal(this.clientRun.code, code);
    assert.equal(typeof JSON.parse(this.clientRun.output), "object");
});

Then(
    "the client prints the own events {string} and around them {string}",
    function(this: ClientWorld, own: string, around: string) {
        const trace = JSON.parse(this.clientRun.output) as Record<"own" | "around", { event: string; }[]>;
        assert.equal(trace.own.map(({ event }) => event).join(" "), own);
        assert.equal(trace.around.map(({ event }) => event).join(" "), around);
    },
);

Then("every command prints its usage and all of its options with --help", limit, async function(this: ClientWorld) {
    for (const command of commands) {
        const run = await runClient(this, [...command.name.split(" "), "--help"]);
        assert.equal(run.code, 0, command.name);
        assert.ok(run.output.includes(`flamingowell ${command.name}`), run.output);
        for (const option of Object.keys(command.options)) {
            assert.ok(run.output.includes(`--${option}`), `${command.name} does not explain --${option}`);
        }
    }
    assert.ok(commands.length > 0);
});

async function runUntil(world: ClientWorld, args: string[], holds: (run: Run) => boolean): Promise<void> {
    await waitFor(`${args.join(" ")} gives what is expected, not ${JSON.stringify(world.clientRun)}`, async () => {
        world.clientRun = await runClient(world, args);
        return holds(world.clientRun);
    });
}

function runClient(world: ClientWorld, args: string[]): Promise<Run> {
    const gateway = world.clientDeployment?.instances[0]?.gateway.announcement["operators"]
        ?? operatorsOf(world.nodeFleet?.nodes[0]);
    const token = world.clientDeployment === undefined ? FLEET_TOKEN : OPERATOR_TOKEN;
    const known = args.includes("--gateway") || gateway === "" ? [] : ["--gateway", gateway, "--token", token];
    return new Promise(settle => {
        const options = { cwd: world.clientDirectory };
        execFile(process.execPath, [CLIENT, ...args, ...known], options, (error, output, notes) => {
            settle({ code: error === null ? 0 : Number(error.code), output, notes });
        });
    });
}
