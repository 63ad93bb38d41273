/**
 * Starts an attempt on a worker and retries until the worker has confirmed it or the attempt certainly never starts.
 */
import { formatFailure } from "../../core/errors.js";
import { pause } from "../../core/time.js";
import { confirmStart, FULL_PACE_PERCENT, stopRun, withdrawAttempt } from "../job-table/attempts.js";
import type { Attempt } from "../job-table/task.js";
import type { StartAnswer, StartRefusal } from "../model/worker.js";
import type { CellContext } from "./context.js";
import { paceAttempt } from "./pacing.js";
import { findStartObstacle } from "./start-obstacle.js";
import type { StartObstacle } from "./start-obstacle.js";
import { assumeLongestLease, expectLateLease, grantLease, isAnswerOfNewLife, recordUnansweredLease } from "./worker.js";
import type { CellWorker } from "./worker.js";

/** Number of start orders without an answer after which the attempt is stopped. */
const MAXIMUM_START_TRIES = 3;

/** How long a worker gets no starts after it refused one for lack of capacity; its next report shows what it runs. */
const NO_CAPACITY_WAIT_MILLISECONDS = 300;

/** How long a worker gets no starts after it rejected an order without executing it. */
const UNAVAILABLE_WAIT_MILLISECONDS = 500;

/** A start whose outcome is not known yet. */
interface PendingStart {
    readonly cell: CellContext;
    readonly worker: CellWorker;
    readonly attempt: Attempt;
    readonly ticket: string | undefined;
    /** Life of the worker whose clock the lease refers to. */
    incarnation: number | undefined;
    leaseUntilMilliseconds: number;
}

/** Sends the start order. Resolves after its answer or its time limit; an order without an answer is repeated after that. */
export async function startAttempt(
    cell: CellContext,
    worker: CellWorker,
    attempt: Attempt,
    ticket: string | undefined,
): Promise<void> {
    const { jobTable, clock, metrics, settings } = cell;
    metrics.waitSeconds.observe(
        { queue: attempt.task.entry.queue },
        Math.max(0, attempt.orderedAtMilliseconds - attempt.task.readyAtMilliseconds) / 1_000,
    );
    const leaseUntilMilliseconds = grantLease(worker, clock(), settings.leaseMilliseconds);
    if (leaseUntilMilliseconds === undefined) {
        withdrawAttempt(jobTable, attempt);
        return;
    }
    const { incarnation } = worker;
    const start: PendingStart = { cell, worker, attempt, ticket, incarnation, leaseUntilMilliseconds };
    if (!await sendStart(start, 1)) {
        void repeatStart(start);
    }
}

/** Repeats the order until the start is confirmed, withdrawn or handed over to a stop, or the attempt is lost. */
async function repeatStart(start: PendingStart): Promise<void> {
    const { attempt, cell, worker } = start;
    const { clock, settings, signal } = cell;
    for (let tries = 2;; tries++) {
        const failedAt = clock();
        do {
            await pause(settings.orderRetryMilliseconds, signal);
        }
        while (
            isUnconfirmed(start) && !cell.jobTable.attemptsToStop.has(attempt)
            && !(hasReportedSince(worker, failedAt) && mayRepeat(start))
        );
        if (!isUnconfirmed(start)) {
            return;
        }
        const obstacle = findObstacle(start);
        if (obstacle !== undefined) {
            cell.log.write("start-dropped", { ...describeStart(attempt, clock()), tries: tries - 1, obstacle });
            handOverToStop(start);
            return;
        }
        // Retries carry the lease of the first order, so that the lease of a worker whose answers get lost still lapses. That
        // lease is a time on the clock of one life: to a new one it would grant far more.
        if (worker.incarnation !== start.incarnation) {
            start.incarnation = worker.incarnation;
            start.leaseUntilMilliseconds = grantLease(worker, clock(), settings.leaseMilliseconds)
                ?? start.leaseUntilMilliseconds;
        }
        cell.log.write("start-repeated", { ...describeStart(attempt, clock()), tries });
        if (await sendStart(start, tries)) {
            return;
        }
    }
}

