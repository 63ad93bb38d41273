/**
 * HTTP servers of a process: listening on an address from settings and closing without cutting off requests.
 */
import { once } from "node:events";
import type { RequestListener, Server } from "node:http";
import { createServer } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { z } from "zod";
import { followCertificate } from "./certificates.js";
import type { CertificateKeeper } from "./certificates.js";

/** Where a server listens. Port 0 lets the operating system choose. */
export const ListenAddress = z.strictObject({
    /** IP number of the address. */
    host: z.string().min(1),
    /** Port; 0 for any that is free. */
    port: z.int().min(0).max(65_535),
});
export type ListenAddress = z.infer<typeof ListenAddress>;

/** A listening server with the address that it was given. */
export interface RunningServer {
    readonly server: Server;
    readonly host: string;
    readonly port: number;
    readonly origin: string;
    /** Stops accepting, waits for the answers under way, then closes what is left idle. */
    close(): Promise<void>;
}

/** How a server speaks TLS. */
export interface ServerTls {
    readonly certificates: CertificateKeeper;
    /** Refuses connections without a certificate of the keeper's authorities. */
    readonly requireClientCertificate: boolean;
}

/** Starts an HTTP server, or an HTTPS server where TLS is given; rejects when the address cannot be bound. */
export async function listen(
    listener: RequestListener,
    address: ListenAddress,
    tls?: ServerTls,
): Promise<RunningServer> {
    const server = tls === undefined ? createServer(listener) : createSecureServer(listener, tls);
    server.listen(address.port, address.host);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const scheme = tls === undefined ? "http" : "https";
    return {
        server,
        host: address.host,
        port,
        origin: `${scheme}://${address.host}:${port}`,
        close: () => close(server),
    };
}

function createSecureServer(listener: RequestListener, { certificates, requireClientCertificate }: ServerTls): Server {
    const options = { ...certificates.current(), requestCert: requireClientCertificate, rejectUnauthorized: true };
    const server = createTlsServer(options, listener);
    followCertificate(server, certificates);
    return server;
}

async function close(server: Server): Promise<void> {
    const closed = once(server, "close");
    server.close();
    server.closeIdleConnections();
    await closed;
}
