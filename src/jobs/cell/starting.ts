/**
 * Starts an attempt on a worker and sees to it until the worker has confirmed it or it certainly never begins.
 */
import { formatFailure } from "../../core/errors.js";
import { pause } from "../../core/time.js";
import { confirmStart, withdrawAttempt } from "../job-table/attempts.js";
import type { Attempt } from "../job-table/task.js";
import type { StartAnswer } from "../model/worker.js";
import type { CellContext } from "./context.js";
import { grantLease } from "./worker.js";
import type { CellWorker } from "./worker.js";

/** Times that a start is sent again whose answer was lost, before it is called off. */
const MAXIMUM_START_TRIES = 3;

/** Wait before a worker gets tasks again that refused one for want of room: its next report tells what is there. */
const NO_CAPACITY_WAIT_MILLISECONDS = 300;

/** Wait before a worker gets tasks again that turned one away unread. */
const UNAVAILABLE_WAIT_MILLISECONDS = 500;

/** Orders the attempt; resolves when nothing is left to do about its start. */
export async function startAttempt(
    cell: CellContext,
    worker: CellWorker,
    attempt: Attempt,
    ticket: string | undefined,
): Promise<void> {
    const { jobTable, clock, metrics, settings } = cell;
    const { entry, key } = attempt.task;
    metrics.waitSeconds.observe(
        { queue: entry.queue },
        Math.max(0, attempt.orderedAtMilliseconds - attempt.task.readyAtMilliseconds) / 1_000,
    );
    // Repeated orders carry the first one's lease, so that a worker that cannot be heard lapses in time.
    const leaseUntilMilliseconds = grantLease(worker, clock(), settings.leaseMilliseconds);
    if (leaseUntilMilliseconds === undefined) {
        withdrawAttempt(jobTable, attempt, clock());
        return;
    }
    for (let tries = 1; !cell.signal.aborted && attempt.phase === "ordered"; tries++) {
        const answer = await cell.orders.start(worker.listed, {
            epoch: cell.epoch,
            task: key,
            attempt: attempt.number,
            payload: entry.submission.payload,
            leaseUntilMilliseconds,
            checkpoint: attempt.checkpoint,
            ...(ticket === undefined ? {} : { ticket }),
        });
        const now = clock();
        if (answer.isOk) {
            applyAnswer(cell, worker, attempt, answer.value, now);
            return;
        }
        const { code } = answer.error;
        metrics.orders.inc({ order: "start", outcome: code });
        cell.log.write("start-unanswered", {
            job: entry.id,
            task: key,
            attempt: attempt.number,
            worker: worker.listed.id,
            tries,
            failure: formatFailure(answer.error),
        });
        if (code === "fenced") {
            cell.handleOwnerReplaced(formatFailure(answer.error), worker.listed.id);
            return;
        }
        if (code === "conflict") {
            // The worker at this address is another one: what this one ran is over, and the order was not carried out.
            withdrawAttempt(jobTable, attempt, now);
            worker.startsFromMilliseconds = now + UNAVAILABLE_WAIT_MILLISECONDS;
            cell.requestDispatch();
            return;
        }
        if (code === "unavailable" && tries === 1) {
            // Nothing was done, and no earlier order may still be on its way.
            withdrawAttempt(jobTable, attempt, now);
            worker.startsFromMilliseconds = now + UNAVAILABLE_WAIT_MILLISECONDS;
            cell.requestDispatch();
            return;
        }
        if (tries >= MAXIMUM_START_TRIES) {
            // Stopping it shuts the order out, wherever it may still be.
            jobTable.attemptsToStop.add(attempt);
            cell.requestDispatch();
            return;
        }
        metrics.retries.inc({ reason: `start-${code}` });
        await pause(settings.orderRetryMilliseconds, cell.signal);
    }
}

function applyAnswer(cell: CellContext, worker: CellWorker, attempt: Attempt, answer: StartAnswer, now: number): void {
    const { jobTable, metrics } = cell;
    const { entry, key } = attempt.task;
    if (answer.kind === "started") {
        metrics.orders.inc({ order: "start", outcome: "started" });
        metrics.startSeconds.observe((now - attempt.orderedAtMilliseconds) / 1_000);
        confirmStart(jobTable, attempt, answer.clockMilliseconds, now);
        cell.commits.requestCommit(false);
        return;
    }
    const { refusal, clockMilliseconds } = answer;
    metrics.orders.inc({ order: "start", outcome: refusal });
    cell.log.write("start-refused", {
        job: entry.id,
        task: key,
        attempt: attempt.number,
        worker: worker.listed.id,
        refusal,
        used: jobTable.occupancy.load(worker.listed.id).used,
        capacity: worker.listed.capacity,
    });
    if (refusal === "attempt-over" && clockMilliseconds !== undefined) {
        // It has run or was stopped there; the next report says how it ended, or that it is gone.
        confirmStart(jobTable, attempt, clockMilliseconds, now);
        return;
    }
    if (refusal === "no-room") {
        worker.startsFromMilliseconds = now + NO_CAPACITY_WAIT_MILLISECONDS;
    }
    withdrawAttempt(jobTable, attempt, now);
    cell.requestDispatch();
}
