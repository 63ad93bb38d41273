/**
 * Passing requests on to the gateway that holds their exclusive key, and taking them in from others.
 */
import type { IncomingMessage } from "node:http";
import { Agent } from "undici";
import type { buildConnector } from "undici";
import type { Clock } from "../core/time.js";
import { headers } from "../platform/worker.js";
import type { AttemptsResult } from "./attempts.js";
import type { CallerRequest } from "./callers/request.js";
import { reasons } from "./counters.js";
import { notRun, unknownOutcome } from "./refusal.js";
import type { RequestSettings } from "./settings.js";
import { exchange } from "./upstream/exchange.js";
import type { AnswerSink } from "./upstream/exchange.js";

/** Path on the peers' port under which requests are passed on. */
export const FORWARD_PATH = "/forward";

/** Carries the caller's own `authorization`, whose place the peer token takes. */
const CALLER_AUTHORIZATION_HEADER = "flamingowell-caller-authorization";

/** Passes requests on. */
export interface PeerForwarder {
    forward(origin: string, request: CallerRequest, sink: AnswerSink): Promise<AttemptsResult>;
    close(): Promise<void>;
}

/** Options of the forwarder. */
export interface PeerForwarderOptions {
    readonly peerToken: string;
    readonly settings: RequestSettings;
    readonly clock: Clock;
    /** Opens connections to peers; plain HTTP by default. */
    readonly connector?: buildConnector.connector | undefined;
}

/** Creates a forwarder. */
export function createPeerForwarder(options: PeerForwarderOptions): PeerForwarder {
    const { settings, clock, peerToken } = options;
    const agent = new Agent({
        pipelining: 1,
        connect: options.connector ?? { timeout: settings.connectTimeoutMilliseconds },
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    return {
        // Nothing is passed on any more; waiting for a silent peer would hold the stop up.
        close: () => agent.destroy(),
        async forward(origin, request, sink) {
            const { requestId } = request.guarded;
            const { authorization } = request.headers;
            const result = await exchange(agent, {
                origin,
                method: request.method,
                path: `${FORWARD_PATH}/${request.service}${request.path}`,
                headers: {
                    ...request.headers,
                    authorization: `Bearer ${peerToken}`,
                    ...(authorization === undefined ? {} : { [CALLER_AUTHORIZATION_HEADER]: authorization }),
                    [headers.deadline]: String(request.deadlineMilliseconds),
                    [headers.requestId]: requestId,
                    [headers.priority]: String(request.priority),
                },
                body: request.body,
                requestId,
                bufferBytes: settings.answerBufferBytes,
                limitBytes: settings.answerLimitBytes,
                timeoutMilliseconds: request.deadlineMilliseconds - clock(),
                maySend: () => true,
            }, sink);
            if (result.kind === "whole") {
                return { kind: "whole", answer: result };
            }
            if (result.kind === "streamed") {
                return { kind: "streamed", status: result.status };
            }
            if (result.responseStarted) {
                return { kind: "cut", reason: result.reason };
            }
            const message = `${origin}: ${result.message}`;
            const createRefusal = result.sent ? unknownOutcome : notRun;
            return { kind: "refused", refusal: createRefusal(502, reasons.forwardFailed, message) };
        },
    };
}

/** Gives a request that another gateway has passed on the shape in which the caller had sent it. */
export function restoreCallerHeaders(incoming: IncomingMessage): void {
    const { authorization: peerAuthorization, [CALLER_AUTHORIZATION_HEADER]: callerAuthorization, ...others } =
        incoming.headers;
    incoming.headers = {
        ...others,
        ...(peerAuthorization === undefined || typeof callerAuthorization !== "string"
            ? {}
            : { authorization: callerAuthorization }),
    };
}
