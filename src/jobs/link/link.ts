/**
 * Connections between instances: JSON-RPC 2.0, one message a line, both ways over TCP.
 */
import { JSONRPCClient, JSONRPCServer } from "json-rpc-2.0";
import type { JSONRPCRequest, JSONRPCResponse } from "json-rpc-2.0";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { Result } from "true-myth/result";
import type { z } from "zod";
import { createFailure, describeThrown, Failure } from "../../core/errors.js";
import type { ListenAddress } from "../../core/http.js";
import type { Method, MethodHandler } from "../../core/method.js";
import { parse } from "../../core/parse.js";

/** A line that is longer is no message of ours: the largest job is 262,144 bytes, and escapes may double it. */
const LONGEST_LINE_BYTES = 2_000_000;

/** Time between two pings of a connection. */
const PING_MILLISECONDS = 300;

/** A connection on which nothing has come for this long is given up: four pings. */
const SILENCE_MILLISECONDS = 1_200;

const CONNECT_LIMIT_MILLISECONDS = 600;
const PING_METHOD = "ping";

/** The other end of a connection. */
export interface Link {
    readonly peer: string;
    isOpen(): boolean;
    /**
     * Calls a method of the peer. Codes besides the method's own: `unavailable` (nothing was sent), `timeout` and
     * `ambiguous` (it may have run), `internal` (the answer does not fit the schema).
     */
    call<Params extends z.ZodType, Answer extends z.ZodType>(
        method: Method<Params, Answer>,
        params: z.input<Params>,
        timeoutMilliseconds: number,
    ): Promise<Result<z.output<Answer>, Failure>>;
    close(): void;
}

/** A server of links. */
export interface LinkServer {
    readonly address: ListenAddress;
    /** Connections of peers that are open. */
    connections(): number;
    close(): Promise<void>;
}

/** What happens to an open link. */
export interface LinkEvents {
    onClose(): void;
    /** The peer says that it has been unable to do its work for so long. */
    onPeerFailing(milliseconds: number): void;
}

/** Why a link could not be opened. */
export type ConnectFailureReason = "refused" | "silent" | "broken";

/** Serves methods to peers that connect; pings are answered with how long this instance has been in trouble. */
export async function serveLinks(
    address: ListenAddress,
    handlers: readonly MethodHandler[],
    failingMilliseconds: () => number,
): Promise<LinkServer> {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    handlers.forEach(handler => server.addMethod(handler.name, params => handler.handle(params)));
    server.addMethod(PING_METHOD, failingMilliseconds);
    const sockets = new Set<Socket>();
    const listener = createServer(socket => {
        sockets.add(socket);
        socket.setNoDelay(true);
        const write = createWriter(socket);
        readLines(socket, line => {
            void server.receiveJSON(line).then(answer => answer === null ? undefined : write(answer));
        });
        const silenceCheck = closeWhenSilent(socket);
        socket.on("error", () => undefined).on("close", () => {
            clearInterval(silenceCheck);
            sockets.delete(socket);
        });
    });
    await new Promise<void>((resolve, reject) => {
        listener.once("error", reject);
        listener.listen(address.port, address.host, () => resolve());
    });
    const bound = listener.address();
    const port = typeof bound === "object" && bound !== null ? bound.port : address.port;
    return {
        address: { host: address.host, port },
        connections: () => sockets.size,
        close: () =>
            new Promise(resolve => {
                listener.close(() => resolve());
                sockets.forEach(socket => socket.destroy());
            }),
    };
}

