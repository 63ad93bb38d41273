/**
 * A small HTTP server for the stand-ins: JSON in, JSON out, with faults between the two.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A request as a stand-in sees it. */
export interface StandInRequest {
    readonly method: string;
    readonly url: URL;
    readonly headers: IncomingMessage["headers"];
    readonly body: Record<string, unknown>;
}

/** What a stand-in answers. */
export interface StandInAnswer {
    readonly status: number;
    readonly body?: object;
}

/** What happens to a request on its way. */
export type RequestFault =
    | "none"
    /** Answered with 503 unread. */
    | "refused"
    /** Neither carried out nor answered. */
    | "silent"
    /** Carried out; the connection is reset in place of an answer. */
    | "answer-lost"
    /** Not answered, and carried out after `LATE_MILLISECONDS`. */
    | "late";

/** A stand-in that listens. */
export interface StandInServer {
    /** `HOST:PORT`. */
    readonly address: string;
    /** Holds up all calls and answers from now on, as a link without a path does. */
    disconnect(): void;
    /** Carries out and answers what was held up, in the order of arrival. */
    reconnect(): void;
    /** Resets all connections, and forgets the calls that have come over them. */
    reset(): void;
    /** Number of connections that have been opened so far. */
    connections(): number;
    close(): Promise<void>;
}

/** Delay of an order that is carried out late. */
const LATE_MILLISECONDS = 1_500;

const HOST = "127.0.0.1";

/** Starts a server on a free port of the loopback interface. */
export async function serveJson(
    answer: (request: StandInRequest) => Promise<StandInAnswer> | StandInAnswer,
    chooseFault: (request: StandInRequest) => RequestFault,
    port = 0,
): Promise<StandInServer> {
    let isConnected = true;
    let generation = 0;
    let heldUp: (() => void)[] = [];
    const whenConnected = (): Promise<void> =>
        isConnected ? Promise.resolve() : new Promise(resolve => heldUp.push(resolve));
    const reconnect = (): void => {
        isConnected = true;
        const waiting = heldUp;
        heldUp = [];
        waiting.forEach(resume => resume());
    };
    const handle = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
        const generationAtArrival = generation;
        const request = await readRequest(incoming);
        await whenConnected();
        if (generation !== generationAtArrival) {
            return;
        }
        const fault = chooseFault(request);
        if (fault === "refused") {
            response.writeHead(503).end();
            return;
        }
        if (fault === "silent") {
            return;
        }
        if (fault === "late") {
            setTimeout(() => void answer(request), LATE_MILLISECONDS);
            return;
        }
        const { body, status } = await answer(request);
        await whenConnected();
        if (fault === "answer-lost") {
            response.destroy();
            return;
        }
        response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body ?? {}));
    };
    const server = createServer((incoming, response) => void handle(incoming, response));
    let connections = 0;
    server.on("connection", () => {
        connections += 1;
    });
    server.listen(port, HOST);
    await once(server, "listening");
    const { port: boundPort } = server.address() as AddressInfo;
    return {
        address: `${HOST}:${boundPort}`,
        disconnect() {
            isConnected = false;
        },
        reconnect,
        connections: () => connections,
        reset() {
            generation += 1;
            server.closeAllConnections();
            reconnect();
        },
        close: async () => {
            server.closeAllConnections();
            server.close();
            await once(server, "close");
        },
    };
}

async function readRequest(incoming: IncomingMessage): Promise<StandInRequest> {
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
