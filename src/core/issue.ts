/**
 * What a schema objects to in a value, as failures that name the place and what is allowed there.
 */
import * as z from "zod";
import { createFailure } from "./errors.js";
import type { Failure } from "./errors.js";

type Path = (string | number)[];

/** Turns an issue into failures; each unknown key is one of its own, and its place is the key itself. */
export function describeIssue(schema: z.ZodType, issue: z.core.$ZodIssue, step: string): Failure[] {
    const path: Path = issue.path.filter(part => typeof part !== "symbol");
    if (issue.code === "unrecognized_keys") {
        const allowed = listKeys(findSchema(schema, path));
        const message = allowed.length === 0 ? "unknown key" : `unknown key; allowed are ${allowed.join(", ")}`;
        return issue.keys.map(key => createFailure("invalid-input", step, message, { path: [...path, key] }));
    }
    return [createFailure("invalid-input", step, describeMessage(issue), { path })];
}

function describeMessage(issue: z.core.$ZodIssue): string {
    if (issue.code !== "invalid_union" || issue.errors.length === 0) {
        return issue.message;
    }
    const ways = issue.errors.flatMap(issues => issues[0] === undefined ? [] : describeMessage(issues[0]));
    return `${issue.message}: ${[...new Set(ways)].join("; or: ")}`;
}

/** Follows a path to the schema of the value there; `undefined` where it leads through something that branches. */
function findSchema(schema: z.core.$ZodType, path: Path): z.core.$ZodType | undefined {
    const inner = unwrap(schema);
    const [part, ...rest] = path;
    if (part === undefined) {
        return inner;
    }
    const next = inner instanceof z.ZodObject
        ? (inner.shape as Record<string, z.core.$ZodType | undefined>)[part]
        : inner instanceof z.ZodArray
        ? inner.element
        : undefined;
    return next === undefined ? undefined : findSchema(next, rest);
}

function unwrap(schema: z.core.$ZodType): z.core.$ZodType {
    const wraps = schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault;
    return wraps ? unwrap(schema.unwrap()) : schema;
}

function listKeys(schema: z.core.$ZodType | undefined): string[] {
    return schema instanceof z.ZodObject ? Object.keys(schema.shape) : [];
}
