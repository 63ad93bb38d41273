/**
 * Reservation of a worker for a task that fits on none.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { Task } from "../job-table/task.js";
import { fitsInto } from "../model/size.js";
import { isWithinLimit } from "./candidate.js";
import type { Candidate } from "./candidate.js";

/** Reserves the suitable worker with the most free cores for a task that fits on none, so that it fits there soon. */
export function reserveCapacity(task: Task, candidates: Iterable<Candidate>): Candidate | undefined {
    const { requiredLabel, size } = task.step;
    let best: Candidate | undefined;
    let mostFreeMillicores = -Infinity;
    for (const candidate of candidates) {
        const { load, reservation, worker } = candidate;
        const freeMillicores = worker.capacity.millicores - load.used.millicores;
        const isSuited = reservation === undefined && fitsInto(size, worker.capacity) && isWithinLimit(task, load)
            && (requiredLabel === undefined || worker.labels.includes(requiredLabel));
        if (isSuited && freeMillicores > mostFreeMillicores) {
            best = candidate;
            mostFreeMillicores = freeMillicores;
        }
    }
    if (best !== undefined) {
        // Nothing may use the capacity meanwhile, as it is not known what ends soon.
        best.reservation = { step: stepProgressOf(task), size, expectedAtMilliseconds: -Infinity };
    }
    return best;
}
