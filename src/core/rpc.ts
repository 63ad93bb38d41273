/**
 * JSON-RPC 2.0 over HTTP between the system's own processes and from operators.
 */
import express from "express";
import type { RequestHandler, Router } from "express";
import { JSONRPCErrorCode, JSONRPCServer } from "json-rpc-2.0";
import { timingSafeEqual } from "node:crypto";
import { Result } from "true-myth/result";
import { request } from "undici";
import type { Dispatcher } from "undici";
import * as z from "zod";
import { createFailure, describeThrown, Failure } from "./errors.js";
import { RPC_FAILURE_CODE } from "./method.js";
import type { Method, MethodHandler } from "./method.js";
import { parse } from "./parse.js";
import { createTimeout, limitSignal } from "./time.js";

/** Path of the JSON-RPC endpoint on peer and operator ports. */
export const RPC_PATH = "/rpc";

const DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024;

/** Options of the server side. */
export interface RpcRouterOptions {
    readonly handlers: readonly MethodHandler[];
    /** Shared token that callers present as `Authorization: Bearer`. */
    readonly token: string;
    readonly bodyLimitBytes?: number;
}

/** Creates an express router that serves the methods at `RPC_PATH`. */
export function createRpcRouter(options: RpcRouterOptions): Router {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const handler of options.handlers) {
        server.addMethod(handler.name, params => handler.handle(params));
    }
    const router = express.Router();
    router.use(RPC_PATH, requireToken(options.token));
    router.use(RPC_PATH, express.text({ type: () => true, limit: options.bodyLimitBytes ?? DEFAULT_BODY_LIMIT_BYTES }));
    router.post(RPC_PATH, async (incoming, outgoing) => {
        const answer = await receive(server, typeof incoming.body === "string" ? incoming.body : "");
        if (answer === null) {
            outgoing.status(204).end();
            return;
        }
        outgoing.json(answer);
    });
    return router;
}

/** The library throws on some bodies that are JSON but no request, such as `[null]`. */
async function receive(server: JSONRPCServer, body: string): Promise<object | null> {
    try {
        return await server.receiveJSON(body);
    }
    catch {
        return {
            jsonrpc: "2.0",
            id: null,
            error: { code: JSONRPCErrorCode.InvalidRequest, message: "Invalid Request" },
        };
    }
}

/** Refuses requests that do not carry the token. */
export function requireToken(token: string): RequestHandler {
    const expected = Buffer.from(`Bearer ${token}`);
    return (incoming, outgoing, next) => {
        const given = Buffer.from(incoming.headers.authorization ?? "");
        if (given.length === expected.length && timingSafeEqual(given, expected)) {
            next();
            return;
        }
        const failure = createFailure("unauthorized", "authorization", "a valid bearer token is required");
        outgoing.status(401).json({ jsonrpc: "2.0", id: null, error: toRpcError(failure) });
    };
}

function toRpcError(failure: Failure): object {
    return { code: RPC_FAILURE_CODE, message: failure.message, data: failure };
}

/** Options of the client side. */
export interface RpcClientOptions {
    readonly token: string;
    readonly timeoutMilliseconds: number;
    readonly dispatcher?: Dispatcher;
}

/** Calls methods of peers. */
export interface RpcClient {
    /**
     * Calls a method of the peer at an origin (`http://127.0.0.1:7000`).
     *
     * Codes besides the method's own: `unavailable` (nothing was sent), `timeout` and `ambiguous` (it may have run),
     * `internal` (the answer does not fit the schema).
     */
    call<Params extends z.ZodType, Answer extends z.ZodType>(
        origin: string,
        method: Method<Params, Answer>,
        params: z.input<Params>,
        options?: RpcCallOptions,
    ): Promise<Result<z.output<Answer>, Failure>>;
}

/** What may differ from call to call. */
export interface RpcCallOptions {
    readonly timeoutMilliseconds?: number;
    readonly signal?: AbortSignal;
}

const RpcAnswer = z.object({
    result: z.unknown().optional(),
    error: z.object({ code: z.number(), message: z.string(), data: z.unknown().optional() }).optional(),
});

/** Creates a client; one serves any number of peers. */
export function createRpcClient(options: RpcClientOptions): RpcClient {
    let lastId = 0;
    return {
        async call(origin, method, params, callOptions = {}) {
            lastId += 1;
            const body = JSON.stringify({ jsonrpc: "2.0", id: lastId, method: method.name, params });
            const sent = await post(origin, method.name, body, options, callOptions);
            return sent.andThen(answer => readAnswer(method, answer, origin));
        },
    };
}

async function post(
    origin: string,
    step: string,
    body: string,
    options: RpcClientOptions,
    callOptions: RpcCallOptions,
): Promise<Result<unknown, Failure>> {
    const timeoutMilliseconds = callOptions.timeoutMilliseconds ?? options.timeoutMilliseconds;
    const signal = callOptions.signal === undefined
        ? createTimeout(timeoutMilliseconds)
        : limitSignal(callOptions.signal, timeoutMilliseconds);
    try {
        const answer = await request(origin + RPC_PATH, {
            method: "POST",
            headers: { "content-type": "application/json", authorization: `Bearer ${options.token}` },
            body,
            signal,
            ...(options.dispatcher === undefined ? {} : { dispatcher: options.dispatcher }),
        });
        return Result.ok(await answer.body.json());
    }
    catch (thrown) {
        return Result.err(
            toTransportFailure(thrown, step, origin, signal.aborted && callOptions.signal?.aborted !== true),
        );
    }
}

function toTransportFailure(thrown: unknown, step: string, peer: string, timedOut: boolean): Failure {
    if (timedOut) {
        return createFailure("timeout", step, "no answer within the time limit", { peer });
    }
    const systemCode = (thrown as { code?: unknown; }).code;
    const nothingSent = systemCode === "ECONNREFUSED" || systemCode === "UND_ERR_CONNECT_TIMEOUT";
    return createFailure(nothingSent ? "unavailable" : "ambiguous", step, describeThrown(thrown), { peer });
}

function readAnswer<Answer extends z.ZodType>(
    method: Method<z.ZodType, Answer>,
    answer: unknown,
    peer: string,
): Result<z.output<Answer>, Failure> {
    const envelope = RpcAnswer.safeParse(answer);
    if (!envelope.success) {
        return Result.err(createFailure("internal", method.name, "the answer is not JSON-RPC 2.0", { peer }));
    }
    const { error, result } = envelope.data;
    if (error === undefined) {
        return parse(method.answer, result, method.name).mapErr(failure => ({ ...failure, code: "internal", peer }));
    }
    const failure = Failure.safeParse(error.data);
    if (failure.success) {
        return Result.err({ ...failure.data, peer: failure.data.peer ?? peer });
    }
    return Result.err(createFailure("internal", method.name, error.message, { peer }));
}
