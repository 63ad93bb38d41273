/**
 * Explains why a ready task is not started, by the conditions that the passes of the dispatcher decide by.
 */
import { gangMembersOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import type { Task } from "../job-table/task.js";
import type { Queue } from "../model/catalog.js";
import { explainRoom, findLargestRoom, mayFitTwice } from "./candidate.js";
import type { Candidate } from "./candidate.js";
import type { Durations } from "./durations.js";
import { expectedEndIfStarted } from "./forecast.js";
import type { Interference } from "./interference.js";
import { isLate } from "./order.js";
import { createObstacleSearch } from "./placement.js";
import { isPausing } from "./preemption.js";
import { assessStarvation, isHalfEmpty } from "./starvation.js";
import type { EarlyReason, WaitingObstacle, WaitingReason, WorkerObstacle } from "./waiting-reasons.js";

/** What holds tasks of a cell before any worker is looked at for them. */
export interface EarlyConditions {
    readonly maySendOrders: boolean;
    readonly areClosuresConfirmed: boolean;
    readonly queues: ReadonlyMap<string, Queue>;
    /** Whether a worker that has not answered since the takeover may run the task. */
    isHeldByRecovery(task: Task): boolean;
    /** Whether the task is suspected of a crash that has not been reviewed yet. */
    isUnderReview(task: Task): boolean;
}

/** Workers of a pool, as the latest pass left them. */
export interface PoolSituation {
    /** Copies of the workers on which tasks may be started; explanations change them. */
    readonly candidates: readonly Candidate[];
    /** Numbers of the others, by what keeps them from starts. */
    readonly unavailable: ReadonlyMap<WorkerObstacle, number>;
    readonly interference: Interference;
    readonly durations: Durations;
    readonly queues: ReadonlyMap<string, Queue>;
}

/** Why a task that the passes look at is not started. */
export interface PlacementExplanation {
    readonly reason: WaitingReason;
    /** Numbers of the pool's workers by what stands against the task there. */
    readonly obstacles: Readonly<Partial<Record<WaitingObstacle, number>>>;
    /** Workers of the pool that nothing stands against. */
    readonly suitableWorkers: number;
    /** Keys of the first waiting tasks of the steps that room is reserved for. */
    readonly reservedFor: readonly string[];
}

/** Obstacles that no wait removes while the pool stays as it is; they count only where nothing else stands against the task. */
const STANDING_OBSTACLES: ReadonlySet<WaitingObstacle> = new Set(["label-missing", "never-fits"]);

/** Finds what holds a ready task before any worker is looked at for it; absent if the passes look at it. */
export function findEarlyReason(task: Task, conditions: EarlyConditions): EarlyReason | undefined {
    if (!conditions.maySendOrders) {
        return "orders-suspended";
    }
    if (!conditions.areClosuresConfirmed) {
        return "closures-unconfirmed";
    }
    if (conditions.isHeldByRecovery(task)) {
        return "unanswered-worker";
    }
    if (gangMembersOf(task).some(member => conditions.isUnderReview(member))) {
        return "crash-review";
    }
    return conditions.queues.has(task.entry.queue) ? undefined : "no-queue";
}

/** Explains why a task that the passes look at is not started. Computes as much as one search for a worker. */
export function explainPlacement(task: Task, pool: PoolSituation, now: number): PlacementExplanation {
    const { candidates, durations, interference, queues, unavailable } = pool;
    const findObstacle = createObstacleSearch(task, interference, now, {
        starvation: assessStarvation(task, {
            isPoolHalfEmpty: isHalfEmpty(candidates),
            isLate: () => isLate(task, queues, durations, now),
        }, now),
        expectedEndMilliseconds: expectedEndIfStarted(task.step, durations, now),
    });
    const counts = new Map<WaitingObstacle, number>(unavailable);
    const reservingSteps = new Set<StepProgress>();
    let suitableWorkers = 0;
    for (const candidate of candidates) {
        const found = findObstacle(candidate);
        const obstacle = found === "no-room" ? explainRoom(task, candidate) : found;
        if (obstacle === undefined) {
            suitableWorkers += 1;
            continue;
        }
        counts.set(obstacle, (counts.get(obstacle) ?? 0) + 1);
        if (candidate.reservation !== undefined && isReservation(obstacle)) {
            reservingSteps.add(candidate.reservation.step);
        }
    }
    const isHeldByPause = isPausing(task, now) && !mayFitTwice(task, findLargestRoom(candidates));
    return {
        reason: isHeldByPause
            ? "giving-way-pause"
            : suitableWorkers > 0
            ? task.step.isGang ? "gang-room" : "worker-suits"
            : findMainObstacle(counts) ?? "no-workers",
        obstacles: Object.fromEntries(counts),
        suitableWorkers,
        reservedFor: [...reservingSteps].flatMap(step => firstTaskOf(step)?.key ?? []),
    };
}

function isReservation(obstacle: WaitingObstacle): boolean {
    return obstacle === "reserved-ahead" || obstacle === "reserved-for-overdue";
}

/**
 * The obstacle that most workers have in common, and the last of equal ones, which come after those of the workers themselves. A reservation
 * goes before the others, however few workers it binds: without it, the task would have found room.
 */
function findMainObstacle(counts: ReadonlyMap<WaitingObstacle, number>): WaitingObstacle | undefined {
    const reservations = [...counts].filter(([obstacle]) => isReservation(obstacle));
    const passing = [...counts].filter(([obstacle]) => !STANDING_OBSTACLES.has(obstacle));
    const considered = reservations.length > 0 ? reservations : passing.length > 0 ? passing : [...counts];
    return considered.reduce<readonly [WaitingObstacle, number] | undefined>(
        (most, entry) => most === undefined || entry[1] >= most[1] ? entry : most,
        undefined,
    )?.[0];
}

function firstTaskOf({ openTasks }: StepProgress): Task | undefined {
    for (const task of openTasks.values()) {
        if (task.phase === "ready") {
            return task;
        }
    }
    return undefined;
}