/** Whether the outcome is still unknown; an attempt that is lost, because its worker's lease has lapsed, may be started elsewhere. */
function isUnconfirmed({ attempt, cell: { signal } }: PendingStart): boolean {
    return !signal.aborted && attempt.phase === "ordered" && attempt.task.attempts.includes(attempt);
}

function isWanted(start: PendingStart): boolean {
    return isUnconfirmed(start) && findObstacle(start) === undefined;
}

/**
 * Whether the order may be sent now: to the life of the worker for which its lease is meant, and not while the worker runs
 * attempts that this owner does not know. A task that may have crashed its worker waits until that has been reviewed.
 */
function maySend({ attempt, cell, incarnation, worker }: PendingStart): boolean {
    const now = cell.clock();
    return cell.maySendOrders(now) && cell.closures.areConfirmed(now) && !cell.crashes.isUnderReview(attempt.task)
        && worker.incarnation === incarnation && worker.failingSinceMilliseconds === undefined
        && now >= worker.startsFromMilliseconds;
}

/** Whether the order may be repeated now; its lease is renewed if its worker has begun a new life. */
function mayRepeat(start: PendingStart): boolean {
    return maySend({ ...start, incarnation: start.worker.incarnation });
}

function findObstacle({ attempt, cell, worker }: PendingStart): StartObstacle | undefined {
    return findStartObstacle(cell, worker, attempt, cell.clock());
}

/** Leaves an attempt to a stop order, after which the worker rejects start orders that are still in flight. */
function handOverToStop({ attempt, cell }: PendingStart): void {
    stopRun(cell.jobTable, attempt);
    cell.requestDispatch();
}

/** Sends the order once; returns false if it has to be repeated. */
async function sendStart(start: PendingStart, tries: number): Promise<boolean> {
    const { attempt, cell, leaseUntilMilliseconds, ticket, worker } = start;
    const { jobTable, clock, metrics, settings } = cell;
    const { entry, key } = attempt.task;
    const sentAt = clock();
    const { unansweredStartAtMilliseconds: earlierUnansweredAt } = attempt;
    worker.lastStartSentAtMilliseconds = sentAt;
    attempt.sentAtMilliseconds = sentAt;
    attempt.unansweredStartAtMilliseconds = sentAt;
    const answer = await cell.orders.start(worker.listed, {
        epoch: cell.epoch,
        task: key,
        attempt: attempt.number,
        payload: entry.submission.payload,
        leaseUntilMilliseconds,
        checkpoint: attempt.checkpoint,
        ...(ticket === undefined ? {} : { ticket }),
    }, () => {
        const isSent = isWanted(start) && maySend(start);
        attempt.sentAtMilliseconds = isSent ? clock() : attempt.sentAtMilliseconds;
        attempt.unansweredStartAtMilliseconds = attempt.sentAtMilliseconds;
        return isSent;
    });
    const now = clock();
    if (answer.isOk || answer.error.code === "unavailable") {
        attempt.unansweredStartAtMilliseconds = earlierUnansweredAt;
    }
    if (answer.isOk) {
        const { clockMilliseconds } = answer.value;
        if (clockMilliseconds !== undefined && isAnswerOfNewLife(worker, clockMilliseconds, sentAt)) {
            cell.log.write(
                "start-reached-new-life",
                { worker: worker.listed.id, task: key, clockMilliseconds },
                "vital",
            );
            assumeLongestLease(worker, clockMilliseconds, now, settings.workerLeaseLimitMilliseconds);
            expectLateLease(worker, clockMilliseconds, now, settings.workerLeaseLimitMilliseconds);
        }
        if (answer.value.kind === "refused" && answer.value.refusal !== "attempt-over" && tries > 1) {
            // An earlier order may still be carried out, after this one.
            logRefusal(cell, worker, attempt, answer.value.refusal);
            worker.startsFromMilliseconds = Math.max(
                worker.startsFromMilliseconds,
                now + NO_CAPACITY_WAIT_MILLISECONDS,
            );
            handOverToStop(start);
            return true;
        }
        applyAnswer(cell, worker, attempt, answer.value, now);
        return true;
    }
    const { code } = answer.error;
    if (code !== "unavailable") {
        recordUnansweredLease(worker, leaseUntilMilliseconds, sentAt, now);
    }
    metrics.orders.inc({ order: "start", outcome: code });
    cell.log.write("start-unanswered", {
        ...describeStart(attempt, now),
        tries,
        failure: formatFailure(answer.error),
    });
    if (code === "fenced") {
        cell.handleOwnerReplaced(formatFailure(answer.error), worker.listed.id);
        return true;
    }
    // Another incarnation answers at this address: the order was not executed, and the former incarnation has ended.
    const hasOtherWorker = code === "conflict";
    // The order was not executed, and no earlier order can be in flight.
    const wasNeverExecuted = code === "unavailable" && tries === 1;
    if (hasOtherWorker || wasNeverExecuted) {
        // A start that this owner has kept back says nothing about its worker.
        if (hasOtherWorker || isWanted(start) && maySend(start)) {
            worker.startsFromMilliseconds = Math.max(
                worker.startsFromMilliseconds,
                now + UNAVAILABLE_WAIT_MILLISECONDS,
            );
        }
        withdrawAttempt(jobTable, attempt);
        cell.requestDispatch();
        return true;
    }
    if (tries >= MAXIMUM_START_TRIES) {
        handOverToStop(start);
        return true;
    }
    metrics.retries.inc({ reason: `start-${code}` });
    return false;
}

