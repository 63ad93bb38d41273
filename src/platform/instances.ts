/**
 * Port of the platform's instance list: live and leaving instances, lagging behind what is true.
 */
import type { Result } from "true-myth/result";
import * as z from "zod";
import type { Failure } from "../core/errors.js";
import { Name, Origin } from "../core/messages/identity.js";

/** What a worker holds when nothing runs on it. */
export const WorkerShape = z.strictObject({
    slots: z.int().min(1),
    cores: z.number().positive(),
    memoryBytes: z.int().positive(),
    accelerators: z.int().min(0),
    connections: z.int().min(1),
});
export type WorkerShape = z.infer<typeof WorkerShape>;

const located = {
    name: Name,
    dataCentre: Name,
    state: z.enum(["live", "leaving"]),
};

/** An instance that runs tasks. */
export const WorkerInstance = z.strictObject({
    kind: z.literal("worker"),
    ...located,
    /** Rack within the data centre, from 0. */
    rack: z.int().min(0),
    shape: WorkerShape,
    /** Where the worker takes orders. */
    controlOrigin: Origin,
    /** Where its tasks serve callers' requests. */
    serveOrigin: Origin,
});
export type WorkerInstance = z.infer<typeof WorkerInstance>;

/** An instance that runs the system itself. */
export const EntryInstance = z.strictObject({
    kind: z.literal("entry"),
    ...located,
    gatewayOrigin: Origin,
    schedulerOrigin: Origin,
});
export type EntryInstance = z.infer<typeof EntryInstance>;

export const PlatformInstance = z.discriminatedUnion("kind", [WorkerInstance, EntryInstance]);
export type PlatformInstance = z.infer<typeof PlatformInstance>;

/** The instance list. */
export interface InstanceList {
    /** Reads the whole list; fails with `unavailable`, `timeout` or `internal`. */
    list(): Promise<Result<readonly PlatformInstance[], Failure>>;
}
