/**
 * HTTP server of the stand-ins: JSON bodies on a loopback address.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

export const HOST = "127.0.0.1";

/** A request with its decoded body. */
export interface JsonRequest {
    readonly method: string;
    readonly url: URL;
    readonly headers: IncomingHttpHeaders;
    readonly body: Readonly<Record<string, unknown>>;
}

/** An answer, or `undefined` to give none. */
export type JsonAnswer = { readonly status: number; readonly body?: object; } | undefined;

/** A server that listens. */
export interface JsonServer {
    readonly port: number;
    /** Resets all connections and stops listening. */
    close(): Promise<void>;
}

/** Starts a server; port 0 selects a free one. */
export async function serveJson(
    answer: (request: JsonRequest) => Promise<JsonAnswer>,
    port = 0,
): Promise<JsonServer> {
    const handle = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
        const found = await answer(await readRequest(incoming));
        if (found !== undefined && !response.destroyed) {
            response.writeHead(found.status, { "content-type": "application/json" });
            response.end(JSON.stringify(found.body ?? {}));
        }
    };
    const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
        handle(incoming, response).catch(() => response.destroy());
    });
    server.listen(port, HOST);
    await once(server, "listening");
    return {
        port: (server.address() as AddressInfo).port,
        async close() {
            const closed = once(server, "close");
            server.close();
            server.closeAllConnections();
            await closed;
        },
    };
}

async function readRequest(incoming: IncomingMessage): Promise<JsonRequest> {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return {
        method: incoming.method ?? "GET",
        url: new URL(incoming.url ?? "/", `http://${HOST}`),
        headers: incoming.headers,
        body: text === "" ? {} : JSON.parse(text) as Record<string, unknown>,
    };
}
