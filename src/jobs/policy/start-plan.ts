/**
 * Plans the starts of a task, or of all members of its gang.
 *
 * A plan changes nothing: the members of a gang are tried on copies of the workers' loads, so that a gang that does not fit leaves no trace
 * in the job table, on the workers or in the interference model.
 */
import { createAttempt } from "../job-table/attempts.js";
import { addToLoad, copyLoad } from "../job-table/occupancy.js";
import type { WorkerLoad } from "../job-table/occupancy.js";
import { nextAttemptNumber } from "../job-table/task.js";
import type { Attempt, Task } from "../job-table/task.js";
import type { Candidate } from "./candidate.js";
import type { CandidateRanking } from "./placement.js";

/** How a plan chooses workers and paces. */
export interface StartPlanOptions {
    readonly epoch: number;
    rank(task: Task, candidates: readonly Candidate[]): CandidateRanking;
    /** Pace, in percent, at which the task starts on the candidate. */
    paceOf(task: Task, candidate: Candidate): number;
}

/** Plans one attempt for each member, all with the same number; `undefined` if a member finds no worker. */
export function planStarts(
    members: readonly Task[],
    candidates: readonly Candidate[],
    options: StartPlanOptions,
    now: number,
): Attempt[] | undefined {
    const number = members.reduce((highest, member) => Math.max(highest, nextAttemptNumber(member, options.epoch)), 0);
    const tried = members.length > 1 ? candidates.map(candidate => ({ ...candidate })) : candidates;
    /** Copies of the loads that the plan adds attempts to, by worker. */
    const loads = new Map<string, WorkerLoad>();
    const planned: Attempt[] = [];
    for (const member of members) {
        const candidate = options.rank(member, tried).choose(member);
        if (candidate === undefined) {
            return undefined;
        }
        const { id } = candidate.worker;
        const attempt = createAttempt(member, id, number, now, { pacePercent: options.paceOf(member, candidate) });
        planned.push(attempt);
        if (members.length > 1) {
            const load = loads.get(id) ?? copyLoad(candidate.load);
            loads.set(id, load);
            addToLoad(load, attempt);
            candidate.load = load;
        }
    }
    return planned;
}
