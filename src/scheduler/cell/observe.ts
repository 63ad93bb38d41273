/**
 * Takes what workers have told into the ledger's draft.
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

/** What observations change. */
export interface ObserveInput {
    readonly ledger: Ledger;
    readonly backOff: BackOff;
    onEnd(end: AttemptEnd): void;
}

/** Takes in one event of a worker's task. Events of attempts that the ledger no longer holds change nothing. */
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
 * Tells whether a worker was asked in vain after a lease should have lapsed. An owner that stood still itself has to ask
 * first: the worker may have finished its tasks meanwhile.
 */
export function hasUnansweredRenewal(link: WorkerLink | undefined, leaseMilliseconds: number): boolean {
    return link?.isListed !== true || link.failedAtMilliseconds >= link.answeredAtMilliseconds + leaseMilliseconds;
}

/**
 * Takes in that all leases on a worker have lapsed. A batch task whose start was sent and never answered stays: the
 * worker may still carry the start out when it wakes, unless the instance list no longer has it.
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
        // Its start has not been sent, and from now on never is.
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

/** What decides whether the tasks of a silent worker have provably ended. */
export interface SilenceInput {
    readonly workerLeaseMilliseconds: number;
    readonly clockRateShare: number;
    /** When renewals by former owners end at the latest. */
    readonly predecessorsEndMilliseconds: number;
}

/**
 * Tells when all leases on a silent worker have lapsed. A renewal that got no answer may have been taken in until the
 * lease before it lapsed, and prolongs it by one lease at most; so two leases after the last answer none is left.
 */
export function leasesEndAt(input: SilenceInput, link: WorkerLink | undefined, claimedAtMilliseconds: number): number {
    // A worker that the instance list no longer has is gone, so nobody else renews anything on it.
    const isListed = link?.isListed === true;
    const formerOwners = isListed && link.incarnation === undefined ? input.predecessorsEndMilliseconds : 0;
    const lastRenewal = Math.max(link?.answeredAtMilliseconds ?? claimedAtMilliseconds, formerOwners);
    return lastRenewal + 2 * input.workerLeaseMilliseconds * (1 + input.clockRateShare);
}
