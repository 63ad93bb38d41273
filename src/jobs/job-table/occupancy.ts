/**
 * Tracks the attempts that may be running on each worker and the capacity they use.
 */
import type { JobStep } from "../model/job.js";
import { addSize, ZERO_SIZE } from "../model/size.js";
import type { Size } from "../model/size.js";
import { isSuspect } from "../policy/crashes.js";
import type { Attempt } from "./task.js";

/** Attempts on a worker and the capacity they use. */
export interface WorkerLoad {
    readonly attempts: Attempt[];
    /** Those of the attempts whose tasks were suspects of a crash when they were added. */
    readonly suspects: Attempt[];
    /** Capacity in use; the cores of fillers are not counted. */
    used: Size;
    /** Sum of the cores that fillers request, in thousandths of a core. */
    fillerMillicores: number;
    /** Cores reserved for serving tasks, in thousandths of a core. */
    servingMillicores: number;
    servingCount: number;
    /** Number of attempts that were added or removed so far. */
    changes: number;
}

/** Attempts on the workers of a cell. */
export interface Occupancy {
    /** Returns the load of a worker. The object is live: it is updated by `add` and `remove`. */
    load(worker: string): Readonly<WorkerLoad>;
    add(attempt: Attempt): void;
    remove(attempt: Attempt): void;
}

/** Returns the capacity that a task reserves on its worker; the cores of a filler are not counted. */
export function reservedSize({ size, isFiller }: JobStep): Size {
    return isFiller ? { ...size, millicores: 0 } : size;
}

/** Whether the tasks of a step serve requests and have a latency objective. */
export function isServing({ latencyObjectiveMilliseconds }: JobStep): boolean {
    return latencyObjectiveMilliseconds > 0;
}

/** Creates an empty occupancy. */
export function createOccupancy(): Occupancy {
    const loads = new Map<string, WorkerLoad>();
    const loadOf = (worker: string): WorkerLoad => {
        const found = loads.get(worker);
        if (found !== undefined) {
            return found;
        }
        const load = createLoad();
        loads.set(worker, load);
        return load;
    };
    return {
        load: loadOf,
        add(attempt) {
            addToLoad(loadOf(attempt.worker), attempt);
        },
        remove(attempt) {
            const load = loadOf(attempt.worker);
            if (removeFrom(load.attempts, attempt)) {
                removeFrom(load.suspects, attempt);
                countStep(load, attempt.task.step, -1);
            }
        },
    };
}

function createLoad(): WorkerLoad {
    return {
        attempts: [],
        suspects: [],
        used: ZERO_SIZE,
        fillerMillicores: 0,
        servingMillicores: 0,
        servingCount: 0,
        changes: 0,
    };
}

/** Copies a load, so that attempts can be added to the copy without any effect on the worker's. */
export function copyLoad(load: Readonly<WorkerLoad>): WorkerLoad {
    return { ...load, attempts: [...load.attempts], suspects: [...load.suspects] };
}

/** Adds an attempt to a load. */
export function addToLoad(load: WorkerLoad, attempt: Attempt): void {
    load.attempts.push(attempt);
    if (isSuspect(attempt.task)) {
        load.suspects.push(attempt);
    }
    countStep(load, attempt.task.step, 1);
}

function removeFrom(attempts: Attempt[], attempt: Attempt): boolean {
    const index = attempts.indexOf(attempt);
    if (index >= 0) {
        attempts.splice(index, 1);
    }
    return index >= 0;
}

function countStep(load: WorkerLoad, step: JobStep, sign: 1 | -1): void {
    load.changes += 1;
    load.used = addSize(load.used, reservedSize(step), sign);
    if (step.isFiller) {
        load.fillerMillicores += sign * step.size.millicores;
    }
    if (isServing(step)) {
        load.servingMillicores += sign * step.size.millicores;
        load.servingCount += sign;
    }
}
