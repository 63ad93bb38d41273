/**
 * Applies the reports of workers to the ledger's draft.
 */
import type { AttemptStatus } from "../../platform/worker.js";
import type { AttemptEnd } from "../../policy/policy.js";
import type { Ledger } from "../ledger/ledger.js";
import { HOLDING_STATES } from "../ledger/task.js";
import type { Task } from "../ledger/task.js";
import { nameAttempt } from "./link.js";
import type { AnswerEvent, WorkerEvent, WorkerLink } from "./link.js";
import { observeEnded, observeLost, observeRefused, observeRunning } from "./transitions.js";
import type { BackOff } from "./transitions.js";

/** Input of observations. */
export interface ObserveInput {
    readonly ledger: Ledger;
    readonly backOff: BackOff;
    onEnd(end: AttemptEnd): void;
}

/** Applies one event of a session. Events of attempts that are no longer current in the ledger have no effect. */
export function observeEvent(input: ObserveInput, event: WorkerEvent, now: number): void {
    const { ledger } = input;
    switch (event.kind) {
        case "answer": {
            observeAnswer(input, event.worker, event.answer, now);
            return;
        }
        case "started": {
            const task = findCurrentTask(ledger, event.worker, event);
            if (task !== undefined) {
                observeRunning(ledger, task, now);
            }
            return;
        }
        case "refused": {
            const task = findCurrentTask(ledger, event.worker, event);
            if (task !== undefined) {
                reportEnd(input, task, "refused", event.reason);
                observeRefused(ledger, task, event.reason, input.backOff, now);
            }
            return;
        }
        case "ended": {
            observeStatus(input, event.worker, event.status, now);
            return;
        }
    }
}

function observeAnswer(input: ObserveInput, worker: string, answer: AnswerEvent, now: number): void {
    const reportedAttempts = new Set(answer.attempts.map(nameAttempt));
    for (const status of answer.attempts) {
        observeStatus(input, worker, status, now);
    }
    for (const attempt of answer.expected) {
        const task = reportedAttempts.has(nameAttempt(attempt))
            ? undefined
            : findCurrentTask(input.ledger, worker, attempt);
        if (task !== undefined) {
            recordLost(input, task, `${worker} does not run it`, now);
        }
    }
}

function observeStatus(input: ObserveInput, worker: string, status: AttemptStatus, now: number): void {
    const task = findCurrentTask(input.ledger, worker, status);
    if (task === undefined) {
        return;
    }
    if (status.state === "running") {
        observeRunning(input.ledger, task, now);
        return;
    }
    if (status.state !== "checkpointing") {
        const outcome = status.state === "stopped" ? undefined : status.state;
        if (outcome !== undefined) {
            reportEnd(input, task, outcome, status.reason ?? "");
        }
        observeEnded(input.ledger, task, status, input.backOff, now);
    }
}

/**
 * True if the worker is unlisted or a renewal has failed since its leases should have lapsed. An owner that stood still
 * has to ask the worker first, as it may have finished its tasks meanwhile.
 */
export function hasUnansweredRenewal(link: WorkerLink | undefined, leaseMilliseconds: number): boolean {
    return link?.isListed !== true || link.failedAtMilliseconds >= link.answeredAtMilliseconds + leaseMilliseconds;
}

/**
 * Records that all leases on a worker have lapsed. A batch task with an unanswered start stays on a listed worker, as a
 * paused worker may execute the start when it resumes.
 */
export function observeSilence(
    input: ObserveInput,
    worker: string,
    link: WorkerLink | undefined,
    now: number,
): void {
    for (const committed of input.ledger.committedOn(worker)) {
        const task = findCurrentTask(input.ledger, worker, committed);
        if (task === undefined || mayStillStart(input.ledger, task, link)) {
            continue;
        }
        // Counted as answered, so that the session no longer sends the attempt's start order.
        link?.answeredStarts.add(nameAttempt(task));
        recordLost(input, task, `its lease on ${worker} lapsed`, now);
    }
}

function mayStillStart(ledger: Ledger, task: Task, link: WorkerLink | undefined): boolean {
    if (link?.isListed !== true || task.state !== "starting" || ledger.specOf(task).kind === "service") {
        return false;
    }
    return link.incarnation === undefined || link.unansweredStarts.has(nameAttempt(task));
}

function recordLost(input: ObserveInput, task: Task, reason: string, now: number): void {
    if (task.state !== "starting") {
        reportEnd(input, task, "lapsed", reason);
    }
    observeLost(input.ledger, task, reason, now);
}

function reportEnd(input: ObserveInput, task: Task, outcome: AttemptEnd["outcome"], reason: string): void {
    const { rule } = input.ledger.specOf(task);
    input.onEnd({ taskId: task.taskId, rule, worker: task.worker ?? "", outcome, reason });
}

function findCurrentTask(
    ledger: Ledger,
    worker: string,
    attempt: { readonly taskId: string; readonly attempt: number; },
): Task | undefined {
    const task = ledger.draft.get(attempt.taskId);
    return task?.worker === worker && task.attempt === attempt.attempt && HOLDING_STATES.has(task.state)
        ? task
        : undefined;
}

/** Settings and times that determine when the leases on a silent worker have lapsed. */
export interface SilenceInput {
    readonly workerLeaseMilliseconds: number;
    readonly clockRateShare: number;
    /** Latest time at which former owners can renew leases. */
    readonly predecessorsEndMilliseconds: number;
}

/**
 * Returns the time at which all leases on a silent worker have lapsed. The worker may have accepted an unanswered
 * renewal just before the previous lease lapsed, which extends it by one lease; so all have lapsed two leases after the
 * last answer.
 */
export function leasesEndAt(input: SilenceInput, link: WorkerLink | undefined, claimedAtMilliseconds: number): number {
    // An unlisted worker has been removed, so no other owner renews leases on it.
    const isListed = link?.isListed === true;
    const formerOwners = isListed && link.incarnation === undefined ? input.predecessorsEndMilliseconds : 0;
    const lastRenewal = Math.max(link?.answeredAtMilliseconds ?? claimedAtMilliseconds, formerOwners);
    return lastRenewal + 2 * input.workerLeaseMilliseconds * (1 + input.clockRateShare);
}
