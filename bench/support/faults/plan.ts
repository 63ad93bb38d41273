/**
 * The faults of one run, drawn from its seed.
 */
import type { Random } from "../../../src/core/random.js";

/** The kinds of faults, after the brief's list of what fails. */
export const faultKinds = [
    "store-down",
    "store-hangs",
    "store-slow",
    "store-loses-answers",
    "store-reads-stale",
    "store-watches-break",
    "list-down",
    "list-lags",
    "gateway-killed",
    "scheduler-killed",
    "gateway-paused",
    "scheduler-paused",
    "gateway-stopped",
    "scheduler-stopped",
    "worker-leaving",
    "worker-refuses-and-leaves",
    "worker-restarts",
    "worker-silent",
    "worker-orders-cut",
    "worker-loses-order-answers",
    "worker-fails-starts",
    "worker-slow",
    "answers-truncated",
    "answers-dropped",
    "answers-crossed",
    "links-cut",
    "links-silent",
    "links-one-way",
    "links-delayed",
    "links-drop-answers",
] as const;

/** Kinds beyond what the brief promises to survive; only runs without a mechanism bring them about. */
export type DirectedKind = "store-answers-from-the-past" | "links-peers-silent";
export type FaultKind = typeof faultKinds[number] | DirectedKind;

/** One fault with its time, from the start of the traffic. */
export interface PlannedFault {
    readonly kind: FaultKind;
    readonly atMilliseconds: number;
    readonly durationMilliseconds: number;
    /** Chooses the target: a number from 0 to 1. */
    readonly choice: number;
}

const SHORTEST_MILLISECONDS = 1_000;
const LONGEST_MILLISECONDS = 7_000;
/** Lease of workers in fault runs: shorter than by default, so that it lapses within a run. */
export const WORKER_LEASE_MILLISECONDS = 8_000;
/** A leave is long enough to be judged. */
const LEAVE_MILLISECONDS = 9_000;
/** The list is never away for so long that nobody could know of a leaving worker in time. */
const LONGEST_LIST_OUTAGE_MILLISECONDS = 2_000;
const MEAN_GAP_MILLISECONDS = 1_300;
const FIRST_AT_MILLISECONDS = 1_000;

/** Each run has one of these, so that its promises are put to the test. */
const alwaysPresent: readonly FaultKind[] = [
    "worker-leaving",
    "gateway-stopped",
    "gateway-killed",
    "scheduler-killed",
    "store-down",
    "answers-truncated",
    "links-silent",
    "worker-silent",
];

/** Draws the faults; several may be in force at once, also twice of a kind. */
export function planFaults(random: Random, durationMilliseconds: number): PlannedFault[] {
    const faults = alwaysPresent.map(kind => {
        const share = random() * 0.6;
        return createFault(kind, FIRST_AT_MILLISECONDS + share * durationMilliseconds, random);
    });
    let at = FIRST_AT_MILLISECONDS;
    while (at < durationMilliseconds * 0.9) {
        const kind = faultKinds[Math.floor(random() * faultKinds.length)] ?? "links-cut";
        faults.push(createFault(kind, at, random));
        at += -Math.log(1 - random()) * MEAN_GAP_MILLISECONDS;
    }
    return faults.sort((left, right) => left.atMilliseconds - right.atMilliseconds);
}

function createFault(kind: FaultKind, atMilliseconds: number, random: Random): PlannedFault {
    const drawn = SHORTEST_MILLISECONDS + random() * (LONGEST_MILLISECONDS - SHORTEST_MILLISECONDS);
    return { kind, atMilliseconds, durationMilliseconds: limitDuration(kind, drawn), choice: random() };
}

function limitDuration(kind: FaultKind, drawn: number): number {
    switch (kind) {
        case "worker-leaving":
        case "worker-refuses-and-leaves":
            return LEAVE_MILLISECONDS;
        case "worker-silent":
        case "worker-orders-cut":
            // Workers are out of reach for longer than the leases of what they run.
            return drawn + WORKER_LEASE_MILLISECONDS;
        case "list-down":
        case "list-lags":
            return Math.min(drawn, LONGEST_LIST_OUTAGE_MILLISECONDS);
        default:
            return drawn;
    }
}
