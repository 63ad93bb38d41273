/**
 * Rankings of workers that the fillers of a pass share.
 *
 * Workload: after a disturbance hundreds of jobs have fillers of a few images and sizes waiting. While a pass only adds placements and reservations, no worker's
 * score rises for a filler, whatever is placed there, so that one ranking does for all fillers of a kind.
 */
import type { Task } from "../job-table/task.js";
import type { Candidate } from "./candidate.js";
import { isComparable } from "./filler-searches.js";
import type { CandidateRanking } from "./placement.js";
import type { Starvation } from "./starvation.js";

/** Options of the rankings. */
export interface FillerRankingsOptions {
    /** Expected duration of the task, in milliseconds; a shorter one may use room that is reserved for a later time. */
    readonly durationOf: (task: Task) => number;
    readonly rank: (task: Task, candidates: readonly Candidate[], starvation: Starvation) => CandidateRanking;
}

/** Rankings of workers that the fillers of a pass share. */
export interface FillerRankings {
    /** The ranking of the task's kind; `undefined` if it depends on more than that. */
    rankFor(task: Task, candidates: readonly Candidate[], starvation: Starvation): CandidateRanking | undefined;
    /** Forgets the rankings of workers of which some have more room than before. */
    forget(candidates: readonly Candidate[]): void;
}

/** Starts without rankings. */
export function createFillerRankings({ durationOf, rank }: FillerRankingsOptions): FillerRankings {
    const rankings = new Map<readonly Candidate[], Map<string, CandidateRanking>>();
    return {
        forget(candidates) {
            rankings.delete(candidates);
        },
        rankFor(task, candidates, starvation) {
            if (!isComparable(task)) {
                return undefined;
            }
            const { dataRack, image, requiredLabel, size } = task.step;
            const { accelerators, memoryMegabytes, millicores } = size;
            const kind = JSON.stringify([
                image,
                requiredLabel,
                dataRack,
                millicores,
                memoryMegabytes,
                accelerators,
                durationOf(task),
                starvation,
            ]);
            const byKind = rankings.get(candidates) ?? new Map<string, CandidateRanking>();
            rankings.set(candidates, byKind);
            const ranking = byKind.get(kind) ?? rank(task, candidates, starvation);
            byKind.set(kind, ranking);
            return ranking;
        },
    };
}
