/**
 * Requests of callers and their answers. The same methods are used between instances.
 */
import * as z from "zod";
import { defineMethod } from "../../core/method.js";
import { JobState, Submission } from "./job.js";

/** Identifies a job of a queue. */
export const JobReference = z.object({ queue: z.string(), id: z.string() });
export type JobReference = z.infer<typeof JobReference>;

/** A job that a caller submits. */
export const SubmitRequest = JobReference.extend({ submission: Submission });
export type SubmitRequest = z.infer<typeof SubmitRequest>;

/** Answer to a job that was definitely not stored. */
export const Refusal = z.object({
    kind: z.literal("refused"),
    reason: z.string(),
    /** Suggested wait before a retry. */
    retryAfterMilliseconds: z.number(),
});
export type Refusal = z.infer<typeof Refusal>;

/** Answer to a submission: the job was stored, or was definitely not. */
export const SubmitAnswer = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("accepted"), isNew: z.boolean() }),
    Refusal,
]);
export type SubmitAnswer = z.infer<typeof SubmitAnswer>;

/** Refuses a job that is too large for the ledger, now and later. */
export const UNSTORABLE: Refusal = {
    kind: "refused",
    reason: "the job has more steps than the ledger can store",
    retryAfterMilliseconds: 60_000,
};

/** Answer about a job's state. */
export const StateAnswer = z.object({
    /** Absent if the job does not exist. */
    state: JobState.optional(),
});
export type StateAnswer = z.infer<typeof StateAnswer>;

/** Answer about a queue. */
export const PendingAnswer = z.object({ pending: z.int() });
export type PendingAnswer = z.infer<typeof PendingAnswer>;

/** Methods of a cell's owner; each takes the cell's name. Failures: `conflict` where the instance does not own the cell. */
const cellField = { cell: z.string() };
export const submitMethod = defineMethod("jobs.submit", SubmitRequest.extend(cellField), SubmitAnswer);
export const stateMethod = defineMethod("jobs.state", JobReference.extend(cellField), StateAnswer);
export const cancelMethod = defineMethod("jobs.cancel", JobReference.extend(cellField), StateAnswer);
export const pendingMethod = defineMethod("jobs.pending", z.object({ queue: z.string(), ...cellField }), PendingAnswer);

/** Asks an instance for its identity, which detects a different instance at a reused address. */
export const helloMethod = defineMethod(
    "instances.hello",
    z.object({}),
    z.object({ instance: z.string(), incarnation: z.string() }),
);

/** Sent by a successor to a former owner: the successor owns the cell in the epoch. */
export const RetireRequest = z.object({ cell: z.string(), epoch: z.int(), instance: z.string() });
export type RetireRequest = z.infer<typeof RetireRequest>;

/** Answer of a process that does not own the cell any more. */
export const Retirement = z.object({
    instance: z.string(),
    incarnation: z.string(),
    /** Newest epoch in which the process has stopped owning the cell; 0 if it has owned it in none. */
    epoch: z.int(),
    /**
     * Milliseconds until nothing that was started up to this epoch can be running, by worker. Workers that certainly run
     * nothing of it are left out.
     */
    leases: z.record(z.string(), z.number()),
});
export type Retirement = z.infer<typeof Retirement>;

/** Asks a former owner to stop. Failure: `conflict` where the process owns the cell in the same or a newer epoch. */
export const retireMethod = defineMethod("jobs.retire", RetireRequest, Retirement);
