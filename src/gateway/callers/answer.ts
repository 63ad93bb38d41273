/**
 * Answers of upstreams on their way to callers.
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

/** A whole answer. */
export interface WholeAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Writes a whole answer to the caller. */
export function writeAnswer(response: ServerResponse, answer: WholeAnswer, method: string, requestId: string): void {
    if (response.destroyed) {
        return;
    }
    const kept = copyAnswerHeaders(answer.headers);
    kept[headers.requestId] = requestId;
    if (method !== "HEAD" && !STATUSES_WITHOUT_BODY.has(answer.status)) {
        kept["content-length"] = answer.body.length;
    }
    response.writeHead(answer.status, kept);
    response.end(answer.body);
}

/** Creates the sink that streams a large answer to the caller. */
export function createAnswerSink(response: ServerResponse, requestId: string): AnswerSink {
    let resume: (() => void) | undefined;
    const resumeReading = () => {
        // Going on may bring the next part, and with it the next wait.
        const current = resume;
        resume = undefined;
        current?.();
    };
    return {
        begin: (status, answerHeaders) => {
            response.on("drain", resumeReading);
            // A caller that goes away never drains; what is left is read and dropped.
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

/** Turns an answer into what is kept for repeats. */
export function toRecordedAnswer(answer: WholeAnswer): RecordedAnswer {
    const kept = Object.entries(copyAnswerHeaders(answer.headers)).flatMap(([name, value]) =>
        (Array.isArray(value) ? value : [value]).map(one => [name, String(one)] as const)
    );
    return { status: answer.status, headers: kept, body: answer.body.toString("base64") };
}

/** Turns a kept answer back. */
export function fromRecordedAnswer(recorded: RecordedAnswer): WholeAnswer {
    const kept: Record<string, string[]> = {};
    for (const [name, value] of recorded.headers) {
        (kept[name] ??= []).push(value);
    }
    const answerHeaders = Object.fromEntries(
        Object.entries(kept).map(([name, values]) => [name, values.length === 1 ? values[0] : values]),
    ) as IncomingHttpHeaders;
    return { status: recorded.status, headers: answerHeaders, body: Buffer.from(recorded.body, "base64") };
}

function copyAnswerHeaders(answerHeaders: IncomingHttpHeaders): OutgoingHttpHeaders {
    const kept: OutgoingHttpHeaders = {};
    for (const name in answerHeaders) {
        const value = answerHeaders[name];
        if (value !== undefined && !DROPPED_ANSWER_HEADERS.has(name)) {
            kept[name] = value;
        }
    }
    return kept;
}
