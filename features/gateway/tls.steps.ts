/**
 * Steps for TLS between real processes.
 */
import type { DataTable } from "@cucumber/cucumber";
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { copyFile, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect } from "node:tls";
import { Agent, request } from "undici";
import { drainWorker, listWorkers } from "../../src/core/messages/operator.js";
import { createRpcClient } from "../../src/core/rpc.js";
import type { RpcClient } from "../../src/core/rpc.js";
import { drainWorkers, listStatus } from "../../src/operator/messages.js";
import { OPERATOR_TOKEN, PEER_TOKEN, startDeployment } from "../../stand-ins/deployment.js";
import type { Deployment } from "../../stand-ins/deployment.js";
import { waitUntil } from "./support/world.js";

const CERTIFICATES = new URL("../../../features/gateway/support/certificates/", import.meta.url);
const CHECK_MILLISECONDS = 30;
const INSTANCES = 2;
const PROCESSES = 2 * INSTANCES;
const stepOptions = { timeout: 120_000 };

type Port = "peers" | "operators";

interface TlsWorld {
    tlsDirectory: string | undefined;
    tlsDeployment: Deployment | undefined;
    /** Certificate that a call presents where the scenario does not say. */
    ownCertificate: string;
}

After(async function(this: TlsWorld) {
    await this.tlsDeployment?.kill();
    if (this.tlsDirectory !== undefined) {
        await rm(this.tlsDirectory, { recursive: true, force: true });
    }
});

function deploymentOf(world: TlsWorld): Deployment {
    assert.ok(world.tlsDeployment !== undefined);
    return world.tlsDeployment;
}

function fileOf(world: TlsWorld, name: string): string {
    return join(world.tlsDirectory ?? "", name);
}

async function writeCertificate(world: TlsWorld, name: string): Promise<void> {
    await copyFile(new URL(`${name}.key.pem`, CERTIFICATES), fileOf(world, "key.pem"));
    await copyFile(new URL(`${name}.certificate.pem`, CERTIFICATES), fileOf(world, "certificate.pem"));
    world.ownCertificate = name;
}

async function writeAuthorities(world: TlsWorld, names: string): Promise<void> {
    const read = (name: string) => readFile(new URL(`${name}.certificate.pem`, CERTIFICATES), "utf8");
    const certificates = await Promise.all(names.split(" and ").map(read));
    await writeFile(fileOf(world, "authority.pem"), certificates.join("\n"));
}

/** Origins of a port; every process has a peers' port, gateways have an operators' port. */
function listOrigins(world: TlsWorld, port: Port): string[] {
    return deploymentOf(world).instances.flatMap(({ gateway, scheduler }) =>
        [gateway, scheduler].flatMap(({ announcement }) => announcement[port] ?? [])
    );
}

async function createClient(port: Port, certificate: string, token: string): Promise<RpcClient> {
    const read = (part: string) => readFile(new URL(`${certificate}.${part}.pem`, CERTIFICATES), "utf8");
    const own = certificate === "none" ? {} : { cert: await read("certificate"), key: await read("key") };
    const right = port === "peers" ? PEER_TOKEN : OPERATOR_TOKEN;
    return createRpcClient({
        token: token === "right" ? right : "a-wrong-token",
        timeoutMilliseconds: 5_000,
        dispatcher: new Agent({ connect: { ...own, rejectUnauthorized: false } }),
    });
}

async function drainEverywhere(world: TlsWorld, port: Port, certificate: string, token: string) {
    const client = await createClient(port, certificate, token);
    const worker = deploymentOf(world).workers[0]?.name ?? "";
    const params = { worker, drain: true, by: "stranger" };
    return Promise.all(
        listOrigins(world, port).map(async origin => {
            const answer = port === "peers"
                ? await client.call(origin, drainWorker, params)
                : await client.call(origin, drainWorkers, params);
            return answer.isOk ? "carried out" : "refused";
        }),
    );
}

async function countDraining(world: TlsWorld): Promise<number> {
    const client = await createClient("peers", world.ownCertificate, "right");
    const answers = await Promise.all(
        deploymentOf(world).instances.map(({ scheduler }) =>
            client.call(scheduler.announcement["peers"] ?? "", listWorkers, {})
        ),
    );
    const workers = answers.flatMap(answer => {
        assert.ok(answer.isOk, "a scheduler does not answer");
        return answer.value.workers;
    });
    return workers.filter(({ state }) => state === "draining").length;
}

async function waitForWorkers(world: TlsWorld): Promise<void> {
    const client = await createClient("peers", world.ownCertificate, "right");
    await waitUntil("all workers have an owner", async () => {
        const answers = await Promise.all(
            deploymentOf(world).instances.map(({ scheduler }) =>
                client.call(scheduler.announcement["peers"] ?? "", listWorkers, {})
            ),
        );
        return answers.flatMap(answer => answer.isOk ? answer.value.workers : []).length
            >= deploymentOf(world).workers.length;
    });
}

