/**
 * Port of the platform's workers: they run tasks under leases and report usage with a lag.
 *
 * Every order carries the cell and its owner's epoch. A worker refuses an epoch older than the newest it has seen for
 * the cell (`fenced`), and repeats its answer to an order that it has carried out before.
 */
import type { Result } from "true-myth/result";
import * as z from "zod";
import type { Failure } from "../core/errors.js";
import { Name } from "../core/messages/identity.js";
import { Resources } from "../rules/rule.js";

/** Identifies one attempt to run a task. */
export const Attempt = z.strictObject({ taskId: z.string().min(1), attempt: z.int().min(1) });
export type Attempt = z.infer<typeof Attempt>;

/**
 * Who gives an order. An order that names a worker's incarnation is refused (`fenced`) by any other one: a worker that
 * restarts forgets epochs, and must not take in what a former owner ordered before.
 */
export const OrderHeader = z.strictObject({
    cell: z.string(),
    owner: z.string(),
    epoch: z.int().min(0),
    workerIncarnation: z.string().optional(),
});
export type OrderHeader = z.infer<typeof OrderHeader>;

/** An order to run a task. */
export const StartOrder = z.strictObject({
    ...Attempt.shape,
    rule: Name,
    kind: z.enum(["service", "batch"]),
    resources: Resources,
    /** Where an earlier attempt had got to. */
    checkpoint: z.string().optional(),
    /** Work of a batch task, in seconds on an undisturbed worker. */
    workSeconds: z.number().min(0),
    /** The task is stopped when its lease has not been renewed for this long. */
    leaseMilliseconds: z.int().min(1),
});
export type StartOrder = z.infer<typeof StartOrder>;

/** State of an attempt on its worker. A worker keeps ended attempts until they are acknowledged. */
export const AttemptState = z.enum(["running", "checkpointing", "finished", "failed", "stopped", "lapsed"]);
export type AttemptState = z.infer<typeof AttemptState>;

/** What a worker says of one attempt. */
export const AttemptStatus = z.strictObject({
    ...Attempt.shape,
    rule: Name,
    cell: z.string(),
    state: AttemptState,
    /** Share of the work done, 0 to 1, from the start of the first attempt. */
    progress: z.number().min(0).max(1),
    checkpoint: z.string().optional(),
    /** Why it failed or was refused. */
    reason: z.string().optional(),
});
export type AttemptStatus = z.infer<typeof AttemptStatus>;

export const StartRequest = z.strictObject({ ...OrderHeader.shape, starts: z.array(StartOrder) });
export type StartRequest = z.infer<typeof StartRequest>;

/** Answer to one start: `refused` means that the attempt does not run and never will. */
export const StartAnswer = z.strictObject({
    ...Attempt.shape,
    outcome: z.enum(["started", "refused"]),
    reason: z.string().optional(),
});
export type StartAnswer = z.infer<typeof StartAnswer>;

/** Stops attempts; with `checkpoint` a task saves its state first. A worker without the attempt answers `stopped`. */
export const StopRequest = z.strictObject({
    ...OrderHeader.shape,
    stops: z.array(z.strictObject({ ...Attempt.shape, checkpoint: z.boolean(), graceMilliseconds: z.int().min(0) })),
});
export type StopRequest = z.infer<typeof StopRequest>;

/** Limits the share of its declared cores that a task may use. */
export const ThrottleRequest = z.strictObject({
    ...OrderHeader.shape,
    throttles: z.array(z.strictObject({ ...Attempt.shape, share: z.number().min(0).max(1) })),
});
export type ThrottleRequest = z.infer<typeof ThrottleRequest>;

/** Usage of one attempt at the time of the report. */
export const AttemptUsage = z.strictObject({
    ...Attempt.shape,
    rule: Name,
    kind: z.enum(["service", "batch"]),
    cores: z.number().min(0),
    memoryBytes: z.number().min(0),
    progress: z.number().min(0).max(1),
    throttleShare: z.number().min(0).max(1),
    /** Services only: requests a second and latency quantiles since the last report. */
    requestsPerSecond: z.number().min(0).optional(),
    latencyMedianMilliseconds: z.number().min(0).optional(),
    latencyTailMilliseconds: z.number().min(0).optional(),
});
export type AttemptUsage = z.infer<typeof AttemptUsage>;

/** Connections that a gateway has open to the worker's serving port. */
export const GatewayConnections = z.strictObject({ gateway: z.string(), connections: z.int().min(0) });
export type GatewayConnections = z.infer<typeof GatewayConnections>;

/** A usage report, some seconds old when it can be read. */
export const WorkerReport = z.strictObject({
    worker: Name,
    incarnation: z.string(),
    /** Milliseconds since the Unix epoch, on the worker's clock, at which usage was measured. */
    measuredAtMilliseconds: z.number(),
    usages: z.array(AttemptUsage),
    connections: z.array(GatewayConnections),
});
export type WorkerReport = z.infer<typeof WorkerReport>;

/** Renews the leases of all listed attempts and lets the worker forget ended ones. */
export const RenewRequest = z.strictObject({
    ...OrderHeader.shape,
    leaseMilliseconds: z.int().min(1),
    renewals: z.array(Attempt),
    acknowledged: z.array(Attempt),
    /** Asks for the newest usage report, if it was measured later than this; left out where none is wanted. */
    reportAfterMilliseconds: z.number().optional(),
});
export type RenewRequest = z.infer<typeof RenewRequest>;

/** All attempts of the cell that the worker knows; those not renewed are there too, so that orphans are found. */
export const RenewAnswer = z.strictObject({
    worker: Name,
    /** Differs after each restart of the worker, which ends all that ran on it. */
    incarnation: z.string(),
    /** Progress of running attempts may lag behind by a small step. */
    attempts: z.array(AttemptStatus),
    report: WorkerReport.optional(),
});
export type RenewAnswer = z.infer<typeof RenewAnswer>;

/**
 * Orders to workers, by control origin. Failures: `fenced` (a newer epoch is known), `unavailable` (certainly not
 * received), `ambiguous` or `timeout` (may have been carried out; repeat the order).
 */
export interface WorkerControl {
    start(origin: string, request: StartRequest): Promise<Result<readonly StartAnswer[], Failure>>;
    stop(origin: string, request: StopRequest): Promise<Result<readonly AttemptStatus[], Failure>>;
    throttle(origin: string, request: ThrottleRequest): Promise<Result<void, Failure>>;
    renew(origin: string, request: RenewRequest): Promise<Result<RenewAnswer, Failure>>;
}

/** Headers between gateways, callers and workers' serving ports. */
export const headers = {
    /** Service (rule) that a request is for. */
    service: "flamingowell-service",
    /** Task and attempt that a request is sent to, `TASK#ATTEMPT`; another attempt refuses it with `not-run`. */
    attempt: "flamingowell-attempt",
    /** Time by which the caller needs its answer, milliseconds since the Unix epoch. Upstreams stop work then. */
    deadline: "flamingowell-deadline",
    /** Gateway that sends, so that a worker can report connections by gateway. */
    gateway: "flamingowell-gateway",
    /** Identifies one request from a caller through all its sends. */
    requestId: "flamingowell-request-id",
    /** On answers made by the system or refusals by an upstream: `not-run` or `unknown`. */
    outcome: "flamingowell-outcome",
    /** Counter label of a refusal. */
    reason: "flamingowell-reason",
    /** Urgency of a request, 0 (first) to 9. */
    priority: "flamingowell-priority",
} as const;
