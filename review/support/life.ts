/**
 * State of one incarnation of a stand-in worker.
 */
import type { Run } from "./worker.js";

/** An end that is not acknowledged yet. */
export interface End {
    readonly sequence: number;
    readonly run: Run;
}

/** A run that goes on. */
export interface ActiveRun {
    readonly run: Run;
    readonly timer: NodeJS.Timeout | undefined;
    /** Absent for a task that lasts. */
    readonly milliseconds: number | undefined;
    /** Tells the gang, if the task belongs to one. */
    readonly leave: () => void;
}

/** One incarnation of a worker. */
export interface Life {
    readonly born: number;
    readonly startedAt: number;
    readonly known: Map<string, number>;
    readonly active: Map<string, ActiveRun>;
    ends: End[];
    sequence: number;
    fence: number;
    leaseUntil: number;
}

/** Starts a life that knows nothing. */
export function createLife(): Life {
    return {
        born: Date.now(),
        startedAt: performance.now(),
        known: new Map(),
        active: new Map(),
        ends: [],
        sequence: 0,
        fence: 0,
        leaseUntil: 0,
    };
}

/** Percentage of the work; a task that lasts is at work. */
export function percentOf({ startedAt }: Run, milliseconds: number | undefined): number {
    return milliseconds === undefined
        ? 100
        : Math.min(99, Math.floor(100 * (performance.now() - startedAt) / milliseconds));
}
