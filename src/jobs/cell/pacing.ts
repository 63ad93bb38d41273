/**
 * Sends orders that change the pace of fillers.
 */
import { formatFailure } from "../../core/errors.js";
import type { Attempt } from "../job-table/task.js";
import type { CellContext } from "./context.js";
import type { CellWorker } from "./worker.js";

/** Orders a pace. After a failure the former pace is restored, and the next report leads to a new decision. */
export async function paceAttempt(
    cell: CellContext,
    worker: CellWorker,
    attempt: Attempt,
    percent: number,
    previousPercent = attempt.pacePercent,
): Promise<void> {
    const isWanted = (): boolean => attempt.task.attempts.includes(attempt) && cell.maySendOrders(cell.clock());
    if (!isWanted()) {
        return;
    }
    attempt.pacePercent = percent;
    attempt.pacedAtMilliseconds = cell.clock();
    const { key, entry } = attempt.task;
    const answer = await cell.orders.pace(worker.listed, {
        epoch: cell.epoch,
        task: key,
        attempt: attempt.number,
        percent,
    }, isWanted);
    cell.metrics.orders.inc({ order: "pace", outcome: answer.isOk ? "confirmed" : answer.error.code });
    cell.log.write("pace-ordered", {
        job: entry.id,
        task: key,
        attempt: attempt.number,
        worker: worker.listed.id,
        percent,
        former: previousPercent,
        ...(answer.isErr ? { failure: formatFailure(answer.error) } : {}),
    });
    if (answer.isErr) {
        attempt.pacePercent = previousPercent;
        if (answer.error.code === "fenced") {
            cell.handleOwnerReplaced(formatFailure(answer.error), worker.listed.id);
        }
    }
}
