/**
 * Which running attempts may give way to more urgent work, and what is lost by stopping them.
 *
 * Workload: lasting tasks keep most of a pool for hours, and short tasks need the rest within half a second. Attempts run on many workers,
 * so the bounds are counted from the attempts themselves: a successor of the cell's owner finds the same ones.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import { reservedSize } from "../job-table/occupancy.js";
import { ATTEMPTS_PER_EPOCH } from "../job-table/task.js";
import type { Attempt, Task } from "../job-table/task.js";
import type { Queue } from "../model/catalog.js";
import type { Size } from "../model/size.js";
import type { Candidate } from "./candidate.js";

/**
 * A lasting task works at least this long, in milliseconds, for each of its starts before it gives way, so that it is at work for most of
 * the time however often room is scarce.
 */
export const LASTING_WORK_MILLISECONDS = 10_000;

/** Number of starts of a task that ends after which it is not stopped again. */
const MAXIMUM_STARTS = 3;

/** Share of a lasting step that may be away where its caller states no budget. */
const DEFAULT_AWAY_SHARE = 0.1;

/** Time that a task which saves its progress needs to resume, in milliseconds. */
const RESUME_MILLISECONDS = 300;

/** Percentage that a lasting task reports while it is at work. */
const AT_WORK_PERCENT = 100;

/** An attempt that may give way. */
export interface Yielding {
    readonly attempt: Attempt;
    readonly priority: number;
    /** Capacity that its stop frees. */
    readonly released: Size;
    /** Work thrown away by the stop, in thousandths of a core times milliseconds; none where a lasting task is stopped. */
    readonly lostWork: number;
}

/** What the choice of yielding attempts depends on. */
export interface YieldingOptions {
    readonly queues: ReadonlyMap<string, Queue>;
    /** Whether the attempt is being stopped, or will be by this pass. */
    readonly isStopping: (attempt: Attempt) => boolean;
}

/** Lists the attempts on a worker that may be stopped, apart from the budgets of their lasting steps. */
export function listYielding({ load }: Candidate, { isStopping, queues }: YieldingOptions, now: number): Yielding[] {
    return load.attempts.flatMap(attempt => {
        const { task, runningSinceMilliseconds: since } = attempt;
        const { step } = task;
        const queue = queues.get(task.entry.queue);
        const isFixed = attempt.phase !== "running" || since === undefined || queue === undefined || step.isGang
            || task.attempts.length !== 1 || isStopping(attempt);
        if (isFixed || !mayStop(attempt, now - since)) {
            return [];
        }
        const lostMilliseconds = step.isLasting ? 0 : step.savesProgress ? RESUME_MILLISECONDS : now - since;
        return [{
            attempt,
            priority: queue.priority,
            released: reservedSize(step),
            lostWork: step.size.millicores * lostMilliseconds,
        }];
    });
}

/** Whether a task was not stopped too often or too recently. Attempt numbers and the time at work outlast a takeover. */
function mayStop({ number, percent, task: { step } }: Attempt, workedMilliseconds: number): boolean {
    const starts = (number - 1) % ATTEMPTS_PER_EPOCH + 1;
    return step.isLasting
        ? percent >= AT_WORK_PERCENT && workedMilliseconds >= LASTING_WORK_MILLISECONDS * starts
        : starts <= MAXIMUM_STARTS;
}

/** Stops of lasting tasks that are still allowed, by step. */
export interface AwayBudget {
    isLeft(task: Task): boolean;
    /** Counts a task that gives way. */
    spend(task: Task): void;
}

/**
 * Counts how many tasks of each lasting step may still be taken away. All that are not at work are away, whatever the cause: those that
 * wait, start, or run on a worker that is not among the given ones, because it does not answer or drains.
 */
export function createAwayBudget(
    soundWorkers: ReadonlySet<string>,
    isStopping: (attempt: Attempt) => boolean,
): AwayBudget {
    const left = new Map<StepProgress, number>();
    const leftOf = (progress: StepProgress): number => {
        const counted = left.get(progress) ?? countLeft(progress, soundWorkers, isStopping);
        left.set(progress, counted);
        return counted;
    };
    return {
        isLeft: task => leftOf(stepProgressOf(task)) > 0,
        spend(task) {
            const progress = stepProgressOf(task);
            left.set(progress, leftOf(progress) - 1);
        },
    };
}

function countLeft(
    { openTasks, step: { disruptionBudget, taskCount } }: StepProgress,
    soundWorkers: ReadonlySet<string>,
    isStopping: (attempt: Attempt) => boolean,
): number {
    let atWork = 0;
    for (const { attempts } of openTasks.values()) {
        const isAtWork = attempts.some(attempt =>
            attempt.phase === "running" && attempt.percent >= AT_WORK_PERCENT && soundWorkers.has(attempt.worker)
            && !isStopping(attempt)
        );
        atWork += isAtWork ? 1 : 0;
    }
    return (disruptionBudget ?? Math.floor(taskCount * DEFAULT_AWAY_SHARE)) - (taskCount - atWork);
}
