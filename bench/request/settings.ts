/**
 * Settings of the processes that benches of the request path run.
 */
import * as z from "zod";
import { RequestSettings } from "../../src/gateway/settings.js";

/** Upstreams with a scheduler that routes to them and leases their connections. */
export const UpstreamsSettings = z.strictObject({
    upstreams: z.int().min(1),
    connections: z.int().min(1),
    answerBytes: z.int().min(0),
    /** Requests that one upstream works on at once; the others wait there. */
    parallel: z.int().min(1),
    /** Time of one request's work; 0 answers at once. */
    workMilliseconds: z.number().min(0),
});
export type UpstreamsSettings = z.infer<typeof UpstreamsSettings>;

/** A gateway whose configuration and membership are fixed. */
export const BenchGatewaySettings = z.strictObject({
    instance: z.string(),
    schedulers: z.array(z.string()),
    /** Platform that the guards of exclusive and keyed requests work with; without one they are left out. */
    platform: z.strictObject({ store: z.string(), instances: z.string() }).optional(),
    request: RequestSettings,
    /** What stands before the gateway's handler on the callers' port. */
    surface: z.enum(["plain", "express"]),
});
export type BenchGatewaySettings = z.infer<typeof BenchGatewaySettings>;

/** The plain forwarder that gateways are compared with. */
export const ForwarderSettings = z.strictObject({ upstreams: z.array(z.string()).min(1) });
export type ForwarderSettings = z.infer<typeof ForwarderSettings>;

/** Token of the bench's processes. */
export const BENCH_PEER_TOKEN = "bench-peer-token";

/** Path at which the bench's gateways tell whether they take callers. */
export const READY_PATH = "/ready";
