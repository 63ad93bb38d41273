/**
 * Worker adapter: orders are JSON posts to the worker's control origin.
 */
import { Agent } from "undici";
import * as z from "zod";
import { AttemptStatus, StartAnswer } from "../worker.js";
import type { WorkerControl } from "../worker.js";
import { callJson } from "./calls.js";
import { RenewNews } from "./renewal.js";
import { createRenewals } from "./renewals.js";

/** Paths of the orders on a worker's control origin. */
export const workerPaths = {
    start: "/v1/start",
    stop: "/v1/stop",
    throttle: "/v1/throttle",
    renew: "/v1/renew",
} as const;

const KEEP_ALIVE_MILLISECONDS = 60_000;

/** Options of the adapter. */
export interface WorkerControlOptions {
    readonly timeoutMilliseconds: number;
}

/** Creates the adapter. */
export function createWorkerControl(options: WorkerControlOptions): WorkerControl {
    // Connections outlast the time between two renewals.
    const dispatcher = new Agent({ connections: 2, keepAliveTimeout: KEEP_ALIVE_MILLISECONDS });
    const call = <Schema extends z.ZodType>(url: string, schema: Schema, body: unknown) =>
        callJson({ url, body, schema, timeoutMilliseconds: options.timeoutMilliseconds, dispatcher });
    return {
        start: (origin, order) => call(origin + workerPaths.start, z.array(StartAnswer), order),
        stop: (origin, order) => call(origin + workerPaths.stop, z.array(AttemptStatus), order),
        throttle: async (origin, order) =>
            (await call(origin + workerPaths.throttle, z.unknown(), order)).map(() => undefined),
        renew: createRenewals((origin, order) => call(origin + workerPaths.renew, RenewNews, order)),
    };
}
