/**
 * Certificates from files, read again when they change, for servers and for connections to peers.
 */
import { createPrivateKey, X509Certificate } from "node:crypto";
import { readFile } from "node:fs/promises";
import type { Server as TlsServer } from "node:https";
import { createSecureContext } from "node:tls";
import { buildConnector } from "undici";
import * as z from "zod";
import { describeThrown } from "./errors.js";
import type { Logger } from "./log.js";
import { pause } from "./time.js";

const DEFAULT_CHECK_MILLISECONDS = 5_000;

/** Certificates of the system's own processes. */
export const PeerTlsSettings = z.strictObject({
    /** Certificate of this process, PEM. */
    certificateFile: z.string().min(1),
    /** Private key of the certificate, PEM. */
    keyFile: z.string().min(1),
    /** Certificates of the authorities that sign the system's processes and nothing else, PEM. */
    authorityFile: z.string().min(1),
    /** Time between two looks at the files. */
    checkMilliseconds: z.int().min(1).default(DEFAULT_CHECK_MILLISECONDS),
});

/** Where certificates are and how often the files are looked at. */
export interface CertificateFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
    readonly authorityFile?: string | undefined;
    readonly checkMilliseconds: number;
}

/** A certificate with its key, and the authorities that peers are checked against; all PEM. */
export interface Certificate {
    readonly cert: string;
    readonly key: string;
    readonly ca?: string;
}

/** Keeps the certificate that is in force. */
export interface CertificateKeeper {
    current(): Certificate;
    /** Calls a function with each certificate that takes the place of an earlier one. */
    onChange(listener: (certificate: Certificate) => void): void;
    /** Reads the files again when they change, until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

/** Reads a certificate; rejects where the files cannot be read or do not fit each other. */
export async function createCertificateKeeper(files: CertificateFiles, logger: Logger): Promise<CertificateKeeper> {
    let current = await readCertificate(files);
    const listeners: ((certificate: Certificate) => void)[] = [];
    const look = async () => {
        const found = await readCertificate(files);
        if (found.cert === current.cert && found.key === current.key && found.ca === current.ca) {
            return;
        }
        current = found;
        listeners.forEach(listener => listener(found));
        logger.info("certificate-replaced", { file: files.certificateFile });
    };
    return {
        current: () => current,
        onChange: listener => listeners.push(listener),
        run: async signal => {
            while (!signal.aborted) {
                await pause(files.checkMilliseconds, signal);
                try {
                    await look();
                }
                catch (thrown) {
                    logger.warn("certificate-not-read", { step: "certificate", message: describeThrown(thrown) });
                }
            }
        },
    };
}

/** Lets a server take up each new certificate; connections that are open keep theirs. */
export function followCertificate(server: TlsServer, certificates: CertificateKeeper): void {
    certificates.onChange(certificate => server.setSecureContext(certificate));
}

/**
 * Creates the function that opens undici's connections to peers.
 *
 * Peers are known by the authority that signed them and not by their names, since they are reached by IP numbers that
 * change.
 */
export function createPeerConnector(
    certificates: CertificateKeeper,
    timeoutMilliseconds: number,
): buildConnector.connector {
    const build = (certificate: Certificate) =>
        buildConnector({ ...certificate, timeout: timeoutMilliseconds, checkServerIdentity: () => undefined });
    let connect = build(certificates.current());
    certificates.onChange(certificate => {
        connect = build(certificate);
    });
    return (options, callback) => connect(options, callback);
}

/** A pair that does not fit, for instance while only one of the files has been replaced, is not taken up. */
async function readCertificate({ authorityFile, certificateFile, keyFile }: CertificateFiles): Promise<Certificate> {
    const read = (file: string) => readFile(file, "utf8");
    const [cert, key, ca] = await Promise.all([
        read(certificateFile),
        read(keyFile),
        authorityFile === undefined ? undefined : read(authorityFile),
    ]);
    // An empty key is no error to a secure context, and the server would fail every handshake.
    if (!new X509Certificate(cert).checkPrivateKey(createPrivateKey(key))) {
        throw new Error(`${keyFile} is not the key of ${certificateFile}`);
    }
    const certificate = { cert, key, ...(ca === undefined ? {} : { ca: readAuthorities(ca, authorityFile) }) };
    createSecureContext(certificate);
    return certificate;
}

/** Without any authority Node.js would trust the public ones. */
function readAuthorities(text: string, file: string | undefined): string {
    if (!text.includes("-----BEGIN CERTIFICATE-----")) {
        throw new Error(`${file ?? "authorities"} holds no certificate`);
    }
    return text;
}
