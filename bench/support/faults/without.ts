/**
 * Runs with one mechanism switched off, to show that the checker finds what the mechanism prevents.
 */
import * as z from "zod";
import type { PlannedFault } from "./plan.js";

/** Names of the mechanisms that can be switched off. */
export const MechanismName = z.enum([
    "exclusive-rule",
    "idempotency-key",
    "request-ids",
    "honest-refusals",
    "worker-leases",
    "checkpoints",
    "stop-orders",
    "true-sizes",
    "leaving-news",
    "graceful-stop",
    "connection-credits",
    "peer-news",
    "conflicts",
]);
export type MechanismName = z.infer<typeof MechanismName>;

/** What a run without a mechanism does otherwise. */
export interface Without {
    /** Promise that has to be found broken. */
    readonly promise: string;
    /** Faults that bring about what the mechanism prevents, in place of drawn ones. */
    readonly faults?: readonly PlannedFault[];
    /** A shorter run cannot show it. */
    readonly leastSeconds?: number;
    /** Batch work that outlasts the run. */
    readonly endlessBatch?: true;
    /** Connections that a worker really takes, where the instance list shows more. */
    readonly connections?: number;
    /** An operator whose edit conflicts with another's applies it all the same. */
    readonly conflicts?: false;
    /** The service's rule says nothing of keys. */
    readonly exclusiveRule?: false;
    /** Callers repeat bills without a key. */
    readonly idempotencyKey?: false;
    /** The instance list shows workers as this many times larger than they are. */
    readonly sizeFactor?: number;
    /** The instance list shows changes only after this. */
    readonly listLagMilliseconds?: number;
    /** Planned stops are kills. */
    readonly gracefulStop?: false;
    /** What worker stand-ins do not keep to. */
    readonly workersIgnore?: readonly string[];
}

const NO_FAULTS: readonly PlannedFault[] = [];

/** Two leases of 8 s pass before an owner gives up a worker out of reach; the rest is for the next attempt to start. */
const OUT_OF_REACH_MILLISECONDS = 30_000;

const workersOutOfReach: readonly PlannedFault[] = [
    { kind: "worker-silent", atMilliseconds: 3_000, durationMilliseconds: OUT_OF_REACH_MILLISECONDS, choice: 0 },
    { kind: "worker-orders-cut", atMilliseconds: 4_000, durationMilliseconds: OUT_OF_REACH_MILLISECONDS, choice: 0.9 },
];

/** Nobody hears of changes, and gateways that start again find the store's past. */
const newsCutOff: readonly PlannedFault[] = [
    { kind: "store-answers-from-the-past", atMilliseconds: 2_000, durationMilliseconds: 24_000, choice: 0 },
    { kind: "links-peers-silent", atMilliseconds: 2_000, durationMilliseconds: 24_000, choice: 0 },
    { kind: "gateway-killed", atMilliseconds: 14_000, durationMilliseconds: 1_000, choice: 0 },
    { kind: "gateway-killed", atMilliseconds: 14_500, durationMilliseconds: 1_000, choice: 0.5 },
    { kind: "gateway-killed", atMilliseconds: 15_000, durationMilliseconds: 1_000, choice: 0.99 },
];

const mechanisms: Record<MechanismName, Without> = {
    "exclusive-rule": { promise: "exclusive requests never overlap", exclusiveRule: false },
    "idempotency-key": { promise: "non-idempotent requests run at most once", idempotencyKey: false },
    "request-ids": { promise: "answers are whole and the caller's own", workersIgnore: ["request-ids"] },
    "honest-refusals": { promise: "not-run did not run", workersIgnore: ["refusals"] },
    "worker-leases": {
        promise: "tasks run in one place",
        workersIgnore: ["leases"],
        faults: workersOutOfReach,
        leastSeconds: 35,
        endlessBatch: true,
    },
    "checkpoints": { promise: "evicted work resumes exactly once", workersIgnore: ["checkpoints"] },
    "stop-orders": {
        promise: "no forgotten job keeps running",
        workersIgnore: ["stops", "leases"],
        faults: NO_FAULTS,
        leastSeconds: 50,
    },
    "true-sizes": { promise: "no instance overloaded", sizeFactor: 8 },
    "leaving-news": { promise: "no work for leaving upstreams", listLagMilliseconds: 600_000 },
    "graceful-stop": { promise: "planned stops cut off no request", gracefulStop: false },
    "connection-credits": { promise: "no instance overloaded", connections: 2, faults: NO_FAULTS },
    "peer-news": { promise: "configuration in force in time, never reverted", faults: newsCutOff, leastSeconds: 25 },
    "conflicts": { promise: "no operator's edit is lost", conflicts: false, faults: NO_FAULTS },
};

/** Gives what a run brings about to see the mechanism at work: the faults of the run without it, and nothing switched off. */
export function readDirected(name: unknown): Without | undefined {
    const without = readWithout(name);
    if (without === undefined) {
        return undefined;
    }
    const { promise, faults, leastSeconds, endlessBatch } = without;
    return {
        promise,
        ...(faults === undefined ? {} : { faults }),
        ...(leastSeconds === undefined ? {} : { leastSeconds }),
        ...(endlessBatch === undefined ? {} : { endlessBatch }),
    };
}

/** Reads the name of a mechanism; nothing is switched off without one. */
export function readWithout(name: unknown): Without | undefined {
    return name === undefined ? undefined : mechanisms[MechanismName.parse(name)];
}
