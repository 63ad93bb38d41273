/**
 * Records crashes of workers, and which tasks are suspected of them.
 */
import type { Failure } from "../../core/errors.js";
import { recordCrash } from "../job-table/attempts.js";
import type { Attempt, Task } from "../job-table/task.js";
import { isOnTrial, judgeCrash, listSuspects, mayHaveCrashedAtStart } from "../policy/crashes.js";
import type { CrashSign } from "../policy/crashes.js";
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

interface Crash extends CrashSign {
    readonly worker: string;
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
    let known: CrashSign[] = [];
    let tasksUnderReview = new Set<Task>();

    const reviewCrash = (crash: Crash, now: number): void => {
        const { atMilliseconds, attempts, followsStart, suspects, worker } = crash;
        const wasTrial = suspects.length > 0 && suspects.every(attempt => isOnTrial(attempt, atMilliseconds));
        const evidence = judgeCrash(crash, known, wasTrial);
        log.write("worker-crashed", {
            worker,
            attempts,
            evidence,
            followsStart,
            wasTrial,
            suspects: suspects.map(({ task }) => task.key),
            crashedMillisecondsAgo: Math.round(now - atMilliseconds),
        }, "vital");
        for (const attempt of suspects) {
            const { crashedAttempts, doubtedAttempts, entry, key } = attempt.task;
            if (recordCrash(jobTable, attempt, now, evidence)) {
                log.write("task-given-up", {
                    job: entry.id,
                    task: key,
                    crashedAttempts,
                    doubtedAttempts,
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
            const followsStart = attempts.some(attempt => mayHaveCrashedAtStart(attempt, atMilliseconds));
            known.push({ atMilliseconds, followsStart });
            pending.push({
                worker: worker.listed.id,
                atMilliseconds,
                followsStart,
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
            known = known.filter(({ atMilliseconds }) => now - atMilliseconds < MEMORY_MILLISECONDS);
            // What is not committed when the owner ends is lost for its successor, and the tasks crash workers meanwhile.
            cell.commits.requestCommit(true);
            cell.requestDispatch();
        },
    };
}
