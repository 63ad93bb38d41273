/**
 * What a worker's report means for the books.
 */
import { recordAttemptEnd, recordLostAttempt, recordRunningAttempt } from "../job-table/attempts.js";
import type { JobTable } from "../job-table/job-table.js";
import type { Attempt } from "../job-table/task.js";
import type { EndedAttempt, RunningAttempt, WorkerReport } from "../model/worker.js";
import { recordSuccess } from "../policy/health.js";
import type { CellWorker } from "./worker.js";

/** What a report has brought. */
export interface ReportOutcome {
    /** The worker has started anew: all that it ran before is over. */
    readonly hasRestarted: boolean;
    /** Runs that belong to no task of the cell. */
    readonly foreign: readonly RunningAttempt[];
    /** Ends that had not been in the books. */
    readonly ended: readonly { readonly end: EndedAttempt; readonly attempt: Attempt | undefined; }[];
    /** Attempts that the worker no longer knows. */
    readonly lost: readonly Attempt[];
    /** Attempts that nobody had told the books of. */
    readonly adopted: number;
}

/** Takes a report in. */
export function applyReport(
    jobTable: JobTable,
    worker: CellWorker,
    report: WorkerReport,
    sentAt: number,
    now: number,
): ReportOutcome {
    const { id } = worker.listed;
    const lost: Attempt[] = [];
    const markLost = (attempt: Attempt): void => {
        lost.push(attempt);
        recordLostAttempt(jobTable, attempt, now);
    };
    const hasRestarted = worker.incarnation !== undefined && report.incarnation !== undefined
        && report.incarnation !== worker.incarnation;
    if (hasRestarted) {
        resetWorkerState(worker);
        [...jobTable.occupancy.load(id).attempts].forEach(markLost);
    }
    worker.incarnation = report.incarnation ?? worker.incarnation;
    if (worker.clock === undefined || report.clockMilliseconds >= worker.clock.workerMilliseconds) {
        // Counted from the sending, so that the estimate is never behind what the worker's clock may show.
        worker.clock = { workerMilliseconds: report.clockMilliseconds, atMilliseconds: now };
    }
    worker.contact = "answering";
    worker.lastAnswerAtMilliseconds = Math.max(worker.lastAnswerAtMilliseconds, sentAt);

    const ended = report.ended.filter(({ sequence }) => sequence > worker.recordedSequence).map(end => {
        worker.recordedSequence = end.sequence;
        return { end, attempt: recordAttemptEnd(jobTable, id, end, now) };
    });
    const before = new Set(jobTable.occupancy.load(id).attempts);
    const reported = new Set<Attempt>();
    const foreign: RunningAttempt[] = [];
    let adopted = 0;
    for (const running of report.running) {
        const attempt = recordRunningAttempt(jobTable, id, running, now);
        if (attempt === undefined) {
            foreign.push(running);
            continue;
        }
        reported.add(attempt);
        attempt.confirmedClockMilliseconds ??= report.clockMilliseconds;
        adopted += before.has(attempt) ? 0 : 1;
    }
    for (const attempt of before) {
        const { confirmedClockMilliseconds } = attempt;
        // A start may have been confirmed after the worker wrote this report.
        const isMissing = !reported.has(attempt) && confirmedClockMilliseconds !== undefined
            && confirmedClockMilliseconds < report.clockMilliseconds;
        if (isMissing) {
            markLost(attempt);
        }
    }
    return { hasRestarted, foreign, ended, lost, adopted };
}

/** What was known of a worker's earlier life no longer holds. */
function resetWorkerState(worker: CellWorker): void {
    worker.recordedSequence = 0;
    worker.committedSequence = 0;
    worker.leaseUntilMilliseconds = 0;
    worker.clock = undefined;
    recordSuccess(worker.health);
    worker.health.quarantinedUntilMilliseconds = 0;
}
