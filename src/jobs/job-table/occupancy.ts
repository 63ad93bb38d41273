/**
 * What runs, or may run, on each worker, and the room that it takes up.
 */
import type { JobStep } from "../model/job.js";
import { addSize, ZERO_SIZE } from "../model/size.js";
import type { Size } from "../model/size.js";
import type { Attempt } from "./task.js";

/** What the attempts on a worker take up. */
export interface WorkerLoad {
    readonly attempts: Attempt[];
    /** Room of the worker's capacity that is taken; the cores of fillers are not counted. */
    used: Size;
    /** Thousandths of a core that fillers could use. */
    fillerMillicores: number;
    /** Thousandths of a core that are kept for tasks that serve. */
    servingMillicores: number;
    servingCount: number;
}

/** Attempts on the workers of a cell. */
export interface Occupancy {
    /** The load of a worker; the same object follows all changes. */
    load(worker: string): Readonly<WorkerLoad>;
    add(attempt: Attempt): void;
    remove(attempt: Attempt): void;
}

/** Room that a task takes up; the cores of a filler are not counted. */
export function reservedSize({ size, isFiller }: JobStep): Size {
    return isFiller ? { ...size, millicores: 0 } : size;
}

/** Whether a task of the step serves users of its own within a latency objective. */
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
        const load = { attempts: [], used: ZERO_SIZE, fillerMillicores: 0, servingMillicores: 0, servingCount: 0 };
        loads.set(worker, load);
        return load;
    };
    return {
        load: loadOf,
        add(attempt) {
            const load = loadOf(attempt.worker);
            load.attempts.push(attempt);
            addToLoad(load, attempt.task.step, 1);
        },
        remove(attempt) {
            const load = loadOf(attempt.worker);
            const index = load.attempts.indexOf(attempt);
            if (index >= 0) {
                load.attempts.splice(index, 1);
                addToLoad(load, attempt.task.step, -1);
            }
        },
    };
}

function addToLoad(load: WorkerLoad, step: JobStep, sign: 1 | -1): void {
    load.used = addSize(load.used, reservedSize(step), sign);
    if (step.isFiller) {
        load.fillerMillicores += sign * step.size.millicores;
    }
    if (isServing(step)) {
        load.servingMillicores += sign * step.size.millicores;
        load.servingCount += sign;
    }
}
