/**
 * Options of rules: which rule kinds accept them, and how their values are parsed.
 */
import { CronExpressionParser } from "cron-parser";
import * as z from "zod";
import { Name } from "../core/messages/identity.js";
import type { Rule } from "./rule.js";
import { readDuration, readExclusiveKey, readSize, readUntil } from "./values.js";

/** Key of `--exclusive` without a value: the first path segment after the service's name. */
export const DEFAULT_EXCLUSIVE_KEY = "path:0";

/** Rule kinds; each line starts with one. */
export const RULE_KINDS = ["service", "batch", "quota", "retire", "allow", "deny"] as const;

const MAX_COUNT = 1_000_000;
const MAX_CACHED_TEXTS = 2_000;

function wholeNumber(smallest: number, largest = MAX_COUNT) {
    return z.string()
        .regex(/^\d{1,9}$/, `use a whole number from ${smallest} to ${largest}`)
        .transform(Number)
        .refine(value => value >= smallest && value <= largest, `use a whole number from ${smallest} to ${largest}`);
}

function positiveNumber(unit: string) {
    return z.string()
        .regex(/^\d{1,9}(?:\.\d{1,6})?$/, `use a number of ${unit} above 0`)
        .transform(Number)
        .refine(value => value > 0, `use a number of ${unit} above 0`);
}

function parsedValue<Value>(read: (text: string) => Value | undefined, allowed: string) {
    return z.string().transform((text, context): Value => {
        const value = read(text);
        if (value === undefined) {
            context.addIssue({ code: "custom", message: `use ${allowed}` });
            return z.NEVER;
        }
        return value;
    });
}

const readCron = cachePassedTexts(text => {
    try {
        CronExpressionParser.parse(text, { tz: "UTC" });
        return /^\S+(?: \S+){4}$/.test(text);
    }
    catch {
        return false;
    }
});

const readTimeZone = cachePassedTexts(text => {
    try {
        new Intl.DateTimeFormat("en", { timeZone: text });
        return true;
    }
    catch {
        return false;
    }
});

/** Schemas of the options' values, by option name. */
export const optionReaders = {
    "replicas": wholeNumber(1),
    "cores": positiveNumber("cores"),
    "memory": parsedValue(
        text => (readSize(text) ?? 0) > 0 ? readSize(text) : undefined,
        "a size with its unit, such as 512MiB or 4GiB",
    ),
    "accelerators": wholeNumber(0),
    "in": z.string().transform(text => text.split(",")).pipe(z.array(Name)),
    "exclusive": parsedValue(readExclusiveKey, "header:NAME or path:N, or leave the value out"),
    "until": parsedValue(readUntil, "a date such as 2027-05-31 or a time such as 2027-05-31T18:00:00Z"),
    "feature": Name,
    "runs": wholeNumber(1),
    "schedule": parsedValue(readCron, 'a cron expression in quotes, such as "0 2 * * *"'),
    "time-zone": parsedValue(readTimeZone, "a time zone such as Europe/Helsinki"),
    "seconds": positiveNumber("seconds"),
    "tasks": wholeNumber(1),
    "retries": wholeNumber(0),
    "priority": wholeNumber(0, 9),
    "deadline": parsedValue(
        text => (readDuration(text) ?? 0) > 0 ? readDuration(text) : undefined,
        "a duration such as 800ms or 2s",
    ),
    "beside": Name,
} as const;
export type OptionName = keyof typeof optionReaders;

/** Options that each rule kind accepts. */
export const optionsOfKind: Readonly<Record<Rule["kind"], readonly OptionName[]>> = {
    service: [
        "replicas",
        "cores",
        "memory",
        "accelerators",
        "in",
        "exclusive",
        "until",
        "feature",
        "priority",
        "deadline",
    ],
    batch: [
        "cores",
        "memory",
        "accelerators",
        "in",
        "until",
        "feature",
        "runs",
        "schedule",
        "time-zone",
        "seconds",
        "tasks",
        "retries",
        "priority",
    ],
    quota: ["cores", "memory", "accelerators", "until", "feature"],
    retire: ["until"],
    allow: ["in", "until", "feature"],
    deny: ["in", "beside", "until", "feature"],
};

/** Options that each rule kind requires. */
export const requiredOptions: Readonly<Record<Rule["kind"], readonly OptionName[]>> = {
    service: ["cores", "memory"],
    batch: ["cores", "memory"],
    quota: [],
    retire: [],
    allow: ["in"],
    deny: [],
};

/** Wraps a costly check: returns the text if it passes. Texts that passed are cached, since many rules share them. */
function cachePassedTexts(check: (text: string) => boolean): (text: string) => string | undefined {
    const passed = new Set<string>();
    return text => {
        if (passed.has(text)) {
            return text;
        }
        if (!check(text)) {
            return undefined;
        }
        if (passed.size >= MAX_CACHED_TEXTS) {
            passed.clear();
        }
        passed.add(text);
        return text;
    };
}
