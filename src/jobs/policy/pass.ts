/**
 * What a pass of the dispatcher does: which attempts it starts, and which it moves away from their workers.
 *
 * A pass decides from a snapshot of the cell and changes neither the job table nor the workers. Each placement is added to a copy of its
 * worker's load, so that those after it see it. Only the model of interference learns of placements at once, because it allows an image one
 * trial at a time.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import type { Attempt, Task } from "../job-table/task.js";
import type { Queue } from "../model/catalog.js";
import type { Candidate } from "./candidate.js";
import { needsCopy } from "./copies.js";
import { isSuspect } from "./crashes.js";
import type { Durations } from "./durations.js";
import type { Interference } from "./interference.js";
import type { LookAhead } from "./look-ahead.js";
import { chooseMoves } from "./moves.js";
import type { LeftWorker, Move } from "./moves.js";
import { isOverdue, orderTasks } from "./order.js";
import type { OrderingOptions } from "./order.js";
import { chooseWorker } from "./placement.js";
import { createPlacements } from "./placements.js";
import type { Placements } from "./placements.js";
import { isPausing, planGivingWay } from "./preemption.js";
import { reserveCapacity } from "./reservation.js";
import { isIdle } from "./starvation.js";
import { keepForTrials } from "./trials.js";

/** Limit of workers that are reserved for lasting tasks at the same time; the others stay available to short tasks. */
const MAXIMUM_RESERVATIONS = 2;

/** A worker whose attempts a pass may move or copy. */
export interface ReviewedWorker extends LeftWorker {
    readonly id: string;
    /** Whether the worker is silent or quarantined. */
    readonly isUnreliable: boolean;
}

/** State of a cell that a pass decides from. */
export interface CellSnapshot {
    readonly epoch: number;
    /** Ready tasks that may start, in any order. */
    readonly startableTasks: readonly Task[];
    /** Workers on which tasks may be started, by pool. Their loads are replaced by copies as the pass places tasks on them. */
    readonly pools: ReadonlyMap<string, readonly Candidate[]>;
    readonly queues: ReadonlyMap<string, Queue>;
    /** Workers whose attempts are reviewed in this pass; empty between two reviews. */
    readonly reviewedWorkers: readonly ReviewedWorker[];
    /** Attempts that have to be stopped already. */
    readonly attemptsToStop: ReadonlySet<Attempt>;
    readonly interference: Interference;
    readonly durations: Durations;
    /** Reservations for tasks that wait for room; absent where none are made. */
    readonly lookAhead?: LookAhead;
    /** Number of attempts after which the pass starts no more. */
    readonly startLimit: number;
    /** Longest time that a worker takes to stop an attempt. */
    readonly stopLimitMilliseconds: number;
    /** Whether running attempts may give way in this pass. */
    readonly mayGiveWay: boolean;
    /** Whether second copies may be started; not while a successor may know that a task is done. */
    readonly mayStartCopies: boolean;
    /** Whether a task is suspected of a crash that has not been reviewed yet. */
    isUnderReview(task: Task): boolean;
}

/** Decisions of a pass. */
export interface PassPlan {
    readonly moves: readonly Move[];
    /** Attempts to start, in this order. */
    readonly starts: readonly Attempt[];
    /** Ready tasks that the pass has not come to because it reached its limit of starts, in their order. */
    readonly unreachedTasks: readonly Task[];
    readonly orderedTasks: number;
    /** Searches for a worker, each of which looks at all workers of a pool. */
    readonly searches: number;
}

/** Decides what a pass does. */
export function planPass(snapshot: CellSnapshot, now: number): PassPlan {
    const { pools, queues, startableTasks } = snapshot;
    const placements = createPlacements(snapshot, now);
    const candidatesFor = (task: Task): readonly Candidate[] => {
        const pool = queues.get(task.entry.queue)?.pool;
        return pool === undefined ? [] : pools.get(pool) ?? [];
    };
    const canRunElsewhere = (task: Task): boolean =>
        chooseWorker(task, candidatesFor(task), snapshot.interference, now) !== undefined;
    const moves = chooseMoves({ ...snapshot, canRunElsewhere }, now);
    keepForTrials(startableTasks, candidatesFor, now);
    if (snapshot.mayStartCopies) {
        planCopies(snapshot, moves, placements, candidatesFor, now);
    }
    const { blocked, unreachedTasks } = placeReadyTasks(snapshot, placements, candidatesFor, now);
    const givingWay = snapshot.mayGiveWay
        ? planGivingWay(blocked, { ...snapshot, isPlaced: placements.isPlaced, moves, candidatesFor }, now)
        : [];
    return {
        moves: [...moves, ...givingWay],
        starts: placements.starts,
        unreachedTasks,
        orderedTasks: startableTasks.length,
        searches: placements.searches(),
    };
}

