/**
 * Order in which ready tasks are placed.
 *
 * Workload: interactive short jobs beside batch work of some seconds; during a burst both exceed the capacity. Jobs that can
 * still be on time go first, by due time. Late jobs follow, so that they do not delay the others as well; while the pool is half empty, those
 * that stand still get a task each before others get more, and those that starve do so whatever their queue's priority. Lasting tasks keep
 * what they get, so that those that wait leave scarce room to short tasks that are due soon, but not to late ones.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { Occurrence, StepProgress } from "../job-table/job.js";
import type { Task } from "../job-table/task.js";
import type { Queue } from "../model/catalog.js";
import type { Durations } from "./durations.js";
import { idleSince, isLongIdle } from "./starvation.js";

/** Options of the order. */
export interface OrderingOptions {
    /** The task's queue; absent where the configuration no longer has it. */
    queue(task: Task): Queue | undefined;
    readonly durations: Durations;
    /** Whether a worker may have room for the task twice over, so that others do not have to wait for it; never if absent. */
    readonly hasAmpleRoom?: (task: Task) => boolean;
    /** Whether nothing of the task's job runs although its pool is half empty; never if absent. */
    readonly isStandingStill?: (task: Task) => boolean;
}

/** Jobs beyond this many times their objective go last. */
const LATE_FACTOR = 3;

/**
 * A lasting task that has waited longer goes before late tasks, and before all where room is ample or it gave way to others: short
 * tasks arrive continuously, and would never leave enough free capacity for it.
 */
const LASTING_WAIT_LIMIT_MILLISECONDS = 4_000;

/** Whether an occurrence can be on time (0), late (1), or later than `LATE_FACTOR` allows (2). */
type Timeliness = 0 | 1 | 2;

interface Assessment {
    readonly timeliness: Timeliness;
    readonly dueAtMilliseconds: number;
}

/** Turns of tasks of one priority, first to last. */
const TURNS = {
    returning: 0,
    timely: 1,
    overdue: 2,
    /** First tasks of jobs that starve, of queues of any priority; see `findStarvingPriority`. */
    starving: 3,
    standingStill: 4,
    late: 5,
    lasting: 6,
} as const;

/** Ready tasks of one step that are equally urgent. Sorting them together keeps thousands of waiting tasks cheap. */
interface RankedTasks {
    readonly first: Task;
    readonly tasks: Task[];
    /** Pool of the tasks' queue. */
    readonly pool: string | undefined;
    readonly priority: number;
    readonly turn: number;
    readonly timeliness: Timeliness;
    readonly dueAtMilliseconds: number;
}

/** Sorts ready tasks by priority, then by turn (see `TURNS`), then by timeliness and due time. Starving jobs get a task whatever their priority. */
export function orderTasks(ready: Iterable<Task>, options: OrderingOptions, now: number): Task[] {
    const groupsByKind = [0, 1, 2].map(() => new Map<StepProgress, RankedTasks>());
    const assessments = new Map<Occurrence, Assessment>();
    for (const task of ready) {
        const groups = groupsByKind[!isOverdue(task, now) ? 0 : hasGivenWay(task) ? 1 : 2];
        const step = stepProgressOf(task);
        const group = groups?.get(step);
        if (group !== undefined) {
            group.tasks.push(task);
            continue;
        }
        const queue = options.queue(task);
        const assessment = assessments.get(task.occurrence)
            ?? assessTimeliness(task.occurrence, queue, options.durations, now);
        assessments.set(task.occurrence, assessment);
        groups?.set(step, {
            first: task,
            tasks: [task],
            pool: queue?.pool,
            priority: queue?.priority ?? 0,
            turn: chooseTurn(task, assessment, options, now),
            ...assessment,
        });
    }
    const ranked = groupsByKind.flatMap(groups => [...groups.values()])
        .flatMap(group => {
            const isStandingStill = group.turn === TURNS.late && options.isStandingStill?.(group.first) === true;
            return isStandingStill ? putFirstTaskApart(group, now) : [group];
        });
    const preceding = findPrecedingPriorities(ranked);
    return ranked
        .map(group =>
            group.turn === TURNS.starving ? { ...group, priority: findStarvingPriority(group, preceding) } : group
        )
        .sort(compare)
        .flatMap(({ tasks }) => tasks.sort((left, right) => left.index - right.index));
}

