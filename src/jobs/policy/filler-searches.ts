/**
 * Searches of a pass that found no worker for a filler.
 *
 * Workload: after a disturbance hundreds of jobs have fillers of a few images waiting, and most of them fit nowhere. While a pass only adds
 * placements and reservations, a filler fits nowhere either if a smaller one of the same kind did not.
 */
import type { Task } from "../job-table/task.js";
import { fitsInto } from "../model/size.js";
import type { Candidate } from "./candidate.js";
import { isSuspect } from "./crashes.js";
import { STARVATIONS } from "./starvation.js";
import type { Starvation } from "./starvation.js";

/** Options of the searches. */
export interface FillerSearchesOptions {
    readonly starvationOf: (task: Task, candidates: readonly Candidate[]) => Starvation;
    /** Expected duration of the task, in milliseconds; a shorter one may use room that is reserved for a later time. */
    readonly durationOf: (task: Task) => number;
}

/** Searches of a pass that found no worker for a filler. */
export interface FillerSearches {
    recordFailure(task: Task, candidates: readonly Candidate[]): void;
    /** Forgets the failures on workers of which some have more room than before. */
    forgetFailures(candidates: readonly Candidate[]): void;
    /** Whether a filler that needs no more than the task has found no worker. */
    hasFailedFor(task: Task, candidates: readonly Candidate[]): boolean;
}

/** Starts without failed searches. */
export function createFillerSearches({ durationOf, starvationOf }: FillerSearchesOptions): FillerSearches {
    const failed = new Map<readonly Candidate[], Map<string, Task[]>>();

    /** Whether whatever stands against the first task stands against the second one, too. */
    const isAtMost = (first: Task, second: Task, candidates: readonly Candidate[]): boolean =>
        fitsInto(first.step.size, second.step.size)
        && durationOf(first) <= durationOf(second)
        && rankOf(starvationOf(first, candidates)) >= rankOf(starvationOf(second, candidates));

    return {
        recordFailure(task, candidates) {
            if (!isComparable(task)) {
                return;
            }
            const byKind = failed.get(candidates) ?? new Map<string, Task[]>();
            failed.set(candidates, byKind);
            const kind = kindOf(task);
            byKind.set(kind, [...byKind.get(kind) ?? [], task]);
        },
        forgetFailures(candidates) {
            failed.delete(candidates);
        },
        hasFailedFor: (task, candidates) =>
            isComparable(task)
            && failed.get(candidates)?.get(kindOf(task))?.some(other => isAtMost(other, task, candidates)) === true,
    };
}

function rankOf(starvation: Starvation): number {
    return STARVATIONS.indexOf(starvation);
}

/** Whether what a filler needs depends on nothing but its image, label, size and duration, and on how badly its job needs it to start. */
export function isComparable(task: Task): boolean {
    const { isFiller, isGang, isLasting, latencyObjectiveMilliseconds, limitPerWorker } = task.step;
    return isFiller && !isGang && !isLasting && latencyObjectiveMilliseconds === 0 && limitPerWorker === 0
        && !isSuspect(task);
}

function kindOf({ step: { image, requiredLabel } }: Task): string {
    return JSON.stringify([image, requiredLabel]);
}