/** Opens a connection to a peer; the refusal tells whether anybody listens there. */
export async function openLink(
    address: ListenAddress,
    events: LinkEvents,
): Promise<Result<Link, { refusal: ConnectFailureReason; message: string; }>> {
    const peer = `${address.host}:${address.port}`;
    const socket = connect({ host: address.host, port: address.port });
    socket.setNoDelay(true);
    const opened = await waitForConnection(socket);
    if (opened.isErr) {
        socket.destroy();
        return Result.err(opened.error);
    }
    const write = createWriter(socket);
    const client = new JSONRPCClient((request: JSONRPCRequest) => write(request));
    let lastReceivedAt = performance.now();
    let isOpen = true;
    readLines(socket, line => {
        lastReceivedAt = performance.now();
        const answer = readJson(line);
        if (answer !== undefined) {
            client.receive(answer);
        }
    });
    const pings = setInterval(() => {
        if (performance.now() - lastReceivedAt > SILENCE_MILLISECONDS) {
            socket.destroy();
            return;
        }
        client.request(PING_METHOD, undefined).then((failingMilliseconds: unknown) => {
            if (typeof failingMilliseconds === "number" && failingMilliseconds > 0) {
                events.onPeerFailing(failingMilliseconds);
            }
        }, () => {
            // The silence of the connection tells, not the single ping.
        });
    }, PING_MILLISECONDS);
    socket.on("error", () => undefined).on("close", () => {
        isOpen = false;
        clearInterval(pings);
        client.rejectAllPendingRequests("the connection ended");
        events.onClose();
    });
    return Result.ok({
        peer,
        isOpen: () => isOpen,
        close: () => socket.destroy(),
        async call(method, params, timeoutMilliseconds) {
            if (!isOpen) {
                return Result.err(createFailure("unavailable", method.name, "the connection is closed", { peer }));
            }
            try {
                const answer: unknown = await client.timeout(timeoutMilliseconds, id => ({
                    jsonrpc: "2.0",
                    id,
                    error: { code: TIMEOUT_CODE, message: "no answer within the time limit" },
                })).request(method.name, params);
                return parse(method.answer, answer, method.name).mapErr(failure => ({
                    ...failure,
                    code: "internal",
                    peer,
                }));
            }
            catch (thrown) {
                return Result.err(toFailure(thrown, method.name, peer));
            }
        },
    });
}

const TIMEOUT_CODE = -32_001;

function toFailure(thrown: unknown, step: string, peer: string): Failure {
    const { code, data } = thrown as { code?: unknown; data?: unknown; };
    const remoteFailure = Failure.safeParse(data);
    if (remoteFailure.success) {
        return { ...remoteFailure.data, peer: remoteFailure.data.peer ?? peer };
    }
    return createFailure(code === TIMEOUT_CODE ? "timeout" : "ambiguous", step, describeThrown(thrown), { peer });
}

function waitForConnection(socket: Socket): Promise<Result<void, { refusal: ConnectFailureReason; message: string; }>> {
    return new Promise(resolve => {
        const timer = setTimeout(
            () => resolve(Result.err({ refusal: "silent", message: "no connection within the time limit" })),
            CONNECT_LIMIT_MILLISECONDS,
        );
        socket.once("connect", () => {
            clearTimeout(timer);
            resolve(Result.ok(undefined));
        });
        socket.on("error", (error: NodeJS.ErrnoException) => {
            clearTimeout(timer);
            const refusal = error.code === "ECONNREFUSED" ? "refused" : "broken";
            resolve(Result.err({ refusal, message: error.message }));
        });
    });
}

function closeWhenSilent(socket: Socket): NodeJS.Timeout {
    let lastReceivedAt = performance.now();
    socket.on("data", () => {
        lastReceivedAt = performance.now();
    });
    return setInterval(() => {
        if (performance.now() - lastReceivedAt > SILENCE_MILLISECONDS) {
            socket.destroy();
        }
    }, PING_MILLISECONDS);
}

/** Messages of one turn go out in one write. */
function createWriter(socket: Socket): (message: JSONRPCRequest | JSONRPCResponse | JSONRPCResponse[]) => void {
    let lines: string[] = [];
    return message => {
        lines.push(JSON.stringify(message), "\n");
        if (lines.length === 2) {
            setImmediate(() => {
                const text = lines.join("");
                lines = [];
                if (!socket.destroyed) {
                    socket.write(text);
                }
            });
        }
    };
}

function readLines(socket: Socket, onLine: (line: string) => void): void {
    let incompleteLine = "";
    socket.setEncoding("utf8");
    socket.on("data", (chunk: string) => {
        incompleteLine += chunk;
        const lines = incompleteLine.split("\n");
        incompleteLine = lines.pop() ?? "";
        if (incompleteLine.length > LONGEST_LINE_BYTES) {
            socket.destroy();
            return;
        }
        lines.forEach(onLine);
    });
}

function readJson(line: string): JSONRPCResponse | undefined {
    try {
        return JSON.parse(line) as JSONRPCResponse;
    }
    catch {
        // The peer is of this program; a line that is no JSON can only be noise of a broken connection.
        return undefined;
    }
}
