/**
 * Wire format of renewals: both ends name what they have told each other before by a version, and say only what differs.
 *
 * A worker gives each answer to a renewal a version of its own that it never gives again, restarts included. It stands
 * for the worker's incarnation, the order's cell, owner and epoch, the set of attempts that was renewed, and all that the
 * worker has told so far. A renewal that names the version of the last answer renews the same set without listing it; one
 * that names any other version is refused as a whole (`conflict`) and renews nothing.
 */
import * as z from "zod";
import { Attempt, AttemptStatus, AttemptUsage, GatewayConnections, OrderHeader } from "../worker.js";

/** Change of progress (0 to 1) below which a worker does not tell of a running attempt again. */
export const PROGRESS_STEP = 0.01;
/** Share by which a figure of a usage has to move to be told again. */
export const USAGE_STEP_SHARE = 0.05;

/** A renewal as it is sent. */
export const RenewOrder = z.strictObject({
    ...OrderHeader.shape,
    leaseMilliseconds: z.int().min(1),
    /** Version of the last answer; left out by an owner that wants to be told everything. */
    known: z.string().optional(),
    /** Attempts to renew; left out where they are those of the renewal that `known` answered. */
    renewals: z.array(Attempt).optional(),
    acknowledged: z.array(Attempt).optional(),
    reportAfterMilliseconds: z.number().optional(),
});
export type RenewOrder = z.infer<typeof RenewOrder>;

/** What has changed in the usage of one attempt. With a `rule` it is whole and takes the place of the former one. */
export const UsageChange = AttemptUsage.partial().required({ taskId: true, attempt: true });
export type UsageChange = z.infer<typeof UsageChange>;

/** Answer to a renewal: what differs from what `known` stands for, or everything where the order names no version. */
export const RenewNews = z.strictObject({
    version: z.string().min(1),
    /** In whole answers only. */
    worker: z.string().optional(),
    /** In whole answers only. */
    incarnation: z.string().optional(),
    attempts: z.array(AttemptStatus).optional(),
    /** Attempts that were told of and are known no more. */
    forgotten: z.array(Attempt).optional(),
    report: z.strictObject({
        measuredAtMilliseconds: z.number(),
        usages: z.array(UsageChange).optional(),
        /** Attempts that were in the last report and are not in this one. */
        ended: z.array(Attempt).optional(),
        connections: z.array(GatewayConnections).optional(),
    }).optional(),
});
export type RenewNews = z.infer<typeof RenewNews>;

/** Names an attempt in maps. */
export function keyOfAttempt({ taskId, attempt }: Attempt): string {
    return `${taskId}#${attempt}`;
}
