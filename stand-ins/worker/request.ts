/**
 * Callers' requests as a worker reads them.
 */
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { headers } from "../../src/platform/worker.js";

const NO_DEADLINE = Number.MAX_SAFE_INTEGER;

/** What a worker needs to know of a request. */
export interface RequestFacts {
    readonly service: string;
    readonly call: string;
    readonly requestId: string;
    readonly path: string;
    /** Milliseconds since the Unix epoch. */
    readonly deadline: number;
}

/** Reads the facts; what is missing is empty, a missing or bad deadline never comes. */
export function readFacts(request: IncomingMessage): RequestFacts {
    const url = new URL(request.url ?? "/", "http://worker");
    const deadline = Number(readHeader(request, headers.deadline) || NO_DEADLINE);
    return {
        service: readHeader(request, headers.service),
        call: url.searchParams.get("call") ?? "",
        requestId: readHeader(request, headers.requestId),
        path: url.pathname,
        deadline: Number.isFinite(deadline) ? deadline : NO_DEADLINE,
    };
}

/** Reads one header; empty where it is missing. */
export function readHeader(request: IncomingMessage, name: string): string {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(",") : value ?? "";
}

/** Reads the whole body. */
export async function readAll(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    await once(request, "end");
    return Buffer.concat(chunks);
}
