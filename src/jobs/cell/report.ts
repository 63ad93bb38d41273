/**
 * Applies a worker's report to the state of the jobs.
 */
import { recordAttemptEnd, recordLostAttempt, recordRunningAttempt } from "../job-table/attempts.js";
import type { JobTable } from "../job-table/job-table.js";
import { expectLateStart, mayStartLate } from "../job-table/late-starts.js";
import type { Attempt } from "../job-table/task.js";
import { LATEST_ORDER_MILLISECONDS } from "../model/worker.js";
import type { EndedAttempt, RunningAttempt, WorkerReport } from "../model/worker.js";
import { recordSuccess } from "../policy/health.js";
import { hasStoppedListing } from "./worker.js";
import type { CellWorker } from "./worker.js";

/** Changes that a report led to. */
export interface ReportOutcome {
    /** Whether the worker has restarted, which ended all its former attempts. */
    readonly hasRestarted: boolean;
    /** Attempts that belong to no task of the cell. */
    readonly foreign: readonly RunningAttempt[];
    /** Ends that had not been recorded before. */
    readonly ended: readonly { readonly end: EndedAttempt; readonly attempt: Attempt | undefined; }[];
    /** Attempts that the worker no longer lists; if it has not listed all ends, only those whose ends it may never list. */
    readonly lost: readonly Attempt[];
    /** Number of reported attempts that had not been recorded before. */
    readonly adopted: number;
    /** Attempts that have started although they are to be stopped, in the first report that lists them. */
    readonly unwanted: readonly Attempt[];
}

/** Applies a report that was requested at `sentAt` and received at `now`. */
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
        // Orders without an answer may still start their attempts; they are repeated, and then stopped.
        for (const attempt of jobTable.occupancy.load(id).attempts.filter(({ phase }) => phase !== "ordered")) {
            if (mayStartLate(attempt, now)) {
                expectLateStart(jobTable, attempt, now);
            }
            else {
                markLost(attempt);
            }
        }
    }
    worker.incarnation = report.incarnation ?? worker.incarnation;
    if (worker.clock === undefined || report.clockMilliseconds >= worker.clock.workerMilliseconds) {
        // Measured from the receipt, so that the travel time of the report does not put the estimate ahead of the worker's clock.
        worker.clock = { workerMilliseconds: report.clockMilliseconds, atMilliseconds: now };
    }
    worker.contact = "answering";
    worker.hasReportedAll = report.isComplete;
    worker.lastAnswerAtMilliseconds = Math.max(worker.lastAnswerAtMilliseconds, sentAt);

    const ended = report.ended.filter(({ sequence }) => sequence > worker.recordedSequence).map(end => {
        worker.recordedSequence = end.sequence;
        return { end, attempt: recordAttemptEnd(jobTable, id, end, now) };
    });
    const isCommitAwaited = worker.recordedSequence > worker.committedSequence;
    if (hasRestarted || report.isComplete || ended.length > 0 || isCommitAwaited) {
        worker.endsProgressedAtMilliseconds = now;
    }
    const before = new Set(jobTable.occupancy.load(id).attempts);
    const reported = new Set<Attempt>();
    const foreign: RunningAttempt[] = [];
    const unwanted: Attempt[] = [];
    let adopted = 0;
    const unconfirmed = new Set([...before].filter(({ phase }) => phase === "ordered"));
    for (const running of report.running) {
        const attempt = recordRunningAttempt(jobTable, id, running, now);
        if (attempt === undefined) {
            foreign.push(running);
            continue;
        }
        reported.add(attempt);
        attempt.confirmedClockMilliseconds ??= report.clockMilliseconds;
        adopted += before.has(attempt) ? 0 : 1;
        if (jobTable.attemptsToStop.has(attempt) && (unconfirmed.has(attempt) || !before.has(attempt))) {
            unwanted.push(attempt);
        }
    }
    for (const attempt of before) {
        const { confirmedClockMilliseconds, sentAtMilliseconds = Infinity } = attempt;
        // The worker may have written this report before it confirmed the start, and may not have listed all ends. Without an answer to starts
        // and stops, the time after which no start is carried out any more has to pass.
        const isCovered = confirmedClockMilliseconds === undefined
            ? sentAt - sentAtMilliseconds > LATEST_ORDER_MILLISECONDS
            : confirmedClockMilliseconds < report.clockMilliseconds;
        if (reported.has(attempt) || !isCovered) {
            attempt.unlistedSinceMilliseconds = undefined;
            continue;
        }
        attempt.unlistedSinceMilliseconds ??= now;
        if (report.isComplete || mayNeverBeListed(worker, attempt.unlistedSinceMilliseconds, now)) {
            markLost(attempt);
        }
    }
    return { hasRestarted, foreign, ended, lost, adopted, unwanted };
}

/** Whether the end of an attempt that the worker does not run may be among those that it never lists. */
function mayNeverBeListed(worker: CellWorker, unlistedSinceMilliseconds: number, now: number): boolean {
    return hasStoppedListing(worker, now) && now - unlistedSinceMilliseconds > LATEST_ORDER_MILLISECONDS;
}

/** Discards the state of a worker's former incarnation. */
function resetWorkerState(worker: CellWorker): void {
    worker.recordedSequence = 0;
    worker.committedSequence = 0;
    worker.leaseUntilMilliseconds = 0;
    worker.clock = undefined;
    recordSuccess(worker.health);
    worker.health.quarantinedUntilMilliseconds = 0;
}
