/**
 * Records crashes of workers, and which tasks are suspected of them.
 */
import type { Failure } from "../../core/errors.js";
import { recordCrash } from "../job-table/attempts.js";
import type { Attempt, Task } from "../job-table/task.js";
import { isCrashOfMany, listSuspects } from "../policy/crashes.js";
import type { CellContext } from "./context.js";
import type { CellWorker } from "./worker.js";

/** Time after which all workers that have crashed together are known. */
const REVIEW_DELAY_MILLISECONDS = 300;

/** Time for which crashes are remembered, to recognise those of many workers. */
const MEMORY_MILLISECONDS = 5_000;

/** Crashes of the workers of a cell. */
export interface Crashes {
    /** Records a worker's crash with the attempts it ended; further calls before the worker answers again have no effect. */
    record(worker: CellWorker, attempts: readonly Attempt[], now: number): void;
    /** Whether a task is suspected of a crash that has not been reviewed yet. It does not start meanwhile. */
    isUnderReview(task: Task): boolean;
    /** Counts the crashes whose time for review has come against their suspects. */
    review(now: number): void;
}

interface Crash {
    readonly worker: string;
    readonly atMilliseconds: number;
    readonly recordedAtMilliseconds: number;
    readonly suspects: readonly Attempt[];
    readonly attempts: number;
}

/** Whether a failed order shows that the worker's process has ended: nothing listens at its address, or another worker does. */
export function isProofOfCrash({ cause, code }: Failure): boolean {
    return cause === "connection-refused" || code === "conflict";
}

/** Starts without crashes. */
export function createCrashes(
    cell: Pick<CellContext, "commits" | "jobTable" | "log" | "requestDispatch">,
): Crashes {
    const { jobTable, log } = cell;
    let pending: Crash[] = [];
    let crashTimes: number[] = [];
    let tasksUnderReview = new Set<Task>();

    const reviewCrash = ({ atMilliseconds, attempts, suspects, worker }: Crash, now: number): void => {
        const isOfMany = isCrashOfMany(crashTimes, atMilliseconds);
        log.write("worker-crashed", {
            worker,
            attempts,
            isOfMany,
            suspects: suspects.map(({ task }) => task.key),
            crashedMillisecondsAgo: Math.round(now - atMilliseconds),
        }, "vital");
        if (isOfMany) {
            return;
        }
        for (const attempt of suspects) {
            const { entry, key } = attempt.task;
            if (recordCrash(jobTable, attempt, now)) {
                log.write("task-given-up", {
                    job: entry.id,
                    task: key,
                    crashedAttempts: attempt.task.crashedAttempts,
                    reason: "each worker that started it has crashed",
                }, "vital");
            }
        }
    };

    return {
        record(worker, attempts, now) {
            if (worker.hasCrashed || worker.listed.isDraining) {
                return;
            }
            worker.hasCrashed = true;
            const atMilliseconds = worker.failingSinceMilliseconds ?? now;
            const suspects = listSuspects(attempts, atMilliseconds);
            crashTimes.push(atMilliseconds);
            pending.push({
                worker: worker.listed.id,
                atMilliseconds,
                recordedAtMilliseconds: now,
                suspects,
                attempts: attempts.length,
            });
            suspects.forEach(({ task }) => tasksUnderReview.add(task));
        },
        isUnderReview: task => tasksUnderReview.has(task),
        review(now) {
            const due = pending.filter(crash => now - crash.recordedAtMilliseconds >= REVIEW_DELAY_MILLISECONDS);
            if (due.length === 0) {
                return;
            }
            pending = pending.filter(crash => !due.includes(crash));
            due.forEach(crash => reviewCrash(crash, now));
            tasksUnderReview = new Set(pending.flatMap(({ suspects }) => suspects.map(({ task }) => task)));
            crashTimes = crashTimes.filter(at => now - at < MEMORY_MILLISECONDS);
            cell.commits.requestCommit(jobTable.changes.ended.length > 0);
            cell.requestDispatch();
        },
    };
}
