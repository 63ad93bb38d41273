/**
 * Starts ready tasks on workers and stops unwanted attempts after each change, as `policy/pass.ts` decides.
 */
import { isAborted, pause } from "../../core/time.js";
import { createWake } from "../../core/wake.js";
import { registerAttempt } from "../job-table/attempts.js";
import { openDueOccurrences } from "../job-table/lifecycle.js";
import type { Attempt, Task } from "../job-table/task.js";
import type { Candidate } from "../policy/candidate.js";
import { createLookAhead } from "../policy/look-ahead.js";
import type { Move } from "../policy/moves.js";
import { planPass } from "../policy/pass.js";
import type { CellSnapshot, ReviewedWorker } from "../policy/pass.js";
import type { CellContext } from "./context.js";
import { createDispatchRecord } from "./dispatch-work.js";
import type { DispatchWork } from "./dispatch-work.js";
import { listPools } from "./pools.js";
import type { Recovery } from "./recovery.js";
import { startAttempt } from "./starting.js";
import { stopAttempt } from "./stopping.js";

/** Longest time between two passes, so that conditions which depend on time alone are noticed. */
const LONGEST_IDLE_WAIT_MILLISECONDS = 250;

/** Time between two checks for attempts to move or to copy. */
const REVIEW_INTERVAL_MILLISECONDS = 200;

/** Limit of unanswered starts; more would only queue in this process, ahead of tasks that may become more urgent. */
const MAXIMUM_STARTS_IN_FLIGHT = 40;

/** Time between two choices of attempts that give way; each looks at all attempts of a pool. */
const GIVING_WAY_INTERVAL_MILLISECONDS = 50;

/**
 * Largest age of the last commit at which copies are started: after that, a successor may already have the task as done. The
 * platform's documentation allows a copy for one second after the end.
 */
const COPY_CONFIRMATION_MILLISECONDS = 700;

/** Changes within this time are handled in one pass; a short job has some hundred milliseconds of slack. */
const BATCHING_MILLISECONDS = 5;

/** What a pass has left, which tells why a task was not started. */
export interface LatestPass {
    /** Workers on which tasks could be started, by pool, with the starts and the reservations of the pass. */
    readonly pools: ReadonlyMap<string, readonly Candidate[]>;
    /** Ready tasks that the pass has not come to because it reached its limit of starts, in their order. */
    readonly unreachedTasks: readonly Task[];
    /** Number of starts without an answer at present, and when the first of them was ordered. */
    readonly startsInFlight: number;
    readonly oldestStartAtMilliseconds: number | undefined;
}

/** Starts and stops attempts on the workers of a cell. */
export interface Dispatcher {
    requestDispatch(): void;
    /** Returns the work since the last call. */
    takeWork(): DispatchWork;
    /** Returns what the latest pass has left. */
    latestPass(): LatestPass;
    run(): Promise<void>;
}

