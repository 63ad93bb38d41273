/**
 * HTTP servers of a process: listening on an address from settings and closing without cutting off requests.
 */
import { once } from "node:events";
import type { RequestListener, Server, ServerOptions } from "node:http";
import { createServer } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import * as z from "zod";
import { followCertificate } from "./certificates.js";
import type { CertificateKeeper } from "./certificates.js";

/** Time between two looks for idle connections while a server closes. */
const CLOSE_SWEEP_MILLISECONDS = 100;

/** Time that answers get to end once a server closes; callers' requests have ended before, see the gateway's drain. */
const CLOSE_LIMIT_MILLISECONDS = 2_000;

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
    /** Stops accepting, waits a while for the answers under way, and closes all connections. */
    close(): Promise<void>;
}

/** How a server speaks TLS. */
export interface ServerTls {
    readonly certificates: CertificateKeeper;
    /** Refuses connections without a certificate of the keeper's authorities. */
    readonly requireClientCertificate: boolean;
}

/** Starts an HTTP server, or an HTTPS server where TLS is given; rejects when the address cannot be bound. */
export function listen(listener: RequestListener, address: ListenAddress, tls?: ServerTls): Promise<RunningServer> {
    return startServer(createHttpServer(listener, {}, tls), address, tls);
}

/** Creates an HTTP server, or an HTTPS server that follows its certificate where TLS is given. */
export function createHttpServer(listener: RequestListener, options: ServerOptions, tls?: ServerTls): Server {
    if (tls === undefined) {
        return createServer(options, listener);
    }
    const { certificates, requireClientCertificate } = tls;
    const secure = { ...certificates.current(), requestCert: requireClientCertificate, rejectUnauthorized: true };
    const server = createTlsServer({ ...options, ...secure }, listener);
    followCertificate(server, certificates);
    return server;
}

/** Binds a server to an address; rejects when it cannot be bound. The backlog is the operating system's by default. */
export async function startServer(
    server: Server,
    { host, port }: ListenAddress,
    tls?: ServerTls,
    backlogConnections?: number,
): Promise<RunningServer> {
    server.listen({ port, host, ...(backlogConnections === undefined ? {} : { backlog: backlogConnections }) });
    await once(server, "listening");
    const bound = server.address() as AddressInfo;
    const scheme = tls === undefined ? "http" : "https";
    return {
        server,
        host,
        port: bound.port,
        origin: `${scheme}://${host}:${bound.port}`,
        close: () => close(server),
    };
}

/**
 * Clients may keep a connection in use for as long as they live, so it is ended with the answer to its next request. One
 * that has gone silent in the middle of a request is cut off after a time.
 */
async function close(server: Server): Promise<void> {
    const closed = once(server, "close");
    server.prependListener("request", (request, response) => {
        response.setHeader("connection", "close");
    });
    server.close();
    // A connection that was busy a moment ago may be idle now.
    const sweep = setInterval(() => server.closeIdleConnections(), CLOSE_SWEEP_MILLISECONDS);
    server.closeIdleConnections();
    const limit = setTimeout(() => server.closeAllConnections(), CLOSE_LIMIT_MILLISECONDS);
    await closed;
    clearInterval(sweep);
    clearTimeout(limit);
}
