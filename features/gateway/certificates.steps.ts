/**
 * Steps for certificate files that are replaced while a gateway runs.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import { once } from "node:events";
import { copyFile, mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect as connectTls } from "node:tls";
import { pause } from "../../src/core/time.js";
import { startGateway } from "./support/gateway.js";
import { firstGateway, waitUntil } from "./support/world.js";
import type { RequestWorld } from "./support/world.js";

interface CertificateWorld extends RequestWorld {
    directory: string;
}

const CERTIFICATES = new URL("../../../features/gateway/support/certificates/", import.meta.url);
const CHECK_MILLISECONDS = 20;
const CHECKS_WAITED = 5;

async function replaceFile(world: CertificateWorld, certificate: string, part: "key" | "certificate"): Promise<void> {
    await copyFile(new URL(`${certificate}.${part}.pem`, CERTIFICATES), join(world.directory, `${part}.pem`));
}

async function readCommonName(origin: string): Promise<string> {
    const { hostname, port } = new URL(origin);
    const socket = connectTls({ host: hostname, port: Number(port), rejectUnauthorized: false });
    await once(socket, "secureConnect");
    const { subject } = socket.getPeerCertificate();
    socket.destroy();
    return String(subject.CN);
}

Given("a gateway that speaks TLS with the {string} certificate", async function(this: CertificateWorld, name: string) {
    this.directory = await mkdtemp(join(tmpdir(), "flamingowell-"));
    await replaceFile(this, name, "key");
    await replaceFile(this, name, "certificate");
    const tls = { certificateFile: join(this.directory, "certificate.pem"), keyFile: join(this.directory, "key.pem") };
    const settings = { tls, certificateCheckMilliseconds: CHECK_MILLISECONDS };
    this.gateways = [await startGateway({ schedulers: [], settings })];
});

When("the files are replaced by the {string} certificate", async function(this: CertificateWorld, name: string) {
    await replaceFile(this, name, "key");
    await replaceFile(this, name, "certificate");
});

When("only the key is replaced by the {string} one", async function(this: CertificateWorld, name: string) {
    await replaceFile(this, name, "key");
});

When("the gateway has checked the files", async function(this: CertificateWorld) {
    await pause(CHECKS_WAITED * CHECK_MILLISECONDS);
});

Then("callers see the {string} certificate", async function(this: CertificateWorld, name: string) {
    const { origin } = firstGateway(this);
    const wanted = `${name}.flamingowell.test`;
    await waitUntil("the certificate", async () => (await readCommonName(origin)) === wanted);
});