/** Creates the dispatcher of a cell. */
export function createDispatcher(cell: CellContext, recovery: Recovery): Dispatcher {
    const { jobTable, clock, settings, signal } = cell;
    const stopping = new Set<Attempt>();
    const dispatchRequest = createWake();
    let reviewedAt = 0;
    let gaveWayAt = 0;
    const startsInFlight = new Set<Attempt>();
    const record = createDispatchRecord();
    const lookAhead = createLookAhead();
    let latestPools: ReadonlyMap<string, Candidate[]> = new Map<string, Candidate[]>();
    let unreachedTasks: readonly Task[] = [];

    const stopUnwanted = (): void => {
        for (const attempt of jobTable.attemptsToStop) {
            const worker = cell.workers.get(attempt.worker);
            if (worker !== undefined && attempt.phase !== "stopping" && !stopping.has(attempt)) {
                stopping.add(attempt);
                void stopAttempt(cell, worker, attempt).finally(() => stopping.delete(attempt));
            }
        }
    };

    const takeSnapshot = (now: number): CellSnapshot => {
        latestPools = listPools(cell, latestPools, now);
        const isReviewDue = now - reviewedAt >= REVIEW_INTERVAL_MILLISECONDS;
        if (isReviewDue) {
            reviewedAt = now;
        }
        const mayGiveWay = now - gaveWayAt >= GIVING_WAY_INTERVAL_MILLISECONDS;
        if (mayGiveWay) {
            gaveWayAt = now;
        }
        return {
            epoch: cell.epoch,
            startableTasks: [...jobTable.readyTasks].filter(task =>
                recovery.mayStart(task) && !cell.crashes.isUnderReview(task)
            ),
            pools: latestPools,
            queues: cell.catalog().queues,
            reviewedWorkers: isReviewDue ? listReviewedWorkers(cell, now) : [],
            attemptsToStop: jobTable.attemptsToStop,
            interference: cell.interference,
            durations: cell.durations,
            lookAhead,
            startLimit: MAXIMUM_STARTS_IN_FLIGHT - startsInFlight.size,
            stopLimitMilliseconds: settings.stopLimitMilliseconds,
            mayGiveWay,
            mayStartCopies: now - cell.commits.committedAtMilliseconds() < COPY_CONFIRMATION_MILLISECONDS,
            isUnderReview: task => cell.crashes.isUnderReview(task),
        };
    };

    const move = ({ attempt, isGivingWay = false, leavesInMilliseconds, reason }: Move, now: number): void => {
        const { task, number, worker } = attempt;
        jobTable.attemptsToStop.add(attempt);
        if (isGivingWay) {
            task.gaveWayAtMilliseconds = now;
            cell.metrics.givenWay.inc({ queue: task.entry.queue });
        }
        cell.log.write("attempt-moved", {
            job: task.entry.id,
            task: task.key,
            attempt: number,
            worker,
            reason,
            leavesInMilliseconds,
        });
    };

    const start = (attempt: Attempt, now: number): void => {
        const { number, task } = attempt;
        registerAttempt(jobTable, attempt);
        const worker = cell.workers.get(attempt.worker);
        if (worker === undefined) {
            return;
        }
        cell.log.write("start-ordered", {
            job: task.entry.id,
            queue: task.entry.queue,
            task: task.key,
            attempt: number,
            worker: attempt.worker,
            waitedMilliseconds: Math.round(now - task.readyAtMilliseconds),
            answerAgeMilliseconds: Math.round(now - worker.lastAnswerAtMilliseconds),
        });
        startsInFlight.add(attempt);
        void startAttempt(cell, worker, attempt, undefined).finally(() => {
            startsInFlight.delete(attempt);
            dispatchRequest.wake();
        });
    };

    const dispatch = (requestedAt: number, now: number): void => {
        let work = { orderedTasks: 0, searches: 0 };
        openDueOccurrences(jobTable, now);
        stopUnwanted();
        if (cell.maySendOrders(now) && cell.closures.areConfirmed(now)) {
            const snapshot = takeSnapshot(now);
            const { moves, starts, unreachedTasks: unreached, ...planned } = planPass(snapshot, now);
            work = planned;
            unreachedTasks = unreached;
            moves.forEach(planned => move(planned, now));
            stopUnwanted();
            starts.forEach(attempt => start(attempt, now));
        }
        const delayMilliseconds = Math.max(0, now - requestedAt - BATCHING_MILLISECONDS);
        const reservedWorkers = lookAhead.reservedWorkers();
        record.add({ delayMilliseconds, milliseconds: clock() - now, ...work, reservedWorkers });
    };

    return {
        requestDispatch: () => dispatchRequest.wake(),
        takeWork: () => record.take(),
        latestPass() {
            const [oldestStart] = startsInFlight;
            return {
                pools: latestPools,
                unreachedTasks,
                startsInFlight: startsInFlight.size,
                oldestStartAtMilliseconds: oldestStart?.orderedAtMilliseconds,
            };
        },
        async run() {
            while (!signal.aborted) {
                const requestedAt = clock();
                // Handles changes that arrive within a few milliseconds together.
                await pause(BATCHING_MILLISECONDS);
                if (!isAborted(signal)) {
                    dispatch(requestedAt, clock());
                }
                await dispatchRequest.wait(LONGEST_IDLE_WAIT_MILLISECONDS, signal);
            }
        },
    };
}

function listReviewedWorkers({ jobTable, workers }: CellContext, now: number): ReviewedWorker[] {
    return [...workers.values()].map(worker => ({
        id: worker.listed.id,
        load: jobTable.occupancy.load(worker.listed.id),
        isAnswering: worker.contact === "answering",
        drainingSinceMilliseconds: worker.drainingSinceMilliseconds,
        leavesAtMilliseconds: worker.leavesAtMilliseconds,
        isUnreliable: worker.contact === "silent" || now < worker.health.quarantinedUntilMilliseconds,
    }));
}
