/**
 * Mix of calls: plain ones, calls of an exclusive service, and calls under an idempotency key.
 */
import type { Random } from "../../src/core/random.js";
import { EXCLUSIVE_SERVICE, SERVICE } from "./sources.js";

const EXCLUSIVE_SHARE = 0.1;
const KEYED_SHARE = 0.1;
/** Keys of exclusive calls; enough that callers seldom wait for each other. */
const EXCLUSIVE_KEYS = 100_000;

/** What is special about a call. */
export const callKinds = ["plain", "exclusive", "keyed"] as const;
export type CallKind = typeof callKinds[number];

/** The mix in words. */
export const mixDescription =
    `${100 * (1 - EXCLUSIVE_SHARE - KEYED_SHARE)} % plain GET, ${100 * EXCLUSIVE_SHARE} % GET of an exclusive service, `
    + `${100 * KEYED_SHARE} % POST under a new idempotency key`;

/** One call, without the origin. */
export interface Call {
    readonly kind: CallKind;
    readonly method: "GET" | "POST";
    readonly service: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | undefined;
}

/** Draws a call; its number differs from those of all other calls of the run. */
export function drawCall(random: Random, number: number): Call {
    const share = random();
    if (share < EXCLUSIVE_SHARE) {
        const key = Math.floor(random() * EXCLUSIVE_KEYS);
        return { ...PLAIN, kind: "exclusive", service: EXCLUSIVE_SERVICE, path: `/kits/${key}` };
    }
    if (share < EXCLUSIVE_SHARE + KEYED_SHARE) {
        const headers = { "idempotency-key": `bill-${number}` };
        return { ...PLAIN, kind: "keyed", method: "POST", headers, body: `{"bill":${number}}` };
    }
    return PLAIN;
}

const PLAIN: Call = {
    kind: "plain",
    method: "GET",
    service: SERVICE,
    path: "/kits/17",
    headers: {},
    body: undefined,
};
