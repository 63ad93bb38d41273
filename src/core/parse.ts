/**
 * Checks of outside data against schemas, with failures that name the place of each bad value.
 */
import { Result } from "true-myth/result";
import type { z } from "zod";
import { createFailure } from "./errors.js";
import type { Failure } from "./errors.js";
import { describeIssue } from "./issue.js";

/** Checks a value against a schema; gives a failure for each bad place. */
export function parseAll<Schema extends z.ZodType>(
    schema: Schema,
    value: unknown,
    step: string,
): Result<z.output<Schema>, Failure[]> {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return Result.ok(parsed.data);
    }
    return Result.err(parsed.error.issues.flatMap(issue => describeIssue(schema, issue, step)));
}

/** Checks a value against a schema; gives the first failure, with a count of the others. */
export function parse<Schema extends z.ZodType>(
    schema: Schema,
    value: unknown,
    step: string,
): Result<z.output<Schema>, Failure> {
    return parseAll(schema, value, step).mapErr(failures => {
        const [first = createFailure("invalid-input", step, "value is not valid")] = failures;
        const others = failures.length > 1 ? ` (and ${failures.length - 1} more)` : "";
        return { ...first, message: first.message + others };
    });
}

/** Parses JSON text and checks it against a schema. */
export function parseJson<Schema extends z.ZodType>(
    schema: Schema,
    text: string,
    step: string,
): Result<z.output<Schema>, Failure> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch (thrown) {
        return Result.err(createFailure("invalid-input", step, `not JSON: ${(thrown as Error).message}`));
    }
    return parse(schema, value, step);
}
