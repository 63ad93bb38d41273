/**
 * Conversion and writing of upstream answers to callers.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { headers } from "../../platform/worker.js";
import type { RecordedAnswer } from "../guard.js";
import type { AnswerSink } from "../upstream/exchange.js";

const DROPPED_ANSWER_HEADERS = new Set<string>([
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    headers.requestId,
]);
const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** A complete answer of an upstream. */
export interface WholeAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Writes a complete answer to the caller. */
export function writeAnswer(response: ServerResponse, answer: WholeAnswer, method: string, requestId: string): void {
    if (response.destroyed) {
        return;
    }
    const copiedHeaders = copyAnswerHeaders(answer.headers);
    copiedHeaders[headers.requestId] = requestId;
    if (method !== "HEAD" && !STATUSES_WITHOUT_BODY.has(answer.status)) {
        copiedHeaders["content-length"] = answer.body.length;
    }
    response.writeHead(answer.status, copiedHeaders);
    response.end(answer.body);
}

/** Creates the sink that streams a large answer to the caller. */
export function createAnswerSink(response: ServerResponse, requestId: string): AnswerSink {
    let resume: (() => void) | undefined;
    const resumeReading = () => {
        // The callback may write the next chunk, which may set `resume` again.
        const current = resume;
        resume = undefined;
        current?.();
    };
    return {
        begin: (status, answerHeaders) => {
            response.on("drain", resumeReading);
            // A closed connection emits no drain; the rest of the answer is read and discarded.
            response.on("close", resumeReading);
            response.writeHead(status, { ...copyAnswerHeaders(answerHeaders), [headers.requestId]: requestId });
        },
        write: (chunk, onDrain) => {
            if (response.destroyed || response.write(chunk)) {
                return true;
            }
            resume = onDrain;
            return false;
        },
        end: () => {
            response.end();
        },
        abort: () => {
            response.destroy();
        },
    };
}

/** Converts an answer to the form that is stored for repeated requests. */
export function toRecordedAnswer(answer: WholeAnswer): RecordedAnswer {
    const copiedHeaders = Object.entries(copyAnswerHeaders(answer.headers)).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value]).map(one => [name, String(one)] as const)
    );
    return { status: answer.status, headers: copiedHeaders, body: answer.body.toString("base64") };
}

/** Converts a stored answer back. */
export function fromRecordedAnswer(recorded: RecordedAnswer): WholeAnswer {
    const copiedHeaders: Record<string, string[]> = {};
    for (const [name, value] of recorded.headers) {
        (copiedHeaders[name] ??= []).push(value);
    }
    const answerHeaders = Object.fromEntries(
        Object.entries(copiedHeaders).map(([name, values]) => [name, values.length === 1 ? values[0] : values]),
    ) as IncomingHttpHeaders;
    return { status: recorded.status, headers: answerHeaders, body: Buffer.from(recorded.body, "base64") };
}

function copyAnswerHeaders(answerHeaders: IncomingHttpHeaders): OutgoingHttpHeaders {
    const copiedHeaders: OutgoingHttpHeaders = {};
    for (const name in answerHeaders) {
        const value = answerHeaders[name];
        if (value !== undefined && !DROPPED_ANSWER_HEADERS.has(name)) {
            copiedHeaders[name] = value;
        }
    }
    return copiedHeaders;
}
