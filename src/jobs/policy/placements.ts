/**
 * The placements of a pass: which tasks it has placed so far, on which workers, and what that leaves to others.
 */
import { gangMembersOf } from "../job-table/job-table.js";
import type { Occurrence } from "../job-table/job.js";
import { addToLoad, copyLoad, isServing } from "../job-table/occupancy.js";
import type { WorkerLoad } from "../job-table/occupancy.js";
import type { Attempt, Task } from "../job-table/task.js";
import { findLargestRoom, isHeldByLasting, mayFit, mayFitTwice } from "./candidate.js";
import type { Candidate, LargestRoom } from "./candidate.js";
import { createFillerRankings } from "./filler-rankings.js";
import { createFillerSearches } from "./filler-searches.js";
import { expectedEndIfStarted } from "./forecast.js";
import type { Interference } from "./interference.js";
import { isLate } from "./order.js";
import type { CellSnapshot } from "./pass.js";
import { isRankedAlike, rankCandidates, startingPaceOf } from "./placement.js";
import type { CandidateRanking } from "./placement.js";
import { planStarts } from "./start-plan.js";
import { assessStarvation, isHalfEmpty } from "./starvation.js";
import type { Starvation } from "./starvation.js";

/** Placements of a pass so far. */
export interface Placements {
    readonly starts: readonly Attempt[];
    /** Whether a worker may have enough room for a task; if not, none has. */
    mayFit(task: Task, candidates: readonly Candidate[]): boolean;
    /** Takes note that reservations of workers were lifted, which may have kept tasks from them. */
    noteLiftedReservations(candidates: readonly Candidate[]): void;
    /** Places a task, or all members of its gang; returns false if it has to wait. */
    place(task: Task, candidates: readonly Candidate[]): boolean;
    readonly isPlaced: (task: Task) => boolean;
    /** Whether a worker may have had room for the task twice over at the beginning of the pass. */
    hasAmpleRoom(task: Task, candidates: readonly Candidate[]): boolean;
    /** Whether lasting tasks hold nearly all of a pool, so that little is left for others. */
    isHeldByLasting(candidates: readonly Candidate[]): boolean;
    /** Whether about half of the cores were free when the pass first asked; see `starvation.ts`. */
    isHalfEmpty(candidates: readonly Candidate[]): boolean;
    searches(): number;
}

