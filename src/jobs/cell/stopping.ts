/**
 * Stops attempts that nobody wants any more.
 */
import { formatFailure } from "../../core/errors.js";
import { pause } from "../../core/time.js";
import type { Attempt } from "../job-table/task.js";
import type { TaskKey } from "../model/task-key.js";
import type { CellContext } from "./context.js";
import type { CellWorker } from "./worker.js";

/** Stops an attempt; resolves when the worker has confirmed it, or the attempt is over. */
export async function stopAttempt(cell: CellContext, worker: CellWorker, attempt: Attempt): Promise<void> {
    const { jobTable, clock, settings } = cell;
    while (!cell.signal.aborted && jobTable.attemptsToStop.has(attempt)) {
        if (worker.contact === "answering" && cell.maySendOrders(clock())) {
            const confirmedClock = await orderStop(cell, worker, attempt.task.key, attempt.number);
            if (confirmedClock !== undefined) {
                // From now on a report without it means that it is gone, and an order that is still on its way is void.
                attempt.phase = "stopping";
                attempt.confirmedClockMilliseconds = confirmedClock;
                return;
            }
        }
        await pause(settings.orderRetryMilliseconds, cell.signal);
    }
}

/** Sends one stop order; gives the worker's clock where it was confirmed. */
export async function orderStop(
    cell: CellContext,
    worker: CellWorker,
    task: TaskKey,
    attempt: number,
): Promise<number | undefined> {
    const answer = await cell.orders.stop(worker.listed, { epoch: cell.epoch, task, attempt });
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
