/**
 * The callers' port: limits on heads, slow callers and connections; TLS with certificates that are read again.
 */
import type { RequestListener, ServerOptions } from "node:http";
import type { Duplex } from "node:stream";
import { createCertificateKeeper } from "../../core/certificates.js";
import type { CertificateKeeper } from "../../core/certificates.js";
import { createHttpServer, startServer } from "../../core/http.js";
import type { ListenAddress, RunningServer } from "../../core/http.js";
import type { Logger } from "../../core/log.js";
import { headers } from "../../platform/worker.js";
import { reasons } from "../counters.js";
import type { RequestSettings } from "../settings.js";

/** Connections that the operating system keeps for a process that is busy. */
const BACKLOG_CONNECTIONS = 4_096;
const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 1_000;
/** Time beyond the longest deadline after which a caller's connection without any traffic is closed. */
const INACTIVITY_MARGIN_MILLISECONDS = 10_000;

/** Options of the callers' port. */
export interface CallersOptions {
    readonly listener: RequestListener;
    readonly address: ListenAddress;
    readonly settings: RequestSettings;
    readonly logger: Logger;
    /** Counts a request that ended before it could be read. */
    onMalformed(reason: string): void;
}

/** The callers' port while it is open. */
export interface CallersServer extends RunningServer {
    /** Reads certificates again when they change, until the signal is aborted; returns at once without TLS. */
    run(signal: AbortSignal): Promise<void>;
}

/** Opens the callers' port; rejects when it cannot be bound or the certificate cannot be read. */
export async function listenForCallers(options: CallersOptions): Promise<CallersServer> {
    const { address, settings } = options;
    const certificates = await readCertificates(options);
    const serverOptions: ServerOptions = {
        maxHeaderSize: settings.headerLimitBytes,
        headersTimeout: settings.headerTimeoutMilliseconds,
        requestTimeout: settings.headerTimeoutMilliseconds + settings.bodyTimeoutMilliseconds,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
        keepAliveTimeout: settings.keepAliveMilliseconds,
    };
    const tls = certificates === undefined ? undefined : { certificates, requireClientCertificate: false };
    const server = createHttpServer(options.listener, serverOptions, tls);
    server.maxConnections = settings.callerConnections;
    server.timeout = settings.longestDeadlineMilliseconds + INACTIVITY_MARGIN_MILLISECONDS;
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        refuseMalformed(error, socket, options);
    });
    const running = await startServer(server, address, tls, BACKLOG_CONNECTIONS);
    return {
        ...running,
        run: async signal => {
            await certificates?.run(signal);
        },
    };
}

async function readCertificates({ logger, settings }: CallersOptions): Promise<CertificateKeeper | undefined> {
    const { certificateCheckMilliseconds, tls } = settings;
    return tls === undefined
        ? undefined
        : createCertificateKeeper({ ...tls, checkMilliseconds: certificateCheckMilliseconds }, logger);
}

/** A request whose head or body cannot be read was not run: nothing has been sent to an upstream. */
function refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex, options: CallersOptions): void {
    // An earlier answer on the connection, or a part of one, must not be followed by one that belongs to no request.
    const hasWrittenNothing = "bytesWritten" in socket && socket.bytesWritten === 0;
    if (!socket.writable || error.code === "ECONNRESET" || !hasWrittenNothing) {
        socket.destroy();
        return;
    }
    const { line, reason } = describeMalformed(error);
    options.onMalformed(reason);
    const body = `${JSON.stringify({ error: reason })}\n`;
    socket.end(
        `HTTP/1.1 ${line}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n`
            + `${headers.outcome}: not-run\r\n${headers.reason}: ${reason}\r\n\r\n${body}`,
    );
}

function describeMalformed(error: NodeJS.ErrnoException): { line: string; reason: string; } {
    switch (error.code) {
        case "HPE_HEADER_OVERFLOW":
            return { line: "431 Request Header Fields Too Large", reason: reasons.headTooLarge };
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return { line: "408 Request Timeout", reason: reasons.headTimeout };
        default:
            return { line: "400 Bad Request", reason: reasons.invalidRequest };
    }
}