/** Starts without placements. */
export function createPlacements(snapshot: CellSnapshot, now: number): Placements {
    const { durations, epoch, interference, queues } = snapshot;
    const starts: Attempt[] = [];
    const placedTasks = new Set<Task>();
    const copiedLoads = new Set<Readonly<WorkerLoad>>();
    const largestRooms = new WeakMap<readonly Candidate[], LargestRoom>();
    const heldPools = new WeakMap<readonly Candidate[], boolean>();
    const halfEmptyPools = new WeakMap<readonly Candidate[], boolean>();
    const placedOccurrences = new Set<Occurrence>();
    const lateOccurrences = new Map<Occurrence, boolean>();
    let latestRanking: { readonly key: RankingKey; readonly ranking: CandidateRanking; } | undefined;
    let searches = 0;

    const checkHalfEmpty = (candidates: readonly Candidate[]): boolean => {
        const isPoolHalfEmpty = halfEmptyPools.get(candidates) ?? isHalfEmpty(candidates);
        halfEmptyPools.set(candidates, isPoolHalfEmpty);
        return isPoolHalfEmpty;
    };

    const checkLate = (task: Task): boolean => {
        const isTaskLate = lateOccurrences.get(task.occurrence) ?? isLate(task, queues, durations, now);
        lateOccurrences.set(task.occurrence, isTaskLate);
        return isTaskLate;
    };

    const starvationOf = (task: Task, candidates: readonly Candidate[]): Starvation =>
        placedOccurrences.has(task.occurrence)
            ? "none"
            : assessStarvation(task, {
                isPoolHalfEmpty: checkHalfEmpty(candidates),
                isLate: () => checkLate(task),
            }, now);

    const mayFitOn = (task: Task, candidates: readonly Candidate[]): boolean => {
        return mayFit(task, largestRoomOf(candidates), starvationOf(task, candidates));
    };

    const durationOf = ({ step }: Task): number => durations.estimate(step);
    const fillerSearches = createFillerSearches({ starvationOf, durationOf });

    const rank = (task: Task, candidates: readonly Candidate[], starvation: Starvation): CandidateRanking => {
        searches += 1;
        const expectedEndMilliseconds = expectedEndIfStarted(task.step, durations, now);
        return rankCandidates(task, candidates, interference, now, { starvation, expectedEndMilliseconds });
    };

    const fillerRankings = createFillerRankings({ durationOf, rank });

    /** Ranks the candidates for a task; fillers of a kind, and tasks of a step that follow one another in a pass, share a ranking. */
    const rankFor = (task: Task, candidates: readonly Candidate[]): CandidateRanking => {
        const starvation = starvationOf(task, candidates);
        const shared = fillerRankings.rankFor(task, candidates, starvation);
        if (shared !== undefined) {
            return shared;
        }
        const key: RankingKey = { candidates, task, starvation };
        if (latestRanking === undefined || !isSameKey(latestRanking.key, key, now)) {
            latestRanking = { key, ranking: rank(task, candidates, starvation) };
        }
        return latestRanking.ranking;
    };

    /** Largest room at the beginning of the pass; placements only make it smaller. */
    const largestRoomOf = (candidates: readonly Candidate[]): LargestRoom => {
        const room = largestRooms.get(candidates) ?? findLargestRoom(candidates);
        largestRooms.set(candidates, room);
        return room;
    };

    const add = (attempt: Attempt, candidates: readonly Candidate[]): void => {
        starts.push(attempt);
        placedTasks.add(attempt.task);
        placedOccurrences.add(attempt.task.occurrence);
        const candidate = candidates.find(({ worker }) => worker.id === attempt.worker);
        if (candidate === undefined) {
            return;
        }
        recordTrials(interference, attempt, candidate.load, now);
        const load = copiedLoads.has(candidate.load) ? candidate.load : copyLoad(candidate.load);
        copiedLoads.add(load);
        addToLoad(load, attempt);
        candidate.load = load;
    };

    return {
        starts,
        isPlaced: task => placedTasks.has(task),
        hasAmpleRoom: (task, candidates) => mayFitTwice(task, largestRoomOf(candidates)),
        isHeldByLasting(candidates) {
            const isHeld = heldPools.get(candidates) ?? isHeldByLasting(candidates);
            heldPools.set(candidates, isHeld);
            return isHeld;
        },
        searches: () => searches,
        isHalfEmpty: checkHalfEmpty,
        mayFit: mayFitOn,
        noteLiftedReservations(candidates) {
            fillerSearches.forgetFailures(candidates);
            fillerRankings.forget(candidates);
        },
        place(task, candidates) {
            if (!mayFitOn(task, candidates) || fillerSearches.hasFailedFor(task, candidates)) {
                return false;
            }
            const members = gangMembersOf(task);
            if (members.some(member => snapshot.isUnderReview(member))) {
                return false;
            }
            const planned = planStarts(members, candidates, {
                epoch,
                rank: rankFor,
                paceOf: (member, candidate) => startingPaceOf(member, candidate, interference, now),
            }, now);
            planned?.forEach(attempt => add(attempt, candidates));
            if (planned === undefined) {
                fillerSearches.recordFailure(task, candidates);
            }
            return planned !== undefined;
        },
    };
}

/** What a ranking depends on, besides the placements. */
interface RankingKey {
    readonly candidates: readonly Candidate[];
    readonly starvation: Starvation;
    readonly task: Task;
}

function isSameKey(left: RankingKey, right: RankingKey, now: number): boolean {
    return left.candidates === right.candidates && left.starvation === right.starvation
        && isRankedAlike(left.task, right.task, now);
}

/** Records that a filler was placed beside serving tasks; its effect on their latency shows within a second. */
function recordTrials(
    interference: Interference,
    { task: { step } }: Attempt,
    load: Readonly<WorkerLoad>,
    now: number,
): void {
    if (step.isFiller) {
        load.attempts.filter(({ task }) => isServing(task.step))
            .forEach(({ task }) => interference.recordTrial(task.step.image, step.image, now));
    }
}
