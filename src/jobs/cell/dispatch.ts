/**
 * Gives ready tasks to workers and stops what is unwanted, whenever something has changed.
 */
import { isAborted, pause } from "../../core/time.js";
import { createWake } from "../../core/wake.js";
import { orderAttempt } from "../board/attempts.js";
import { companionsOf, progressOf } from "../board/board.js";
import { openDueOccurrences } from "../board/intake.js";
import type { StepProgress } from "../board/job.js";
import { isServing } from "../board/occupancy.js";
import { requeueTask } from "../board/progress.js";
import { nextAttemptNumber } from "../board/task.js";
import type { Attempt, Task } from "../board/task.js";
import { needsCopy } from "../policy/copies.js";
import { chooseLeavers } from "../policy/evacuation.js";
import { isOverdue, orderTasks } from "../policy/order.js";
import { choosePlace, isStarving, reserveRoom } from "../policy/placement.js";
import type { Candidate } from "../policy/placement.js";
import type { CellContext } from "./context.js";
import type { Recovery } from "./recovery.js";
import { startAttempt } from "./starting.js";
import { stopAttempt } from "./stopping.js";
import type { CellWorker } from "./worker.js";

/** Longest time between two looks: conditions that only time brings about are seen after this. */
const LOOK_MILLISECONDS = 250;

/** Time between two looks at what runs where it should not stay. */
const REVIEW_MILLISECONDS = 200;

/** Starts whose answers are awaited; more of them would only wait in this process, behind what may become more urgent. */
const STARTS_IN_FLIGHT = 40;

/**
 * A copy is started only by an owner whose last commit is no older: a successor may know that the task is done. The
 * platform's pages allow a copy for a second after that.
 */
const COPY_CONFIRMATION_MILLISECONDS = 700;

/** Workers whose room is kept at the same time for lasting tasks; the others stay open to short ones. */
const MOST_RESERVATIONS = 2;

/** One look serves all that has changed within this time; a short job has some hundred milliseconds of slack. */
const GATHER_MILLISECONDS = 5;

/** Starts and stops of a cell. */
export interface Dispatcher {
    wake(): void;
    run(): Promise<void>;
}

