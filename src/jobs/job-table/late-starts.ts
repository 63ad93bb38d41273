/**
 * Start orders that a worker may carry out seconds late, also in its next life.
 */
import { LATEST_ORDER_MILLISECONDS } from "../model/worker.js";
import type { JobTable } from "./job-table.js";
import type { Attempt } from "./task.js";

/** Whether an order to start the attempt got no answer and may still be carried out. */
export function mayStartLate({ unansweredStartAtMilliseconds: sentAt = -Infinity }: Attempt, now: number): boolean {
    return now - sentAt <= LATEST_ORDER_MILLISECONDS;
}

/**
 * Records that an attempt has ended with its worker's life, but may start again in the next one. It is stopped there, which makes the worker
 * reject the late order, and keeps its task from starting elsewhere until then.
 */
export function expectLateStart(table: JobTable, attempt: Attempt, now: number): void {
    attempt.phase = "ordered";
    attempt.sentAtMilliseconds = attempt.unansweredStartAtMilliseconds;
    attempt.confirmedClockMilliseconds = undefined;
    attempt.unlistedSinceMilliseconds = undefined;
    attempt.runningSinceMilliseconds = undefined;
    attempt.task.occurrence.lastEndedAtMilliseconds = now;
    table.attemptsToStop.add(attempt);
}
