/**
 * Estimates the memory that jobs take in the process of their owner.
 *
 * Tasks that wait take a bit each, except the next ones of each step; so a job takes memory by its steps and occurrences, and by what may run
 * of it at the same time. `npm run bench -- held-jobs` measures the figures below.
 */
import type { JobStep, Submission } from "../model/job.js";
import { OPEN_READY_TASKS } from "./ready.js";

/** Bytes of an entry in the job table, with its id, and of one that has ended and been released. */
export const ENTRY_BYTES = 500;

/** Bytes of a step's definition, without its texts, and of an index in its list of earlier steps. */
const STEP_DEFINITION_BYTES = 700;
const STEP_INDEX_BYTES = 16;

/** Bytes of an occurrence, of the progress of each of its steps, and of each open task with an attempt. */
const OCCURRENCE_BYTES = 350;
const STEP_PROGRESS_BYTES = 500;
const OPEN_TASK_BYTES = 1_000;

const TASKS_PER_BYTE = 8;

/** Memory of a job, in bytes. */
export interface Footprint {
    /** Entry and definition, which are held as long as the job has not ended. */
    readonly definitionBytes: number;
    /** All occurrences with their open tasks. */
    readonly progressBytes: number;
}

/** Estimates the memory of a job. */
export function estimateFootprint({ payload, schedule, steps }: Submission): Footprint {
    let definitionBytes = ENTRY_BYTES + payload.length;
    let occurrenceBytes = OCCURRENCE_BYTES;
    for (const step of steps) {
        definitionBytes += estimateDefinition(step);
        occurrenceBytes += STEP_PROGRESS_BYTES + Math.ceil(step.taskCount / TASKS_PER_BYTE)
            + (step.isGang ? step.taskCount : Math.min(step.taskCount, OPEN_READY_TASKS)) * OPEN_TASK_BYTES;
    }
    return { definitionBytes, progressBytes: occurrenceBytes * (schedule?.occurrences ?? 1) };
}

function estimateDefinition({ after, dataRack = "", image, requiredLabel = "" }: JobStep): number {
    return STEP_DEFINITION_BYTES + after.length * STEP_INDEX_BYTES + image.length + dataRack.length
        + requiredLabel.length;
}
