/**
 * Worker adapter: orders are JSON posts to the worker's control origin.
 */
import { Agent } from "undici";
import { z } from "zod";
import { AttemptStatus, RenewAnswer, StartAnswer, WorkerReport } from "../worker.js";
import type { WorkerControl } from "../worker.js";
import { callJson } from "./calls.js";

/** Paths of the orders on a worker's control origin. */
export const workerPaths = {
    start: "/v1/start",
    stop: "/v1/stop",
    throttle: "/v1/throttle",
    renew: "/v1/renew",
    report: "/v1/report",
} as const;

/** Options of the adapter. */
export interface WorkerControlOptions {
    readonly timeoutMilliseconds: number;
}

/** Creates the adapter. */
export function createWorkerControl(options: WorkerControlOptions): WorkerControl {
    const dispatcher = new Agent({ connections: 2 });
    const call = <Schema extends z.ZodType>(url: string, schema: Schema, body?: unknown) =>
        callJson({ url, body, schema, timeoutMilliseconds: options.timeoutMilliseconds, dispatcher });
    return {
        start: (origin, order) => call(origin + workerPaths.start, z.array(StartAnswer), order),
        stop: (origin, order) => call(origin + workerPaths.stop, z.array(AttemptStatus), order),
        throttle: async (origin, order) =>
            (await call(origin + workerPaths.throttle, z.unknown(), order)).map(() => undefined),
        renew: (origin, order) => call(origin + workerPaths.renew, RenewAnswer, order),
        report: origin => call(origin + workerPaths.report, WorkerReport),
    };
}
