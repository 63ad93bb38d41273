/**
 * Task keys: job, occurrence, step and index, joined by dots.
 */

/** Key of a task. */
export type TaskKey = string;

/** Parts of a task key. */
export interface TaskKeyParts {
    readonly job: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

const TASK_KEY = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Formats a task key. */
export function formatTaskKey({ job, occurrence, step, index }: TaskKeyParts): TaskKey {
    return `${job}.${occurrence}.${step}.${index}`;
}

/** Parses a task key; `undefined` if it is malformed. */
export function parseTaskKey(key: TaskKey): TaskKeyParts | undefined {
    const [, job, occurrence, step, index] = TASK_KEY.exec(key) ?? [];
    return job === undefined
        ? undefined
        : { job, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
