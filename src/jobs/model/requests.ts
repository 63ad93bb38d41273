/**
 * What callers ask for, and what they are answered; also spoken between instances.
 */
import * as z from "zod";
import { defineMethod } from "../../core/method.js";
import { JobState, Submission } from "./job.js";

/** A job of a queue. */
export const JobReference = z.object({ queue: z.string(), id: z.string() });
export type JobReference = z.infer<typeof JobReference>;

/** A job that a caller submits. */
export const SubmitRequest = JobReference.extend({ submission: Submission });
export type SubmitRequest = z.infer<typeof SubmitRequest>;

/** Answer to a submission: stored, or certainly not. */
export const SubmitAnswer = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("accepted"), isNew: z.boolean() }),
    z.object({
        kind: z.literal("refused"),
        reason: z.string(),
        /** When it is worth trying again. */
        retryAfterMilliseconds: z.number(),
    }),
]);
export type SubmitAnswer = z.infer<typeof SubmitAnswer>;

/** Answer about a job's state. */
export const StateAnswer = z.object({
    /** Absent where there is no such job. */
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

/** Asks an instance who it is, so that one at a reused address is not taken for another. */
export const helloMethod = defineMethod(
    "instances.hello",
    z.object({}),
    z.object({ instance: z.string(), incarnation: z.string() }),
);
