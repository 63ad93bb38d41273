/**
 * Connections between instances: JSON-RPC 2.0 over TCP, one message per line.
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

/** Longest accepted line. The largest job is 262,144 bytes, and escapes may double it. */
const LONGEST_LINE_BYTES = 2_000_000;

/** Time between two pings of a connection. */
const PING_MILLISECONDS = 300;

/** A connection that receives nothing for this long is closed: four pings. */
const SILENCE_MILLISECONDS = 1_200;

const CONNECT_LIMIT_MILLISECONDS = 600;
const PING_METHOD = "ping";

/** An open connection to a peer. */
export interface Link {
    readonly peer: string;
    isOpen(): boolean;
    /**
     * Calls a method of the peer. Failures besides the method's own: `unavailable` (nothing was sent), `timeout` and
     * `ambiguous` (it may have run), `internal` (the answer does not fit the schema).
     */
    call<Params extends z.ZodType, Answer extends z.ZodType>(
        method: Method<Params, Answer>,
        params: z.input<Params>,
        timeoutMilliseconds: number,
    ): Promise<Result<z.output<Answer>, Failure>>;
    close(): void;
}

/** A server that accepts links. */
export interface LinkServer {
    readonly address: ListenAddress;
    /** Returns the number of open connections from peers. */
    connections(): number;
    close(): Promise<void>;
}

/** Callbacks of an open link. */
export interface LinkEvents {
    onClose(): void;
    /** Called with the time for which the peer reports to have been unable to commit. */
    onPeerFailing(milliseconds: number): void;
}

/** Why a link could not be opened. */
export type ConnectFailureReason = "refused" | "silent" | "broken";

/** Serves methods to connected peers. Pings are answered with how long this instance has been unable to commit. */
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

/** Opens a connection to a peer. The refusal `refused` means that no process listens at the address. */
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
            // A single failed ping is ignored; the silence limit closes the connection.
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

/** Combines the messages of one event loop turn into one write. */
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
        // Peers run the same program, so a line that is not JSON comes from a broken connection.
        return undefined;
    }
}
