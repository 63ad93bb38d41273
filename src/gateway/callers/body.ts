/**
 * Bodies of callers' requests, read whole before anything is sent to an upstream.
 */
import type { IncomingMessage } from "node:http";
import { Result } from "true-myth/result";
import { reasons } from "../counters.js";
import { notRun } from "../refusal.js";
import type { Refusal } from "../refusal.js";

const EMPTY = Buffer.alloc(0);

/** Limits on a body. */
export interface BodyLimits {
    readonly bodyLimitBytes: number;
    readonly bodyTimeoutMilliseconds: number;
}

/** Reads the body of a request; a caller that is too slow, sends too much or goes away gets nothing sent. */
export async function readBody(incoming: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer, Refusal>> {
    const declared = incoming.headers["content-length"];
    if (declared === undefined && incoming.headers["transfer-encoding"] === undefined) {
        return Result.ok(EMPTY);
    }
    if (declared !== undefined && Number(declared) > limits.bodyLimitBytes) {
        return Result.err(tooLarge(limits));
    }
    return collectBody(incoming, limits);
}

function collectBody(incoming: IncomingMessage, limits: BodyLimits): Promise<Result<Buffer, Refusal>> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        const finish = (result: Result<Buffer, Refusal>) => {
            clearTimeout(timer);
            incoming.removeAllListeners("data");
            resolve(result);
        };
        const timer = setTimeout(
            () => finish(Result.err(tooSlow(limits))),
            limits.bodyTimeoutMilliseconds,
        );
        incoming.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > limits.bodyLimitBytes) {
                incoming.pause();
                finish(Result.err(tooLarge(limits)));
                return;
            }
            chunks.push(chunk);
        });
        incoming.once("end", () => finish(Result.ok(chunks.length === 1 ? chunks[0] ?? EMPTY : Buffer.concat(chunks))));
        incoming.once("error", () => finish(Result.err(notRun(400, reasons.invalidRequest, "the body broke off"))));
        incoming.once("close", () => finish(Result.err(notRun(400, reasons.invalidRequest, "the body broke off"))));
    });
}

function tooLarge(limits: BodyLimits): Refusal {
    return {
        ...notRun(413, reasons.bodyTooLarge, `the body is larger than ${limits.bodyLimitBytes} bytes`),
        close: true,
    };
}

function tooSlow(limits: BodyLimits): Refusal {
    const message = `the body did not arrive within ${limits.bodyTimeoutMilliseconds} ms`;
    return { ...notRun(408, reasons.bodyTimeout, message), close: true };
}
