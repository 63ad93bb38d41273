/**
 * Stops unwanted attempts.
 */
import { formatFailure } from "../../core/errors.js";
import { pause } from "../../core/time.js";
import type { Attempt } from "../job-table/task.js";
import type { TaskKey } from "../model/task-key.js";
import type { OrderCheck } from "../model/worker.js";
import type { CellContext } from "./context.js";
import type { CellWorker } from "./worker.js";

/** Stops an attempt; resolves when the worker has confirmed the stop or the attempt has ended. */
export async function stopAttempt(cell: CellContext, worker: CellWorker, attempt: Attempt): Promise<void> {
    const { jobTable, clock, settings } = cell;
    const isWanted = (): boolean => jobTable.attemptsToStop.has(attempt) && cell.maySendOrders(clock());
    while (!cell.signal.aborted && jobTable.attemptsToStop.has(attempt)) {
        if (worker.contact === "answering" && isWanted()) {
            const { incarnation } = worker;
            const confirmedClock = await orderStop(cell, worker, attempt.task.key, attempt.number, isWanted);
            // The clock of a former life says nothing about the reports of the present one, which may still get the start.
            if (confirmedClock !== undefined && worker.incarnation === incarnation) {
                // From now on a report without the attempt means that it has ended, and the worker rejects a delayed start order.
                attempt.phase = "stopping";
                attempt.confirmedClockMilliseconds = confirmedClock;
                return;
            }
        }
        await pause(settings.orderRetryMilliseconds, cell.signal);
    }
}

/** Sends one stop order; returns the worker's clock in milliseconds if the worker confirmed it. */
export async function orderStop(
    cell: CellContext,
    worker: CellWorker,
    task: TaskKey,
    attempt: number,
    isWanted: OrderCheck,
): Promise<number | undefined> {
    const answer = await cell.orders.stop(worker.listed, { epoch: cell.epoch, task, attempt }, isWanted);
    cell.metrics.orders.inc({ order: "stop", outcome: answer.isOk ? "confirmed" : answer.error.code });
    if (answer.isOk) {
        cell.log.write("stop-confirmed", { task, attempt, worker: worker.listed.id });
        return answer.value.clockMilliseconds;
    }
    cell.log.write("stop-unanswered", {
        task,
        attempt,
        worker: worker.listed.id,
        failure: formatFailure(answer.error),
    });
    if (answer.error.code === "fenced") {
        cell.handleOwnerReplaced(formatFailure(answer.error), worker.listed.id);
    }
    return undefined;
}
