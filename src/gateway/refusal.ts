/**
 * Answers that the gateway makes itself: each carries the outcome of the request and a reason.
 */
import type { ServerResponse } from "node:http";
import { headers } from "../platform/worker.js";

/** What is known of a request that got no answer from an upstream. */
export type Outcome = "not-run" | "unknown";

/** An answer that the gateway makes itself. */
export interface Refusal {
    readonly status: number;
    /** `not-run`: provably nothing ran, the caller may repeat the request. `unknown`: it may have run. */
    readonly outcome: Outcome;
    readonly reason: string;
    readonly message: string;
    /** The caller's connection is closed after the answer. */
    readonly close?: boolean;
}

/** Creates a refusal of a request of which nothing was sent. */
export function notRun(status: number, reason: string, message: string): Refusal {
    return { status, outcome: "not-run", reason, message };
}

/** Creates the answer to a request that may have run. */
export function unknownOutcome(status: number, reason: string, message: string): Refusal {
    return { status, outcome: "unknown", reason, message };
}

/** Writes a refusal to the caller; without effect where the caller is gone or an answer has begun. */
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
