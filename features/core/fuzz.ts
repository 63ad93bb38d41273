/**
 * Valid data with one place spoilt, for tests of what is said about bad input.
 */
import fastCheck from "fast-check";

/** One change to a document. */
export interface Spoiling {
    readonly document: unknown;
    /** Where the document differs from the valid one. */
    readonly path: readonly (string | number)[];
}

/** Replaces or removes a value anywhere in a document, or adds a key that no schema knows. */
export function spoil(valid: unknown): fastCheck.Arbitrary<Spoiling> {
    const places = listPlaces(valid, []);
    const objects = [[], ...places].filter(path => isObject(readPlace(valid, path)));
    const replaced = fastCheck.record({ path: fastCheck.constantFrom(...places), value: fastCheck.jsonValue() })
        .map(({ path, value }) => ({ path, document: writePlace(valid, path, value) }));
    const removed = fastCheck.constantFrom(...places)
        .map(path => ({ path, document: writePlace(valid, path, undefined) }));
    const added = fastCheck.constantFrom(...objects)
        .map(path => [...path, "unheardOf"])
        .map(path => ({ path, document: writePlace(valid, path, 1) }));
    return fastCheck.oneof(replaced, removed, added);
}

/** Tells whether one path leads to a place inside the other's, or to the same. */
export function areRelated(left: readonly (string | number)[], right: readonly (string | number)[]): boolean {
    const common = Math.min(left.length, right.length);
    return left.slice(0, common).every((part, index) => String(part) === String(right[index]));
}

function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function listPlaces(value: unknown, path: readonly (string | number)[]): (string | number)[][] {
    if (typeof value !== "object" || value === null) {
        return [];
    }
    return Object.entries(value).flatMap(([key, inner]) => [[...path, key], ...listPlaces(inner, [...path, key])]);
}

function readPlace(value: unknown, path: readonly (string | number)[]): unknown {
    return path.reduce<unknown>((inner, part) => (inner as Record<string | number, unknown>)[part], value);
}

function writePlace(value: unknown, path: readonly (string | number)[], written: unknown): unknown {
    const copy = structuredClone(value);
    const holder = readPlace(copy, path.slice(0, -1)) as Record<string | number, unknown>;
    const key = path.at(-1) ?? "";
    if (written === undefined) {
        Reflect.deleteProperty(holder, key);
    }
    else {
        Object.defineProperty(holder, key, { value: written, enumerable: true, configurable: true, writable: true });
    }
    return copy;
}
