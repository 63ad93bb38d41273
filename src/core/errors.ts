/**
 * Failures as data: what went wrong, at which step, with which peer, and where in the input.
 */
import { Result } from "true-myth/result";
import * as z from "zod";

/** The kinds of failure that callers of a function may need to tell apart. */
export const FailureCode = z.enum([
    "invalid-input",
    "not-found",
    "conflict",
    "unavailable",
    "timeout",
    "ambiguous",
    "refused",
    "unauthorized",
    "fenced",
    "internal",
]);
export type FailureCode = z.infer<typeof FailureCode>;

/** One failure. `path` leads to the offending value in the input, where there is one. */
export const Failure = z.object({
    code: FailureCode,
    step: z.string(),
    peer: z.string().optional(),
    path: z.array(z.union([z.string(), z.number()])).optional(),
    message: z.string(),
    /** What else is known of the cause: nothing listens at the peer's address. */
    cause: z.literal("connection-refused").optional(),
});
export type Failure = z.infer<typeof Failure>;

/** What else is known of a failure besides its code, step and message. */
export interface FailureDetails {
    readonly peer?: string;
    readonly path?: (string | number)[];
    readonly cause?: "connection-refused";
}

/** Creates a failure. */
export function createFailure(code: FailureCode, step: string, message: string, details: FailureDetails = {}): Failure {
    return { code, step, message, ...details };
}

/** Creates a failed result in one go. */
export function fail<Value>(
    code: FailureCode,
    step: string,
    message: string,
    details: FailureDetails = {},
): Result<Value, Failure> {
    return Result.err(createFailure(code, step, message, details));
}

/** Formats a failure as one line for people. */
export function formatFailure(failure: Failure): string {
    const peer = failure.peer === undefined ? "" : ` (${failure.peer})`;
    const path = failure.path === undefined || failure.path.length === 0 ? "" : ` at ${failure.path.join(".")}`;
    return `${failure.step}${peer}: ${failure.message}${path} [${failure.code}]`;
}

/** Reads the message of whatever was thrown. */
export function describeThrown(thrown: unknown): string {
    if (thrown instanceof AggregateError && thrown.message === "") {
        return thrown.errors.map(describeThrown).join("; ");
    }
    return thrown instanceof Error ? thrown.message : String(thrown);
}
