/**
 * Names of tasks: job, occurrence, step and index, joined by dots.
 */

/** Name of a task. */
export type TaskKey = string;

/** What a task's name says. */
export interface TaskKeyParts {
    readonly job: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

const TASK_KEY = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Writes a task's name. */
export function formatTaskKey({ job, occurrence, step, index }: TaskKeyParts): TaskKey {
    return `${job}.${occurrence}.${step}.${index}`;
}

/** Reads a task's name; `undefined` where it is none. */
export function parseTaskKey(key: TaskKey): TaskKeyParts | undefined {
    const [, job, occurrence, step, index] = TASK_KEY.exec(key) ?? [];
    return job === undefined
        ? undefined
        : { job, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
