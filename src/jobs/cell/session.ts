/**
 * The session with one worker: renews its lease, applies its reports, and acknowledges ends after their commit.
 */
import { formatFailure } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import { isAborted, pause } from "../../core/time.js";
import { recordLostAttempt } from "../job-table/attempts.js";
import type { RunningAttempt, WorkerReport } from "../model/worker.js";
import { sharesCores } from "../policy/candidate.js";
import { isSlow, listStalledAttempts, quarantine, recordFailedJob, recordSuccess } from "../policy/health.js";
import { choosePaces, isWorthMoving } from "../policy/pacing.js";
import type { CellContext } from "./context.js";
import { isProofOfCrash } from "./crashes.js";
import { recordPresentLife } from "./lives.js";
import { paceAttempt } from "./pacing.js";
import { applyReport } from "./report.js";
import { recordDurations } from "./run-durations.js";
import { describeStart } from "./starting.js";
import { orderStop } from "./stopping.js";
import {
    assumeFormerLease,
    assumeLongestLease,
    attemptsLapsedAt,
    expectLateLease,
    grantLease,
    hasUnreportedStart,
    recordUnansweredLease,
} from "./worker.js";
import type { CellWorker } from "./worker.js";

/** Failed hold orders after which a worker counts as silent; a single failure may be just a lost connection. */
const SILENT_AFTER_FAILURES = 2;

/** Wait before the next hold order after one that failed. */
const SILENT_RETRY_MILLISECONDS = 150;

/**
 * Longest wait for a report where fillers run beside serving tasks, since workers' measurements cover the last 500 ms, and
 * while the store does not confirm the ownership.
 */
const SHORT_WAIT_MILLISECONDS = 400;

/** Longest wait for a commit before the next report is requested; a commit takes a third of this. */
const LONGEST_COMMIT_WAIT_MILLISECONDS = 100;

/** Time without starts after a report that listed foreign attempts; the next report arrives before it ends. */
const FOREIGN_RUN_WAIT_MILLISECONDS = 1_500;

/** Renews a worker's lease and applies its reports until the signal is aborted. */
export async function runSession(cell: CellContext, worker: CellWorker, signal: AbortSignal): Promise<void> {
    const { clock, settings } = cell;
    const pendingStops = new Set<string>();
    let failures = 0;
    let isLeased = false;
    while (!signal.aborted) {
        const sentAt = clock();
        const mayGrant = cell.maySendOrders(sentAt) && !worker.isLeaseWithheld;
        // An order without an answer may have been executed. If the worker receives orders but its answers get lost,
        // extending its lease with each retry would never let the lease lapse.
        const lease = failures === 0 && mayGrant
            ? grantLease(worker, sentAt, settings.leaseMilliseconds)
            : undefined;
        const answer = await cell.orders.hold(worker.listed, {
            epoch: cell.epoch,
            // After a failure another life may answer, whose ends have the numbers of former ones.
            acknowledged: failures === 0 ? worker.committedSequence : 0,
            ...(lease === undefined ? {} : { leaseUntilMilliseconds: lease }),
            // The first answer must not wait: it contains the worker's clock and its attempts.
            waitMilliseconds: isLeased && failures === 0 ? chooseWait(cell, worker, sentAt) : 0,
        });
        if (isAborted(signal)) {
            return;
        }
        const now = clock();
        if (answer.isErr) {
            failures += 1;
            worker.failingSinceMilliseconds ??= now;
            if (lease !== undefined && answer.error.code !== "unavailable") {
                recordUnansweredLease(worker, lease, sentAt, now);
            }
            if (answer.error.code === "fenced") {
                cell.handleOwnerReplaced(formatFailure(answer.error), worker.listed.id);
                return;
            }
            handleSilence(cell, worker, answer.error, failures, now);
            await pause(SILENT_RETRY_MILLISECONDS, signal);
            continue;
        }
        failures = 0;
        isLeased = lease !== undefined;
        logContact(cell, worker, answer.value);
        const isNews = worker.hasReportedAll || worker.contact === "unknown";
        // If this report comes from a new life, an order with a time of the former life's clock may have reached it.
        const hasFormerTime = lease !== undefined || hasUnreportedStart(worker);
        const isFirstReport = worker.clock === undefined;
        const { clockMilliseconds } = answer.value;
        const wereCoresShared = sharesCores({
            worker: worker.listed,
            load: cell.jobTable.occupancy.load(worker.listed.id),
        });
        const outcome = applyReport(cell.jobTable, worker, answer.value, sentAt, now);
        if (isFirstReport && worker.isInherited) {
            const known = cell.jobTable.lives.get(worker.listed.id);
            assumeFormerLease(worker, clockMilliseconds, known, settings, now);
        }
        if (outcome.hasRestarted) {
            isLeased = false;
            if (hasFormerTime) {
                assumeLongestLease(worker, clockMilliseconds, now, settings.workerLeaseLimitMilliseconds);
            }
            expectLateLease(worker, clockMilliseconds, now, settings.workerLeaseLimitMilliseconds);
            const { attempts } = cell.jobTable.occupancy.load(worker.listed.id);
            const unanswered = attempts.filter(({ phase }) => phase === "ordered");
            cell.crashes.record(worker, [...outcome.lost, ...unanswered], now);
        }
        if (isFirstReport || outcome.hasRestarted) {
            recordPresentLife(cell, worker, outcome.hasRestarted);
        }
        if (isNews && !worker.hasReportedAll) {
            cell.log.write("report-incomplete", { worker: worker.listed.id, ends: answer.value.ended.length }, "vital");
        }
        worker.failingSinceMilliseconds = undefined;
        worker.hasCrashed = false;
        logOutcome(cell, worker, outcome, now);
        recordDurations(cell, outcome, { wereCoresShared }, now);
        reviewHealth(cell, worker, outcome.ended, now);
        adjustPaces(cell, worker, now);
        worker.foreignSinceMilliseconds = outcome.foreign.length > 0
            ? worker.foreignSinceMilliseconds ?? now
            : undefined;
        if (outcome.foreign.length > 0) {
            // The capacity that these attempts use is unknown.
            worker.startsFromMilliseconds = now + FOREIGN_RUN_WAIT_MILLISECONDS;
            outcome.foreign.forEach(running => void stopForeign(cell, worker, running, pendingStops));
        }
        if (outcome.ended.length > 0 || outcome.lost.length > 0) {
            const isAwaited = cell.jobTable.changes.ended.length > 0;
            cell.commits.requestCommit(isAwaited);
        }
        cell.requestDispatch();
        if (!mayGrant) {
            await pause(SILENT_RETRY_MILLISECONDS, signal);
        }
        if (isLeased) {
            // A worker reports unacknowledged ends again at once, so the next report is requested after their commit.
            await Promise.race([
                worker.committedSequence < worker.recordedSequence
                    ? cell.commits.whenCommitted()
                    : pause(settings.holdGapMilliseconds),
                pause(LONGEST_COMMIT_WAIT_MILLISECONDS),
            ]);
        }
    }
}