/** Creates the dispatcher of a cell. */
export function createDispatcher(cell: CellContext, recovery: Recovery): Dispatcher {
    const { board, clock, signal } = cell;
    const stopping = new Set<Attempt>();
    const news = createWake();
    let reviewedAt = 0;
    let startsInFlight = 0;

    const stopUnwanted = (): void => {
        for (const attempt of board.unwanted) {
            const worker = cell.workers.get(attempt.worker);
            if (worker !== undefined && attempt.phase !== "stopping" && !stopping.has(attempt)) {
                stopping.add(attempt);
                void stopAttempt(cell, worker, attempt).finally(() => stopping.delete(attempt));
            }
        }
    };

    const place = (task: Task, candidates: readonly Candidate[], now: number): boolean => {
        const members = companionsOf(task);
        const placed: Attempt[] = [];
        const number = Math.max(...members.map(member => nextAttemptNumber(member, cell.epoch)));
        for (const member of members) {
            const options = { isStarving: isStarving(member, candidates, now) };
            const candidate = choosePlace(member, candidates, cell.interference, now, options);
            if (candidate === undefined) {
                break;
            }
            noteTrials(cell, member, candidate, now);
            placed.push(orderAttempt(board, member, candidate.worker.id, number, now));
        }
        if (placed.length < members.length) {
            // A gang starts whole or not at all.
            placed.forEach(attempt => unbook(attempt, now));
            return false;
        }
        for (const attempt of placed) {
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
                    news.wake();
                });
            }
        }
        return true;
    };

    const unbook = (attempt: Attempt, now: number): void => {
        const { attempts } = attempt.task;
        attempts.splice(attempts.indexOf(attempt), 1);
        board.occupancy.remove(attempt);
        requeueTask(board, attempt.task, now);
    };

    const candidatesFor = (task: Task, candidates: ReadonlyMap<string, Candidate[]>): readonly Candidate[] => {
        const pool = cell.catalog().queues.get(task.entry.queue)?.pool;
        return pool === undefined ? [] : candidates.get(pool) ?? [];
    };

    /** Tasks leave workers that are about to go, if there is a place for them. */
    const evacuate = (candidates: ReadonlyMap<string, Candidate[]>, now: number): void => {
        for (const worker of cell.workers.values()) {
            const { drainingSinceMilliseconds: since, leavesAtMilliseconds: leavesAt } = worker;
            if (since === undefined || worker.contact !== "answering") {
                continue;
            }
            const load = board.occupancy.load(worker.listed.id);
            for (const attempt of chooseLeavers(load, leavesAt, since, cell.durations, now)) {
                if (choosePlace(attempt.task, candidatesFor(attempt.task, candidates), cell.interference, now)) {
                    board.unwanted.add(attempt);
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
            const isDoubtful = worker.contact === "silent" || now < worker.health.quarantinedUntilMilliseconds;
            for (const attempt of board.occupancy.load(worker.listed.id).attempts) {
                if (needsCopy(attempt, isDoubtful, cell.durations, now) && !board.unwanted.has(attempt)) {
                    const others = candidatesFor(attempt.task, candidates)
                        .filter(candidate => candidate.worker.id !== worker.listed.id);
                    place(attempt.task, others, now);
                }
            }
        }
    };

    const dispatch = (now: number): void => {
        openDueOccurrences(board, now);
        stopUnwanted();
        if (!cell.mayOrder(now)) {
            return;
        }
        const { queues } = cell.catalog();
        const candidates = listCandidates(cell, now);
        if (now - reviewedAt >= REVIEW_MILLISECONDS) {
            reviewedAt = now;
            evacuate(candidates, now);
            if (now - cell.commits.committedAtMilliseconds() < COPY_CONFIRMATION_MILLISECONDS) {
                startCopies(candidates, now);
            }
        }
        if (board.ready.size === 0) {
            return;
        }
        const startable = [...board.ready].filter(task => recovery.mayStart(task));
        // Tasks of one step are alike: where one has found no place, the others need not look.
        const hopeless = new Set<StepProgress>();
        let reservations = 0;
        const terms = { queue: ({ entry }: Task) => queues.get(entry.queue), durations: cell.durations };
        for (const task of orderTasks(startable, terms, now)) {
            if (startsInFlight >= STARTS_IN_FLIGHT) {
                break;
            }
            const step = progressOf(task);
            if (!board.ready.has(task) || hopeless.has(step)) {
                continue;
            }
            const suited = candidatesFor(task, candidates);
            if (!place(task, suited, now)) {
                hopeless.add(step);
                if (isOverdue(task, now) && reservations < MOST_RESERVATIONS) {
                    reservations += 1;
                    reserveRoom(task, suited);
                }
            }
        }
    };

    return {
        wake: () => news.wake(),
        async run() {
            while (!signal.aborted) {
                // What comes within a few milliseconds is looked at together.
                await pause(GATHER_MILLISECONDS);
                if (!isAborted(signal)) {
                    dispatch(clock());
                }
                await news.wait(LOOK_MILLISECONDS, signal);
            }
        },
    };
}

/** What a filler does to those beside it shows within a second. */
function noteTrials({ interference }: CellContext, { step }: Task, { load }: Candidate, now: number): void {
    if (step.isFiller) {
        load.attempts.filter(({ task }) => isServing(task.step))
            .forEach(({ task }) => interference.noteTrial(task.step.image, step.image, now));
    }
}

/** Workers that may get tasks now, by pool. */
function listCandidates(cell: CellContext, now: number): Map<string, Candidate[]> {
    const pools = new Map<string, Candidate[]>();
    for (const worker of cell.workers.values()) {
        if (!mayStartOn(worker, now, cell.settings.unlistedGraceMilliseconds)) {
            continue;
        }
        const candidates = pools.get(worker.listed.pool) ?? [];
        candidates.push({ worker: worker.listed, load: cell.board.occupancy.load(worker.listed.id) });
        pools.set(worker.listed.pool, candidates);
    }
    return pools;
}

function mayStartOn(worker: CellWorker, now: number, graceMilliseconds: number): boolean {
    const isListed = worker.unlistedSinceMilliseconds === undefined
        || now - worker.unlistedSinceMilliseconds < graceMilliseconds;
    return worker.contact === "answering" && worker.isRecorded && isListed && !worker.listed.isDraining
        && now >= worker.startsFromMilliseconds && now >= worker.health.quarantinedUntilMilliseconds;
}