/** Gives the first task of a job that stands still a turn before other late ones; the job that has stood still longest comes first. */
function putFirstTaskApart(group: RankedTasks, now: number): RankedTasks[] {
    const [first = group.first, ...others] = group.tasks.sort((left, right) => left.index - right.index);
    const apart: RankedTasks = {
        ...group,
        first,
        tasks: [first],
        turn: isLongIdle(first, now) ? TURNS.starving : TURNS.standingStill,
        timeliness: 0,
        dueAtMilliseconds: idleSince(first),
    };
    return others[0] === undefined ? [apart] : [apart, { ...group, first: others[0], tasks: others }];
}

/** Priorities of the tasks that go before those of starving jobs. */
interface PrecedingPriorities {
    readonly first: number;
    readonly byPool: ReadonlyMap<string | undefined, ReadonlySet<number>>;
}

function findPrecedingPriorities(groups: readonly RankedTasks[]): PrecedingPriorities {
    const byPool = new Map<string | undefined, Set<number>>();
    let first = Infinity;
    for (const { pool, priority, turn } of groups) {
        first = Math.min(first, priority);
        if (turn < TURNS.starving) {
            byPool.set(pool, (byPool.get(pool) ?? new Set()).add(priority));
        }
    }
    return { first, byPool };
}

/**
 * Priority at which a task of a starving job gets its turn: the first one, so that late tasks of other queues do not keep it waiting, or that of
 * the last tasks of its pool that it must not delay. Those are the ones that can be on time and the lasting ones that have waited.
 */
function findStarvingPriority({ pool, priority }: RankedTasks, { byPool, first }: PrecedingPriorities): number {
    return [...byPool.get(pool) ?? []].reduce(
        (last, other) => other <= priority ? Math.max(last, other) : last,
        first,
    );
}

/** Whether a lasting task has waited longer than its limit. */
export function isOverdue({ readyAtMilliseconds, step }: Task, now: number): boolean {
    return step.isLasting && now - readyAtMilliseconds >= LASTING_WAIT_LIMIT_MILLISECONDS;
}

function hasGivenWay({ gaveWayAtMilliseconds: gaveWayAt }: Task): boolean {
    return gaveWayAt !== undefined;
}

function compare(left: RankedTasks, right: RankedTasks): number {
    return left.priority - right.priority
        || left.turn - right.turn
        || left.timeliness - right.timeliness
        || left.dueAtMilliseconds - right.dueAtMilliseconds
        || left.first.stepIndex - right.first.stepIndex;
}

function chooseTurn(task: Task, { timeliness }: Assessment, { hasAmpleRoom }: OrderingOptions, now: number): number {
    if (!task.step.isLasting) {
        return timeliness === 0 ? TURNS.timely : TURNS.late;
    }
    if (!isOverdue(task, now)) {
        return TURNS.lasting;
    }
    return hasGivenWay(task) || hasAmpleRoom?.(task) === true ? TURNS.returning : TURNS.overdue;
}

/** Whether the occurrence of a task cannot be on time any more. */
export function isLate(
    { entry, occurrence }: Task,
    queues: ReadonlyMap<string, Queue>,
    durations: Durations,
    now: number,
): boolean {
    return assessTimeliness(occurrence, queues.get(entry.queue), durations, now).timeliness > 0;
}

/** Computes when an occurrence is due and whether it can still be on time. */
export function assessTimeliness(
    { dueAtMilliseconds: startedAt, steps }: Occurrence,
    queue: Queue | undefined,
    durations: Durations,
    now: number,
): Assessment {
    const totalEnds: number[] = [];
    const left: number[] = [];
    for (const { done, step } of steps) {
        const duration = step.isLasting ? 0 : durations.estimate(step);
        const longest = (ends: readonly number[]) => Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0));
        totalEnds.push(longest(totalEnds) + duration);
        left.push(done.size === step.taskCount ? 0 : longest(left) + duration);
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
