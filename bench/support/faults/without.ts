/**
 * Runs with one mechanism switched off, to show that the checker finds what the mechanism prevents.
 */
import { z } from "zod";

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
]);
export type MechanismName = z.infer<typeof MechanismName>;

/** What a run without a mechanism does otherwise. */
export interface Without {
    /** Promise that has to be found broken. */
    readonly promise: string;
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

const mechanisms: Record<MechanismName, Without> = {
    "exclusive-rule": { promise: "exclusive requests never overlap", exclusiveRule: false },
    "idempotency-key": { promise: "non-idempotent requests run at most once", idempotencyKey: false },
    "request-ids": { promise: "answers are whole and the caller's own", workersIgnore: ["request-ids"] },
    "honest-refusals": { promise: "not-run did not run", workersIgnore: ["refusals"] },
    "worker-leases": { promise: "tasks run in one place", workersIgnore: ["leases"] },
    "checkpoints": { promise: "evicted work resumes exactly once", workersIgnore: ["checkpoints"] },
    "stop-orders": { promise: "no forgotten job keeps running", workersIgnore: ["stops"] },
    "true-sizes": { promise: "no instance overloaded", sizeFactor: 8 },
    "leaving-news": { promise: "no work for leaving upstreams", listLagMilliseconds: 600_000 },
    "graceful-stop": { promise: "planned stops cut off no request", gracefulStop: false },
};

/** Reads the name of a mechanism; nothing is switched off without one. */
export function readWithout(name: unknown): Without | undefined {
    return name === undefined ? undefined : mechanisms[MechanismName.parse(name)];
}
