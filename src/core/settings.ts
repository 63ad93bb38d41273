/**
 * Settings files: JSON, checked by a schema before anything starts.
 */
import { readFile } from "node:fs/promises";
import { Result } from "true-myth/result";
import type { z } from "zod";
import { createFailure, describeThrown } from "./errors.js";
import type { Failure } from "./errors.js";
import { parseAll } from "./parse.js";

/** Reads and checks a settings file; each failure names the file and the place in it. */
export async function loadSettings<Schema extends z.ZodType>(
    file: string,
    schema: Schema,
): Promise<Result<z.output<Schema>, Failure[]>> {
    const step = `settings ${file}`;
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (thrown) {
        return Result.err([createFailure("not-found", step, describeThrown(thrown))]);
    }
    try {
        return parseAll(schema, JSON.parse(text), step);
    }
    catch (thrown) {
        return Result.err([createFailure("invalid-input", step, `not JSON: ${describeThrown(thrown)}`)]);
    }
}