async function readCommonName(origin: string, certificate: string): Promise<string> {
    const { hostname, port } = new URL(origin);
    const read = (part: string) => readFile(new URL(`${certificate}.${part}.pem`, CERTIFICATES), "utf8");
    const [cert, key] = [await read("certificate"), await read("key")];
    const socket = connect({ host: hostname, port: Number(port), rejectUnauthorized: false, cert, key });
    await once(socket, "secureConnect");
    const { subject } = socket.getPeerCertificate();
    socket.destroy();
    return String(subject.CN);
}

async function startDeploymentWith(world: TlsWorld, settings: object): Promise<void> {
    world.tlsDeployment = await startDeployment({
        dataCentres: [{ name: "levi", workers: 2 }],
        instances: INSTANCES,
        gateway: settings,
        scheduler: settings,
    });
    await waitForWorkers(world);
}

Given("a deployment that speaks TLS with the {string} certificate and trusts {string}", stepOptions, async function(
    this: TlsWorld,
    certificate: string,
    authorities: string,
) {
    this.tlsDirectory = await mkdtemp(join(tmpdir(), "flamingowell-tls-"));
    await writeCertificate(this, certificate);
    await writeAuthorities(this, authorities);
    const tls = {
        certificateFile: fileOf(this, "certificate.pem"),
        keyFile: fileOf(this, "key.pem"),
        authorityFile: fileOf(this, "authority.pem"),
        checkMilliseconds: CHECK_MILLISECONDS,
    };
    await startDeploymentWith(this, { tls });
});

Given("a deployment that speaks plain HTTP", stepOptions, async function(this: TlsWorld) {
    this.ownCertificate = "none";
    await startDeploymentWith(this, {});
});

Then("these calls that drain a worker are refused:", stepOptions, async function(this: TlsWorld, table: DataTable) {
    for (const { certificate = "", port, token = "" } of table.hashes()) {
        const outcomes = await drainEverywhere(this, port as Port, certificate, token);
        assert.deepEqual([...new Set(outcomes)], ["refused"], `${port}, ${certificate}, ${token}`);
    }
});

When(
    "a worker is drained on the {string} port with certificate {string} and token {string}",
    stepOptions,
    async function(this: TlsWorld, port: string, certificate: string, token: string) {
        const outcomes = await drainEverywhere(this, port as Port, certificate, token);
        assert.ok(outcomes.includes("carried out"));
    },
);

Then("no port answers plain HTTP", stepOptions, async function(this: TlsWorld) {
    for (const origin of [...listOrigins(this, "peers"), ...listOrigins(this, "operators")]) {
        await assert.rejects(request(`${origin.replace("https:", "http:")}/rpc`, { method: "POST", body: "{}" }));
    }
});

Then("no worker is draining", stepOptions, async function(this: TlsWorld) {
    assert.equal(await countDraining(this), 0);
});

Then("a worker is draining", stepOptions, async function(this: TlsWorld) {
    await waitUntil("a worker is draining", async () => await countDraining(this) === 1);
});

When("the certificate on disk is replaced by {string}", async function(this: TlsWorld, certificate: string) {
    await writeCertificate(this, certificate);
});

When("the authorities on disk are replaced by {string}", async function(this: TlsWorld, authorities: string) {
    await writeAuthorities(this, authorities);
});

When("the key on disk is emptied", async function(this: TlsWorld) {
    await writeFile(fileOf(this, "key.pem"), "");
});

When("the first gateway has said that it could not read it", stepOptions, async function(this: TlsWorld) {
    const log = join(deploymentOf(this).directory, "entry-1-gateway.log");
    await waitUntil("the log says so", async () => (await readFile(log, "utf8")).includes("certificate-not-read"));
});

Then("the ports show the {string} certificate", stepOptions, async function(this: TlsWorld, certificate: string) {
    for (const origin of [...listOrigins(this, "peers"), ...listOrigins(this, "operators")]) {
        await waitUntil(
            `${origin} shows it`,
            async () => await readCommonName(origin, certificate) === `${certificate}.flamingowell.test`,
        );
    }
});

Then(
    "the peers' ports refuse the {string} certificate",
    stepOptions,
    async function(this: TlsWorld, certificate: string) {
        await waitUntil("all refuse it", async () => {
            const outcomes = await drainEverywhere(this, "peers", certificate, "right");
            return outcomes.every(outcome => outcome === "refused");
        });
    },
);

When("a scheduler is restarted", stepOptions, async function(this: TlsWorld) {
    const [, second] = deploymentOf(this).instances;
    assert.ok(second !== undefined);
    await second.scheduler.kill();
    await deploymentOf(this).restart(second, "scheduler");
});

Then("every process answers through the first gateway", stepOptions, async function(this: TlsWorld) {
    const [origin = ""] = listOrigins(this, "operators");
    const client = await createClient("operators", "none", "right");
    await waitUntil("every process answers", async () => {
        const answer = await client.call(origin, listStatus, {});
        const answered = answer.isOk ? answer.value.processes.filter(({ status }) => status !== undefined) : [];
        return answered.length === PROCESSES;
    });
});

Then("no other process has been restarted", async function(this: TlsWorld) {
    const others = deploymentOf(this).instances.flatMap(({ gateway, scheduler }) => [gateway, scheduler]);
    const ended = await Promise.all(others.map(({ exited }) => Promise.race([exited, Promise.resolve("runs")])));
    assert.deepEqual(ended, others.map(() => "runs"));
});