/** Ready tasks that a pass has not placed, in their order. */
interface UnplacedTasks {
    /** The first task of each step that found no worker. */
    readonly blocked: Task[];
    readonly unreachedTasks: Task[];
}

/** Places the ready tasks, most urgent first. */
function placeReadyTasks(
    { durations, lookAhead, queues, startableTasks, startLimit }: CellSnapshot,
    placements: Placements,
    candidatesFor: (task: Task) => readonly Candidate[],
    now: number,
): UnplacedTasks {
    const queueOf = ({ entry }: Task): Queue | undefined => queues.get(entry.queue);
    const ordering: OrderingOptions = {
        queue: queueOf,
        durations,
        hasAmpleRoom: task =>
            placements.hasAmpleRoom(task, candidatesFor(task)) || !placements.isHeldByLasting(candidatesFor(task)),
        isStandingStill: task => placements.isHalfEmpty(candidatesFor(task)) && isIdle(task.occurrence, now),
    };
    const lookAheadPass = lookAhead?.startPass(now);
    // The tasks of one step have the same requirements, except suspects: if one cannot be placed, neither can the others.
    const unplaceableSteps = new Set<StepProgress>();
    const blocked: Task[] = [];
    let reservations = 0;
    const ordered = orderTasks(startableTasks, ordering, now);
    for (const [index, task] of ordered.entries()) {
        if (placements.starts.length >= startLimit) {
            const unreachedTasks = ordered.slice(index).filter(other =>
                !placements.isPlaced(other) && !unplaceableSteps.has(stepProgressOf(other))
            );
            return { blocked, unreachedTasks };
        }
        const step = stepProgressOf(task);
        const suitable = candidatesFor(task);
        const isLeftOut = placements.isPlaced(task) || unplaceableSteps.has(step)
            || isPausing(task, now) && !placements.hasAmpleRoom(task, suitable);
        if (isLeftOut) {
            continue;
        }
        const urgency = { queue: queueOf(task), durations };
        if (placements.mayFit(task, suitable) && lookAheadPass?.bind(task, suitable, urgency) === true) {
            placements.noteLiftedReservations(suitable);
        }
        if (placements.place(task, suitable)) {
            lookAheadPass?.recordPlacement(task);
            continue;
        }
        if (isSuspect(task) && !task.step.isGang) {
            continue;
        }
        unplaceableSteps.add(step);
        blocked.push(task);
        if (isOverdue(task, now) && reservations < MAXIMUM_RESERVATIONS) {
            reservations += 1;
            // Capacity that is gathered for others has the most free cores, but is no better for a task that lasts.
            if (lookAheadPass?.bind(task, suitable, urgency) === true) {
                placements.noteLiftedReservations(suitable);
            }
            reserveCapacity(task, suitable);
        }
        else {
            lookAheadPass?.reserve(task, suitable, urgency);
        }
    }
    return { blocked, unreachedTasks: [] };
}

/** Starts second copies of the attempts that need one, on other workers. */
function planCopies(
    snapshot: CellSnapshot,
    moves: readonly Move[],
    placements: Placements,
    candidatesFor: (task: Task) => readonly Candidate[],
    now: number,
): void {
    const { attemptsToStop, durations } = snapshot;
    const moved = new Set(moves.map(({ attempt }) => attempt));
    for (const { id, isUnreliable, load } of snapshot.reviewedWorkers) {
        for (const attempt of load.attempts) {
            const { task } = attempt;
            const isStopped = attemptsToStop.has(attempt) || moved.has(attempt);
            if (!isStopped && !snapshot.isUnderReview(task) && needsCopy(attempt, isUnreliable, durations, now)) {
                placements.place(task, candidatesFor(task).filter(({ worker }) => worker.id !== id));
            }
        }
    }
}