/**
 * Chooses how long a report may wait: shorter where fillers run beside serving tasks, as often as measurements change, and
 * while answers of workers have to prove the ownership.
 */
function chooseWait({ commits, jobTable, settings }: CellContext, { listed }: CellWorker, now: number): number {
    const load = jobTable.occupancy.load(listed.id);
    const isShared = load.servingCount > 0 && load.fillerMillicores > 0;
    const isConfirmed = now - commits.confirmedAtMilliseconds() < settings.contactMilliseconds / 2;
    return isShared || !isConfirmed
        ? Math.min(settings.holdWaitMilliseconds, SHORT_WAIT_MILLISECONDS)
        : settings.holdWaitMilliseconds;
}

/** Updates the worker's health from ended attempts, and stops attempts that are stalled. */
function reviewHealth(
    cell: CellContext,
    worker: CellWorker,
    ended: ReturnType<typeof applyReport>["ended"],
    now: number,
): void {
    const { jobTable, durations } = cell;
    const { capacity, id } = worker.listed;
    const logQuarantine = (reason: string, evidence: object): void =>
        cell.log.write("worker-quarantined", {
            worker: id,
            reason,
            ...evidence,
            milliseconds: Math.round(worker.health.quarantinedUntilMilliseconds - now),
        }, "vital");
    for (const { end } of ended) {
        if (end.end === "done") {
            recordSuccess(worker.health);
        }
        const job = end.task.slice(0, end.task.indexOf("."));
        if (end.end === "failed" && recordFailedJob(worker.health, job, now)) {
            logQuarantine("failures", { jobs: [...worker.health.failedJobs.keys()] });
        }
    }
    if (!worker.hasReportedAll) {
        // Attempts that make no progress may just have ended.
        return;
    }
    const load = jobTable.occupancy.load(id);
    const stalled = listStalledAttempts(load, { capacityMillicores: capacity.millicores, durations }, now);
    if (stalled.length > 0) {
        stalled.forEach(attempt => jobTable.attemptsToStop.add(attempt));
        cell.requestDispatch();
        if (quarantine(worker.health, now)) {
            logQuarantine("standstill", { attempts: stalled.length });
        }
    }
    if (isSlow(load, durations, now) && quarantine(worker.health, now)) {
        logQuarantine("slow", { attempts: load.attempts.length });
    }
}

