/**
 * Starts ready tasks on workers and stops unwanted attempts after each change.
 */
import { isAborted, pause } from "../../core/time.js";
import { createWake } from "../../core/wake.js";
import { registerAttempt } from "../job-table/attempts.js";
import { gangMembersOf, stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import { openDueOccurrences } from "../job-table/lifecycle.js";
import { isServing } from "../job-table/occupancy.js";
import type { Attempt, Task } from "../job-table/task.js";
import { needsCopy } from "../policy/copies.js";
import { isSuspect } from "../policy/crashes.js";
import { chooseEvacuations } from "../policy/evacuation.js";
import { isOverdue, orderTasks } from "../policy/order.js";
import {
    chooseWorker,
    findLargestRoom,
    isRankedAlike,
    isStarving,
    mayFit,
    rankCandidates,
    reserveCapacity,
    startingPaceOf,
} from "../policy/placement.js";
import type { Candidate, CandidateRanking, LargestRoom } from "../policy/placement.js";
import type { CellContext } from "./context.js";
import { createDispatchRecord } from "./dispatch-work.js";
import type { DispatchWork } from "./dispatch-work.js";
import type { Recovery } from "./recovery.js";
import { planStarts } from "./start-plan.js";
import { startAttempt } from "./starting.js";
import { stopAttempt } from "./stopping.js";
import type { CellWorker } from "./worker.js";

/** Longest time between two passes, so that conditions which depend on time alone are noticed. */
const LONGEST_IDLE_WAIT_MILLISECONDS = 250;

/** Time between two checks for attempts to evacuate or to copy. */
const REVIEW_INTERVAL_MILLISECONDS = 200;

/** Limit of unanswered starts; more would only queue in this process, ahead of tasks that may become more urgent. */
const MAXIMUM_STARTS_IN_FLIGHT = 40;

/**
 * Largest age of the last commit at which copies are started: after that, a successor may already have the task as done. The
 * platform's documentation allows a copy for one second after the end.
 */
const COPY_CONFIRMATION_MILLISECONDS = 700;

/** Limit of workers that are reserved for lasting tasks at the same time; the others stay available to short tasks. */
const MAXIMUM_RESERVATIONS = 2;

/** Changes within this time are handled in one pass; a short job has some hundred milliseconds of slack. */
const BATCHING_MILLISECONDS = 5;

/** Starts and stops attempts on the workers of a cell. */
export interface Dispatcher {
    requestDispatch(): void;
    /** Returns the work since the last call. */
    takeWork(): DispatchWork;
    run(): Promise<void>;
}

/** Creates the dispatcher of a cell. */
export function createDispatcher(cell: CellContext, recovery: Recovery): Dispatcher {
    const { jobTable, clock, signal } = cell;
    const stopping = new Set<Attempt>();
    const dispatchRequest = createWake();
    let reviewedAt = 0;
    let startsInFlight = 0;
    const record = createDispatchRecord();
    let searches = 0;
    let orderedTasks = 0;
    const largestRooms = new WeakMap<readonly Candidate[], LargestRoom>();
    let latestCandidates: ReadonlyMap<string, Candidate[]> = new Map<string, Candidate[]>();
    let latestRanking: { readonly key: RankingKey; readonly ranking: CandidateRanking; } | undefined;

    const stopUnwanted = (): void => {
        for (const attempt of jobTable.attemptsToStop) {
            const worker = cell.workers.get(attempt.worker);
            if (worker !== undefined && attempt.phase !== "stopping" && !stopping.has(attempt)) {
                stopping.add(attempt);
                void stopAttempt(cell, worker, attempt).finally(() => stopping.delete(attempt));
            }
        }
    };

    /** Ranks the candidates for a task; the tasks of a step that follow one another in a pass share a ranking. */
    const rankFor = (task: Task, candidates: readonly Candidate[], now: number): CandidateRanking => {
        const options = { isStarving: isStarving(task, candidates, now) };
        const key: RankingKey = { candidates, task, ...options };
        if (latestRanking === undefined || !isSameKey(latestRanking.key, key, now)) {
            searches += 1;
            const ranking = rankCandidates(task, candidates, cell.interference, now, options);
            latestRanking = { key, ranking };
        }
        return latestRanking.ranking;
    };

    /** Largest room at the beginning of the pass; placements only make it smaller. */
    const largestRoomOf = (candidates: readonly Candidate[]): LargestRoom => {
        const room = largestRooms.get(candidates) ?? findLargestRoom(candidates);
        largestRooms.set(candidates, room);
        return room;
    };

    const place = (task: Task, candidates: readonly Candidate[], now: number): boolean => {
        if (!mayFit(task, largestRoomOf(candidates))) {
            return false;
        }
        const members = gangMembersOf(task);
        if (members.some(member => cell.crashes.isUnderReview(member))) {
            return false;
        }
        const planned = planStarts(members, candidates, {
            epoch: cell.epoch,
            rank: (member, tried) => rankFor(member, tried, now),
            paceOf: (member, candidate) => startingPaceOf(member, candidate, cell.interference, now),
        }, now);
        if (planned === undefined) {
            return false;
        }
        for (const attempt of planned) {
            recordTrials(cell, attempt, now);
            registerAttempt(jobTable, attempt);
            const worker = cell.workers.get(attempt.worker);
            if (worker !== undefined) {
                cell.log.write("start-ordered", {
                    job: attempt.task.entry.id,
                    queue: attempt.task.entry.queue,
                    task: attempt.task.key,
                    attempt: attempt.number,
                    worker: attempt.worker,
                    waitedMilliseconds: Math.round(now - attempt.task.readyAtMilliseconds),
                    answerAgeMilliseconds: Math.round(now - worker.lastAnswerAtMilliseconds),
                });
                startsInFlight += 1;
                void startAttempt(cell, worker, attempt, undefined).finally(() => {
                    startsInFlight -= 1;
                    dispatchRequest.wake();
                });
            }
        }
        return true;
    };

    const candidatesFor = (task: Task, candidates: ReadonlyMap<string, Candidate[]>): readonly Candidate[] => {
        const pool = cell.catalog().queues.get(task.entry.queue)?.pool;
        return pool === undefined ? [] : candidates.get(pool) ?? [];
    };

    /** Moves tasks away from draining workers if another worker can run them. */
    const evacuate = (candidates: ReadonlyMap<string, Candidate[]>, now: number): void => {
        for (const worker of cell.workers.values()) {
            const { drainingSinceMilliseconds: since, leavesAtMilliseconds: leavesAt } = worker;
            if (since === undefined || worker.contact !== "answering") {
                continue;
            }
            const load = jobTable.occupancy.load(worker.listed.id);
            for (const attempt of chooseEvacuations(load, leavesAt, since, cell.durations, now)) {
                if (chooseWorker(attempt.task, candidatesFor(attempt.task, candidates), cell.interference, now)) {
                    jobTable.attemptsToStop.add(attempt);
                    cell.log.write("attempt-moved", {
                        job: attempt.task.entry.id,
                        task: attempt.task.key,
                        attempt: attempt.number,
                        worker: attempt.worker,
                        reason: "worker is draining",
                        leavesInMilliseconds: leavesAt === undefined ? undefined : Math.round(leavesAt - now),
                    });
                }
            }
        }
        stopUnwanted();
    };

    const startCopies = (candidates: ReadonlyMap<string, Candidate[]>, now: number): void => {
        for (const worker of cell.workers.values()) {
            const isUnreliable = worker.contact === "silent" || now < worker.health.quarantinedUntilMilliseconds;
            for (const attempt of jobTable.occupancy.load(worker.listed.id).attempts) {
                if (cell.crashes.isUnderReview(attempt.task)) {
                    continue;
                }
                if (needsCopy(attempt, isUnreliable, cell.durations, now) && !jobTable.attemptsToStop.has(attempt)) {
                    const others = candidatesFor(attempt.task, candidates)
                        .filter(candidate => candidate.worker.id !== worker.listed.id);
                    place(attempt.task, others, now);
                }
            }
        }
    };

    const dispatch = (now: number): void => {
        openDueOccurrences(jobTable, now);
        stopUnwanted();
        if (!cell.maySendOrders(now)) {
            return;
        }
        const { queues } = cell.catalog();
        const candidates = listCandidates(cell, latestCandidates, now);
        latestCandidates = candidates;
        if (now - reviewedAt >= REVIEW_INTERVAL_MILLISECONDS) {
            reviewedAt = now;
            evacuate(candidates, now);
            if (now - cell.commits.committedAtMilliseconds() < COPY_CONFIRMATION_MILLISECONDS) {
                startCopies(candidates, now);
            }
        }
        if (jobTable.readyTasks.size === 0) {
            return;
        }
        const startable = [...jobTable.readyTasks].filter(task =>
            recovery.mayStart(task) && !cell.crashes.isUnderReview(task)
        );
        orderedTasks += startable.length;
        // The tasks of one step have the same requirements, except suspects: if one cannot be placed, neither can the others.
        const unplaceableSteps = new Set<StepProgress>();
        let reservations = 0;
        const orderingOptions = { queue: ({ entry }: Task) => queues.get(entry.queue), durations: cell.durations };
        for (const task of orderTasks(startable, orderingOptions, now)) {
            if (startsInFlight >= MAXIMUM_STARTS_IN_FLIGHT) {
                break;
            }
            const step = stepProgressOf(task);
            if (!jobTable.readyTasks.has(task) || unplaceableSteps.has(step)) {
                continue;
            }
            const suitable = candidatesFor(task, candidates);
            if (!place(task, suitable, now) && (!isSuspect(task) || task.step.isGang)) {
                unplaceableSteps.add(step);
                if (isOverdue(task, now) && reservations < MAXIMUM_RESERVATIONS) {
                    reservations += 1;
                    reserveCapacity(task, suitable);
                }
            }
        }
    };

    const dispatchMeasured = (requestedAt: number, now: number): void => {
        searches = 0;
        orderedTasks = 0;
        latestRanking = undefined;
        dispatch(now);
        const delayMilliseconds = Math.max(0, now - requestedAt - BATCHING_MILLISECONDS);
        record.add({ delayMilliseconds, milliseconds: clock() - now, orderedTasks, searches });
    };

    return {
        requestDispatch: () => dispatchRequest.wake(),
        takeWork: () => record.take(),
        async run() {
            while (!signal.aborted) {
                const requestedAt = clock();
                // Handles changes that arrive within a few milliseconds together.
                await pause(BATCHING_MILLISECONDS);
                if (!isAborted(signal)) {
                    dispatchMeasured(requestedAt, clock());
                }
                await dispatchRequest.wait(LONGEST_IDLE_WAIT_MILLISECONDS, signal);
            }
        },
    };
}

/** What a ranking depends on, besides the placements. */
interface RankingKey {
    readonly candidates: readonly Candidate[];
    readonly isStarving: boolean;
    readonly task: Task;
}

function isSameKey(left: RankingKey, right: RankingKey, now: number): boolean {
    return left.candidates === right.candidates && left.isStarving === right.isStarving
        && isRankedAlike(left.task, right.task, now);
}

/** Records that a filler was placed beside serving tasks; its effect on their latency shows within a second. */
function recordTrials({ interference, jobTable }: CellContext, attempt: Attempt, now: number): void {
    const { task: { step }, worker } = attempt;
    if (step.isFiller) {
        jobTable.occupancy.load(worker).attempts.filter(({ task }) => isServing(task.step))
            .forEach(({ task }) => interference.recordTrial(task.step.image, step.image, now));
    }
}

/** Workers on which tasks may be started now, by pool. They keep what was computed for them in the former pass. */
function listCandidates(
    { jobTable, settings, workers }: CellContext,
    former: ReadonlyMap<string, readonly Candidate[]>,
    now: number,
): Map<string, Candidate[]> {
    const plans = new Map([...former.values()].flat().map(({ plan, worker }) => [worker.id, plan]));
    const pools = new Map<string, Candidate[]>();
    for (const worker of workers.values()) {
        if (!mayStartOn(worker, now, settings.unlistedGraceMilliseconds)) {
            continue;
        }
        const { lastAnswerAtMilliseconds: reportedAtMilliseconds, listed } = worker;
        const candidates = pools.get(listed.pool) ?? [];
        const load = jobTable.occupancy.load(listed.id);
        candidates.push({ worker: listed, load, reportedAtMilliseconds, plan: plans.get(listed.id) });
        pools.set(listed.pool, candidates);
    }
    return pools;
}

function mayStartOn(worker: CellWorker, now: number, graceMilliseconds: number): boolean {
    const isListed = worker.unlistedSinceMilliseconds === undefined
        || now - worker.unlistedSinceMilliseconds < graceMilliseconds;
    // An order is not sent while it is in doubt which life of the worker it would reach.
    return worker.contact === "answering" && worker.failingSinceMilliseconds === undefined && worker.isRecorded
        && isListed && !worker.listed.isDraining
        && now >= worker.startsFromMilliseconds && now >= worker.health.quarantinedUntilMilliseconds;
}