/** Describes a start for the log: which order it belongs to, and whether its job has ended meanwhile. */
export function describeStart({ number, orderedAtMilliseconds, task, worker }: Attempt, now: number) {
    const { entry, key } = task;
    return {
        job: entry.id,
        jobState: entry.state,
        jobEndedMillisecondsAgo: entry.endedAtMilliseconds === undefined
            ? undefined
            : Math.round(now - entry.endedAtMilliseconds),
        task: key,
        attempt: number,
        worker,
        orderedMillisecondsAgo: Math.round(now - orderedAtMilliseconds),
    };
}

/** Whether the worker has reported since a time and its reports do not fail, so that it is known which life is reached. */
function hasReportedSince({ clock, failingSinceMilliseconds }: CellWorker, at: number): boolean {
    return failingSinceMilliseconds === undefined && clock !== undefined && clock.atMilliseconds > at;
}

function applyAnswer(cell: CellContext, worker: CellWorker, attempt: Attempt, answer: StartAnswer, now: number): void {
    const { jobTable, metrics } = cell;
    if (answer.kind === "started") {
        metrics.orders.inc({ order: "start", outcome: "started" });
        metrics.startSeconds.observe((now - attempt.orderedAtMilliseconds) / 1_000);
        if (jobTable.attemptsToStop.has(attempt)) {
            cell.log.write("start-unwanted", { ...describeStart(attempt, now), source: "answer" }, "vital");
        }
        confirmStart(jobTable, attempt, answer.clockMilliseconds, now);
        cell.commits.requestCommit(false);
        if (attempt.pacePercent < FULL_PACE_PERCENT) {
            void paceAttempt(cell, worker, attempt, attempt.pacePercent, FULL_PACE_PERCENT);
        }
        return;
    }
    const { refusal, clockMilliseconds } = answer;
    logRefusal(cell, worker, attempt, refusal);
    if (refusal === "attempt-over" && clockMilliseconds !== undefined) {
        // The attempt has run or was stopped on this worker; the next report contains its end or no longer lists it.
        confirmStart(jobTable, attempt, clockMilliseconds, now);
        return;
    }
    if (refusal === "no-room") {
        worker.startsFromMilliseconds = now + NO_CAPACITY_WAIT_MILLISECONDS;
    }
    withdrawAttempt(jobTable, attempt);
    cell.requestDispatch();
}

function logRefusal(cell: CellContext, { listed }: CellWorker, { number, task }: Attempt, refusal: StartRefusal): void {
    cell.metrics.orders.inc({ order: "start", outcome: refusal });
    cell.log.write("start-refused", {
        job: task.entry.id,
        task: task.key,
        attempt: number,
        worker: listed.id,
        refusal,
        used: cell.jobTable.occupancy.load(listed.id).used,
        capacity: listed.capacity,
    });
}
