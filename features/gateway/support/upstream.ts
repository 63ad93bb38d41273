/**
 * Upstreams for the gateway's features: raw TCP servers, so that answers can be invalid HTTP.
 */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";

/** A received request. */
export interface ArrivedRequest {
    readonly head: string;
    readonly body: string;
    readonly path: string;
    readonly headers: ReadonlyMap<string, string>;
}

/** Answers one request on its socket. */
export type Behaviour = (request: ArrivedRequest, socket: Socket) => void;

/** A running upstream. */
export interface TestUpstream {
    readonly origin: string;
    readonly requests: ArrivedRequest[];
    /** Most connections that were open at once. */
    peakConnections(): number;
    connections(): number;
    behave(behaviour: Behaviour): void;
    close(): Promise<void>;
}

/** Answers completely: the body contains the request's path and body, and the header its id. */
export const answerWhole: Behaviour = (request, socket) => {
    const id = request.headers.get("flamingowell-request-id") ?? "";
    const body = `answer to ${request.path}${request.body === "" ? "" : ` with ${request.body}`}`;
    const head = `HTTP/1.1 200 OK\r\nflamingowell-request-id: ${id}\r\ncontent-length: ${body.length}`;
    socket.write(`${head}\r\n\r\n${body}`);
};

/** Starts an upstream. */
export async function startUpstream(): Promise<TestUpstream> {
    const requests: ArrivedRequest[] = [];
    const sockets = new Set<Socket>();
    let behaviour = answerWhole;
    let peak = 0;
    const server: Server = createServer(socket => {
        sockets.add(socket);
        peak = Math.max(peak, sockets.size);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => sockets.delete(socket));
        readRequests(socket, request => {
            requests.push(request);
            behaviour(request, socket);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        requests,
        peakConnections: () => peak,
        connections: () => sockets.size,
        behave: changed => {
            behaviour = changed;
        },
        async close() {
            sockets.forEach(socket => socket.destroy());
            server.close();
            await once(server, "close");
        },
    };
}

function readRequests(socket: Socket, onRequest: (request: ArrivedRequest) => void): void {
    let text = "";
    socket.on("data", chunk => {
        text += chunk.toString("latin1");
        for (;;) {
            const end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            const head = text.slice(0, end);
            const headers = readHeaders(head);
            const length = Number(headers.get("content-length") ?? 0);
            const bodyStart = end + "\r\n\r\n".length;
            if (text.length < bodyStart + length) {
                return;
            }
            const body = text.slice(bodyStart, bodyStart + length);
            text = text.slice(bodyStart + length);
            onRequest({ head, body, headers, path: head.split(" ")[1] ?? "" });
        }
    });
}

function readHeaders(head: string): ReadonlyMap<string, string> {
    return new Map(
        head.split("\r\n").slice(1).map(line => {
            const colon = line.indexOf(":");
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const;
        }),
    );
}
