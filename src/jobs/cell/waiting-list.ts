/**
 * Lists the work of a cell whose turn has come and that is not started: ready steps, attempts whose outcome is not known, and jobs that
 * wait for memory.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { JobEntry, StepProgress } from "../job-table/job.js";
import { countUnopenedTasks } from "../job-table/ready.js";
import type { Attempt, Task } from "../job-table/task.js";
import { FINAL_STATES } from "../model/job.js";
import type { EarlyReason, WaitingReason } from "../policy/waiting-reasons.js";
import { findEarlyReason } from "../policy/waiting.js";
import type { EarlyConditions } from "../policy/waiting.js";
import { summarizeEvidence } from "./authority.js";
import type { CellContext } from "./context.js";
import type { Recovery } from "./recovery.js";
import { poolOf } from "./waiting-looks.js";
import type { WaitingLooks } from "./waiting-looks.js";
import { attemptsLapsedAt } from "./worker.js";
import type { CellWorker } from "./worker.js";

/** Attempts of a task are listed from this time after their order on; most orders are answered within milliseconds. */
const CONFIRMATION_MILLISECONDS = 2_000;

/** Names of workers or tasks in a line; the number of all of them stands beside these. */
const MAXIMUM_NAMES = 5;

/** A reason with what it was decided from. */
export interface WaitingExplanation {
    readonly reason: WaitingReason;
    readonly details: Readonly<Record<string, unknown>>;
}

/** Work whose turn has come and that is not started. */
export interface WaitingWork {
    /** The step, task or job that waits; the same object at each listing. */
    readonly subject: JobEntry | StepProgress | Task;
    readonly entry: JobEntry;
    /** The task of a step that has waited longest; absent for a job that waits for memory. */
    readonly task: Task | undefined;
    /** Number of tasks that wait; 1 for a job that waits for memory. */
    readonly tasks: number;
    /** When its turn came. */
    readonly readyAtMilliseconds: number;
    /** When it began to wait for what holds it; absent if that is not known. */
    readonly heldSinceMilliseconds: number | undefined;
    /** What holds it; "unexplained" if `explain` has to look at the workers of a pool for that. */
    readonly reason: WaitingReason;
    explain(): WaitingExplanation;
}

/** Lists the work of a cell whose turn has come and that is not started. */
export function listWaitingWork(
    cell: CellContext,
    recovery: Recovery,
    looks: WaitingLooks,
    now: number,
): WaitingWork[] {
    return [
        ...listWaitingSteps(cell, recovery, looks, now),
        ...listUnconfirmedTasks(cell, now),
        ...listDeferredJobs(cell),
    ];
}

function listWaitingSteps(
    cell: CellContext,
    recovery: Recovery,
    looks: WaitingLooks,
    now: number,
): WaitingWork[] {
    const { queues } = cell.catalog();
    const conditions: EarlyConditions = {
        maySendOrders: cell.maySendOrders(now),
        areClosuresConfirmed: cell.closures.areConfirmed(now),
        queues,
        isHeldByRecovery: task => !recovery.mayStart(task),
        isUnderReview: task => cell.crashes.isUnderReview(task),
    };
    const explainOne = (task: Task): WaitingExplanation => {
        const { reason, reservedFor, ...counts } = looks.explain(task);
        const reserving = reservedFor.length === 0 ? {} : { reservedFor: reservedFor.slice(0, MAXIMUM_NAMES) };
        return { reason, details: { pool: poolOf(cell, task), ...counts, ...reserving } };
    };
    return [...findLongestWaiting(cell.jobTable.readyTasks)].map(([step, task]) => {
        const early = findEarlyReason(task, conditions);
        return {
            subject: step,
            entry: task.entry,
            task,
            tasks: step.readyCount + countUnopenedTasks(step),
            readyAtMilliseconds: task.readyAtMilliseconds,
            heldSinceMilliseconds: undefined,
            reason: early ?? "unexplained",
            explain: () =>
                early === undefined
                    ? explainOne(task)
                    : { reason: early, details: describeEarlyReason(cell, recovery, early, now) },
        };
    });
}

/** Finds the ready task of each step that has waited longest. */
function findLongestWaiting(readyTasks: Iterable<Task>): Map<StepProgress, Task> {
    const longest = new Map<StepProgress, Task>();
    for (const task of readyTasks) {
        const step = stepProgressOf(task);
        const known = longest.get(step);
        if (known === undefined || task.readyAtMilliseconds < known.readyAtMilliseconds) {
            longest.set(step, task);
        }
    }
    return longest;
}

function describeEarlyReason(
    cell: CellContext,
    recovery: Recovery,
    reason: EarlyReason,
    now: number,
): WaitingExplanation["details"] {
    if (reason === "unanswered-worker") {
        const unanswered = recovery.unanswered();
        return { unansweredWorkers: unanswered.length, workers: unanswered.slice(0, MAXIMUM_NAMES) };
    }
    return reason === "orders-suspended" ? summarizeEvidence(cell.listEvidence(), cell.settings, now) : {};
}

/** Lists the tasks of which an attempt may run, but none is known to. */
function listUnconfirmedTasks({ jobTable, settings, workers }: CellContext, now: number): WaitingWork[] {
    const unconfirmed = new Map<Task, WaitingWork>();
    for (const worker of workers.values()) {
        for (const attempt of jobTable.occupancy.load(worker.listed.id).attempts) {
            const { task } = attempt;
            if (isUnconfirmed(attempt, now) && !unconfirmed.has(task)) {
                unconfirmed.set(task, {
                    subject: task,
                    entry: task.entry,
                    task,
                    tasks: 1,
                    readyAtMilliseconds: task.readyAtMilliseconds,
                    heldSinceMilliseconds: attempt.phase === "ordered" ? attempt.orderedAtMilliseconds : undefined,
                    reason: "attempt-unconfirmed",
                    explain: () => ({
                        reason: "attempt-unconfirmed",
                        details: describeAttempt(attempt, worker, settings.leaseMilliseconds, now),
                    }),
                });
            }
        }
    }
    return [...unconfirmed.values()];
}

function isUnconfirmed({ orderedAtMilliseconds, phase, task }: Attempt, now: number): boolean {
    return phase !== "running" && now - orderedAtMilliseconds >= CONFIRMATION_MILLISECONDS
        && task.phase === "active" && !FINAL_STATES.has(task.entry.state)
        && task.attempts.every(other => other.phase !== "running");
}

function describeAttempt(
    { number, phase }: Attempt,
    worker: CellWorker,
    leaseMilliseconds: number,
    now: number,
): WaitingExplanation["details"] {
    return {
        attempt: number,
        phase,
        worker: worker.listed.id,
        contact: worker.contact,
        answerAgeMilliseconds: Math.round(now - worker.lastAnswerAtMilliseconds),
        lapsesInMilliseconds: Math.round(attemptsLapsedAt(worker, leaseMilliseconds) - now),
    };
}

function listDeferredJobs({ jobTable }: CellContext): WaitingWork[] {
    const { deferredJobs, heldBytes, heldBytesLimit } = jobTable;
    return [...deferredJobs].map(entry => ({
        subject: entry,
        entry,
        task: undefined,
        tasks: 1,
        readyAtMilliseconds: entry.acceptedAtMilliseconds,
        heldSinceMilliseconds: undefined,
        reason: "memory",
        explain: () => ({
            reason: "memory",
            details: { heldBytes, heldBytesLimit, deferredJobs: deferredJobs.size },
        }),
    }));
}
