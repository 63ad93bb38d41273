/**
 * Answers that the gateway creates itself, with the outcome of the request and a reason.
 */
import type { ServerResponse } from "node:http";
import { headers } from "../platform/worker.js";

/** Outcome of a request without an answer from an upstream. */
export type Outcome = "not-run" | "unknown";

/** Answer that the gateway creates itself. */
export interface Refusal {
    readonly status: number;
    /** `not-run`: provably nothing ran, the caller may repeat the request. `unknown`: it may have run. */
    readonly outcome: Outcome;
    readonly reason: string;
    readonly message: string;
    /** Whether to close the caller's connection after the answer. */
    readonly close?: boolean;
}

/** Creates a refusal of a request that provably did not run. */
export function notRun(status: number, reason: string, message: string): Refusal {
    return { status, outcome: "not-run", reason, message };
}

/** Creates the answer to a request that may have run. */
export function unknownOutcome(status: number, reason: string, message: string): Refusal {
    return { status, outcome: "unknown", reason, message };
}

/** Writes a refusal to the caller; closes the connection where an answer has been started. */
export function writeRefusal(response: ServerResponse, refusal: Refusal): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const body = Buffer.from(JSON.stringify({ error: refusal.reason, message: refusal.message }) + "\n");
    response.writeHead(refusal.status, {
        "content-type": "application/json",
        "content-length": body.length,
        [headers.outcome]: refusal.outcome,
        [headers.reason]: refusal.reason,
        ...(refusal.close === true ? { connection: "close" } : {}),
    });
    response.end(body);
}
