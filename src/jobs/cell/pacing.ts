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
    const isAllowed = (): boolean => attempt.task.attempts.includes(attempt) && cell.maySendOrders(cell.clock());
    if (!isAllowed()) {
        return;
    }
    const pacedAt = cell.clock();
    attempt.pacePercent = percent;
    attempt.pacedAtMilliseconds = pacedAt;
    /** Whether no other pace has been ordered since. */
    const isLatest = (): boolean => attempt.pacePercent === percent && attempt.pacedAtMilliseconds === pacedAt;
    const { key, entry } = attempt.task;
    const answer = await cell.orders.pace(worker.listed, {
        epoch: cell.epoch,
        task: key,
        attempt: attempt.number,
        percent,
    }, () => isLatest() && isAllowed());
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
        if (isLatest()) {
            attempt.pacePercent = previousPercent;
        }
        if (answer.error.code === "fenced") {
            cell.handleOwnerReplaced(formatFailure(answer.error), worker.listed.id);
        }
    }
}
