/**
 * Parses and prints the values in rules files: sizes, durations, dates and exclusive keys.
 */
import { MILLISECONDS_PER_DAY, MILLISECONDS_PER_SECOND } from "../core/time.js";
import type { ExclusiveKey } from "./rule.js";

const BYTES_PER_UNIT: readonly (readonly [string, number])[] = [
    ["TiB", 2 ** 40],
    ["GiB", 2 ** 30],
    ["MiB", 2 ** 20],
    ["KiB", 2 ** 10],
    ["B", 1],
];

/** Parses a size such as `4GiB` into bytes. */
export function readSize(text: string): number | undefined {
    const match = /^(\d+(?:\.\d+)?)(TiB|GiB|MiB|KiB|B)$/.exec(text);
    const factor = BYTES_PER_UNIT.find(([unit]) => unit === match?.[2])?.[1];
    const bytes = factor === undefined ? Number.NaN : Number(match?.[1]) * factor;
    return Number.isSafeInteger(bytes) ? bytes : undefined;
}

/** Prints a size in bytes in the largest unit that divides it. */
export function printSize(bytes: number): string {
    const [unit, factor] = BYTES_PER_UNIT.find(([, candidate]) => bytes % candidate === 0) ?? ["B", 1];
    return `${bytes / factor}${unit}`;
}

/** Parses a duration such as `1500ms`, `2s` or `5m` into milliseconds. */
export function readDuration(text: string): number | undefined {
    const match = /^(\d{1,9})(ms|s|m)$/.exec(text);
    const factors: Record<string, number> = { ms: 1, s: MILLISECONDS_PER_SECOND, m: 60 * MILLISECONDS_PER_SECOND };
    return match === null ? undefined : Number(match[1]) * (factors[match[2] ?? ""] ?? Number.NaN);
}

/** Prints a duration in whole seconds if possible, otherwise in milliseconds. */
export function printDuration(milliseconds: number): string {
    return milliseconds % MILLISECONDS_PER_SECOND === 0
        ? `${milliseconds / MILLISECONDS_PER_SECOND}s`
        : `${milliseconds}ms`;
}

/**
 * Parses an end time: a date (the rule ends at the end of that day, UTC) or an instant such as `2027-05-31T18:00:00Z`.
 */
export function readUntil(text: string): number | undefined {
    if (/^\d{4}-\d{2}-\d{2}$/.test(text)) {
        const start = Date.parse(`${text}T00:00:00Z`);
        const exists = !Number.isNaN(start) && new Date(start).toISOString().startsWith(text);
        return exists ? start + MILLISECONDS_PER_DAY : undefined;
    }
    if (!/^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}:\d{2}(?:\.\d{3})?Z$/.test(text)) {
        return undefined;
    }
    const instant = Date.parse(text);
    const exists = !Number.isNaN(instant) && new Date(instant).toISOString().startsWith(text.slice(0, 19));
    return exists ? instant : undefined;
}

/** Prints an end time, as a date if it is the end of a UTC day. */
export function printUntil(untilMilliseconds: number): string {
    const date = untilMilliseconds % MILLISECONDS_PER_DAY === 0
        ? new Date(untilMilliseconds - MILLISECONDS_PER_DAY).toISOString().slice(0, 10)
        : undefined;
    return date !== undefined && readUntil(date) === untilMilliseconds
        ? date
        : new Date(untilMilliseconds).toISOString();
}

/** Parses an exclusive key: `header:NAME` or `path:N`. */
export function readExclusiveKey(text: string): ExclusiveKey | undefined {
    const header = /^header:([A-Za-z0-9-]{1,80})$/.exec(text)?.[1];
    if (header !== undefined) {
        return { source: "header", name: header.toLowerCase() };
    }
    const segment = /^path:(\d{1,3})$/.exec(text)?.[1];
    return segment === undefined ? undefined : { source: "path", segment: Number(segment) };
}

/** Prints an exclusive key. */
export function printExclusiveKey(key: ExclusiveKey): string {
    return key.source === "header" ? `header:${key.name}` : `path:${key.segment}`;
}