/** Updates the interference model from the latest measurements, and changes the pace of fillers. */
function adjustPaces(cell: CellContext, worker: CellWorker, now: number): void {
    const { jobTable, interference } = cell;
    const { capacity, id } = worker.listed;
    const load = jobTable.occupancy.load(id);
    if (load.servingCount > 0) {
        interference.observe(id, load, capacity.millicores, now);
    }
    for (const { attempt, percent } of choosePaces(load, capacity.millicores, interference, now)) {
        void paceAttempt(cell, worker, attempt, percent);
        if (percent === 0 && isWorthMoving(attempt)) {
            jobTable.attemptsToStop.add(attempt);
            cell.requestDispatch();
        }
    }
}

function logContact(cell: CellContext, worker: CellWorker, { clockMilliseconds, incarnation }: WorkerReport): void {
    if (worker.contact !== "answering") {
        cell.log.write("worker-answers", {
            worker: worker.listed.id,
            incarnation,
            clockMilliseconds,
            before: worker.contact,
            silentMilliseconds: Math.round(cell.clock() - worker.lastAnswerAtMilliseconds),
        }, "vital");
    }
}

/** Marks a worker as silent after repeated failures; its attempts are lost only after all its leases have lapsed. */
function handleSilence(cell: CellContext, worker: CellWorker, failure: Failure, failures: number, now: number): void {
    const { id } = worker.listed;
    if (isProofOfCrash(failure)) {
        cell.crashes.record(worker, cell.jobTable.occupancy.load(id).attempts, now);
    }
    if (failures >= SILENT_AFTER_FAILURES && worker.contact !== "silent") {
        worker.contact = "silent";
        cell.log.write("worker-silent", {
            worker: id,
            answeredMillisecondsAgo: Math.round(now - worker.lastAnswerAtMilliseconds),
            attempts: cell.jobTable.occupancy.load(id).attempts.length,
            failure: formatFailure(failure),
        }, "vital");
        cell.requestDispatch();
    }
    const attempts = [...cell.jobTable.occupancy.load(id).attempts];
    if (
        attempts.length > 0 && worker.contact === "silent"
        && now > attemptsLapsedAt(worker, cell.settings.leaseMilliseconds)
    ) {
        attempts.forEach(attempt => recordLostAttempt(cell.jobTable, attempt, now));
        cell.log.write("worker-lapsed", {
            worker: id,
            attempts: attempts.length,
            answeredMillisecondsAgo: Math.round(now - worker.lastAnswerAtMilliseconds),
        }, "vital");
        cell.commits.requestCommit(false);
        cell.requestDispatch();
    }
}

/** Stops an attempt that belongs to no task of the cell: its job was forgotten, or a former owner's order was delayed. */
async function stopForeign(
    cell: CellContext,
    worker: CellWorker,
    running: RunningAttempt,
    pendingStops: Set<string>,
): Promise<void> {
    const name = `${running.task}#${running.attempt}`;
    const isAllowed = (): boolean => cell.maySendOrders(cell.clock());
    if (pendingStops.has(name) || !isAllowed()) {
        return;
    }
    pendingStops.add(name);
    cell.log.write("foreign-run", { worker: worker.listed.id, task: running.task, attempt: running.attempt }, "vital");
    await orderStop(cell, worker, running.task, running.attempt, isAllowed);
    pendingStops.delete(name);
}

function logOutcome(
    cell: CellContext,
    worker: CellWorker,
    { adopted, ended, hasRestarted, lost, unwanted }: ReturnType<typeof applyReport>,
    now: number,
): void {
    const { id } = worker.listed;
    if (hasRestarted) {
        const { clock, incarnation, leaseUntilMilliseconds } = worker;
        cell.log.write("worker-reborn", {
            worker: id,
            incarnation,
            lost: lost.length,
            clockMilliseconds: clock?.workerMilliseconds,
            leaseUntilMilliseconds,
        }, "vital");
    }
    if (adopted > 0) {
        cell.log.write("runs-adopted", { worker: id, attempts: adopted });
    }
    for (const attempt of unwanted) {
        cell.log.write("start-unwanted", { ...describeStart(attempt, now), source: "report" }, "vital");
    }
    for (const attempt of lost) {
        cell.log.write("attempt-lost", {
            job: attempt.task.entry.id,
            task: attempt.task.key,
            attempt: attempt.number,
            worker: id,
            isReborn: hasRestarted,
        });
    }
    for (const { end } of ended) {
        cell.metrics.ends.inc({ end: end.end });
        cell.log.write("attempt-ended", {
            job: end.task.slice(0, end.task.indexOf(".")),
            task: end.task,
            attempt: end.attempt,
            worker: id,
            end: end.end,
            sequence: end.sequence,
            at: Math.round(now),
        });
    }
}
