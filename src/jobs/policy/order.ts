/**
 * Order in which ready tasks get room.
 *
 * The load that this answers: short jobs that people wait for beside batch work of some seconds, more of both than there is
 * room for during a burst. A job that can still be on time goes before one that cannot; among those the one that is due
 * first. What is late already comes after, so that it does not make the others late too.
 */
import type { Occurrence } from "../job-table/job.js";
import type { Task } from "../job-table/task.js";
import type { Queue } from "../model/catalog.js";
import type { Durations } from "./durations.js";

/** What decides a task's turn. */
export interface OrderingOptions {
    /** The task's queue; absent where the configuration no longer has it. */
    queue(task: Task): Queue | undefined;
    readonly durations: Durations;
}

/** Jobs beyond this many times their objective are as late as can be. */
const LATE_FACTOR = 3;

/**
 * A lasting task that has waited longer goes before tasks that end: those come all the time, and together leave no room that
 * is large enough for it.
 */
const LASTING_WAIT_LIMIT_MILLISECONDS = 4_000;

/** Whether something of an occurrence can still be of use, from best to worst. */
type Timeliness = 0 | 1 | 2;

interface RankedTask {
    readonly task: Task;
    readonly priority: number;
    readonly timeliness: Timeliness;
    readonly dueAtMilliseconds: number;
}

/** Sorts ready tasks: by priority, tasks that end before those that last, then as said above. */
export function orderTasks(ready: Iterable<Task>, options: OrderingOptions, now: number): Task[] {
    const assessments = new Map<Occurrence, { timeliness: Timeliness; dueAtMilliseconds: number; }>();
    const rankedTasks = [...ready].map((task): RankedTask => {
        const queue = options.queue(task);
        const assessment = assessments.get(task.occurrence)
            ?? assessTimeliness(task.occurrence, queue, options.durations, now);
        assessments.set(task.occurrence, assessment);
        return { task, priority: queue?.priority ?? 0, ...assessment };
    });
    return rankedTasks.sort((left, right) => compare(left, right, now)).map(({ task }) => task);
}

/** Whether a task that lasts has waited for longer than it should. */
export function isOverdue({ readyAtMilliseconds, step }: Task, now: number): boolean {
    return step.isLasting && now - readyAtMilliseconds >= LASTING_WAIT_LIMIT_MILLISECONDS;
}

function compare(left: RankedTask, right: RankedTask, now: number): number {
    return left.priority - right.priority
        || rankKind(left.task, now) - rankKind(right.task, now)
        || left.timeliness - right.timeliness
        || left.dueAtMilliseconds - right.dueAtMilliseconds
        || left.task.stepIndex - right.task.stepIndex
        || left.task.index - right.task.index;
}

function rankKind(task: Task, now: number): number {
    return isOverdue(task, now) ? 0 : task.step.isLasting ? 2 : 1;
}

/** When an occurrence is due, and whether it can still make it. */
function assessTimeliness(
    { dueAtMilliseconds: startedAt, steps }: Occurrence,
    queue: Queue | undefined,
    durations: Durations,
    now: number,
): { timeliness: Timeliness; dueAtMilliseconds: number; } {
    const totalEnds: number[] = [];
    const left: number[] = [];
    for (const { doneCount, step, tasks } of steps) {
        const duration = step.isLasting ? 0 : durations.estimate(step);
        const longest = (ends: readonly number[]) => Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0));
        totalEnds.push(longest(totalEnds) + duration);
        left.push(doneCount === tasks.length ? 0 : longest(left) + duration);
    }
    const objective = Math.max(...totalEnds) * (queue?.stretchFactor ?? 1) + (queue?.latencyObjectiveMilliseconds ?? 0);
    const finish = now + Math.max(...left);
    const dueAt = startedAt + objective;
    if (finish <= dueAt) {
        return { timeliness: 0, dueAtMilliseconds: dueAt };
    }
    const lateAt = startedAt + objective * LATE_FACTOR;
    return finish <= lateAt
        ? { timeliness: 1, dueAtMilliseconds: lateAt }
        : { timeliness: 2, dueAtMilliseconds: startedAt };
}
