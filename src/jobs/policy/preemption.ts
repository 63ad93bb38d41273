/**
 * Which running attempts give way to tasks that found no worker.
 *
 * Workload: lasting tasks hold nearly all of a pool, short tasks that are due within a second find only crumbs of it, and batch work of lower
 * priority is in the way of more urgent work. Stops cost callers something, so they are made only where they help: the task that waits
 * fits on the worker after them and is on time, and what becomes free anyway in the time that a stop takes does not suffice.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import { reservedSize } from "../job-table/occupancy.js";
import type { Attempt, Task } from "../job-table/task.js";
import type { Queue } from "../model/catalog.js";
import { addSize, fitsInto, ZERO_SIZE } from "../model/size.js";
import type { Size } from "../model/size.js";
import type { Candidate } from "./candidate.js";
import { isSuspect } from "./crashes.js";
import type { Durations } from "./durations.js";
import type { Move } from "./moves.js";
import { compareOffers, findOffer, mayRunOn } from "./offers.js";
import type { Caller, Offer } from "./offers.js";
import { assessTimeliness, isOverdue } from "./order.js";
import { createAwayBudget, LASTING_WORK_MILLISECONDS, listYielding } from "./yielding.js";

/** A lasting task that gave way is not started again before this, in milliseconds, unless room is ample. */
const PAUSE_MILLISECONDS = 2_000;

/** A late task that has waited longer, in milliseconds, would never get room. */
const HOPELESS_WAIT_MILLISECONDS = 4_000;

/** Limits of stops in one pass, and in one second. */
const MAXIMUM_STOPS_PER_PASS = 6;
const MAXIMUM_STOPS_PER_SECOND = 40;

/** Share of a pool's lasting tasks that may be away at the same time because they gave way; one may be in any case. */
const MAXIMUM_AWAY_SHARE = 0.05;

/** Steps that room is sought for in one pass; each looks at all workers of a pool. */
const MAXIMUM_CALLERS = 4;

/** An attempt that runs longer than this many times its estimate is not expected to end soon. */
const LATEST_END_FACTOR = 2;

const SECOND_MILLISECONDS = 1_000;

/** What the choice depends on: parts of a pass's snapshot, and what the pass has decided before. */
export interface ScarceRoom {
    readonly startableTasks: readonly Task[];
    readonly queues: ReadonlyMap<string, Queue>;
    readonly attemptsToStop: ReadonlySet<Attempt>;
    readonly durations: Durations;
    readonly stopLimitMilliseconds: number;
    readonly moves: readonly Move[];
    /** Workers of the task's pool, with the starts of the pass. */
    candidatesFor(task: Task): readonly Candidate[];
    readonly isPlaced: (task: Task) => boolean;
}

/** Whether a task gave way so recently that it leaves the room to those that it gave way to. */
export function isPausing({ gaveWayAtMilliseconds: gaveWayAt, step }: Task, now: number): boolean {
    return step.isLasting && gaveWayAt !== undefined && now - gaveWayAt < PAUSE_MILLISECONDS;
}

/** Chooses the attempts that give way to the first tasks of the steps that found no worker, most urgent first. */
export function planGivingWay(blocked: readonly Task[], room: ScarceRoom, now: number): Move[] {
    const callers = blocked.flatMap(task => describeCaller(task, blocked, room, now));
    if (callers.length === 0) {
        return [];
    }
    const waiting = countWaiting(room);
    const pools = new Map<readonly Candidate[], PoolPlan>();
    const moves: Move[] = [];
    let searches = 0;
    for (const caller of callers) {
        const candidates = room.candidatesFor(caller.task);
        const pool = pools.get(candidates) ?? createPoolPlan(candidates, room, now);
        pools.set(candidates, pool);
        const missing = pool.leaveComing(caller.size, waiting.get(stepProgressOf(caller.task)) ?? 0);
        if (missing > 0 && searches < MAXIMUM_CALLERS) {
            searches += 1;
            moves.push(...pool.makeRoom(caller, missing));
        }
    }
    return moves;
}

function describeCaller(task: Task, blocked: readonly Task[], room: ScarceRoom, now: number): Caller[] {
    const { entry, occurrence, step } = task;
    const queue = room.queues.get(entry.queue);
    if (queue === undefined || step.isGang || step.isFiller || isSuspect(task)) {
        return [];
    }
    const size = reservedSize(step);
    const { priority } = queue;
    const caller = { task, size, priority, lastingFrom: priority + 1, othersFrom: priority + 1 };
    if (step.isLasting) {
        return isOverdue(task, now) ? [{ ...caller, work: size.millicores * LASTING_WORK_MILLISECONDS }] : [];
    }
    const work = size.millicores * room.durations.estimate(step);
    const { timeliness } = assessTimeliness(occurrence, queue, room.durations, now + room.stopLimitMilliseconds);
    if (timeliness === 0) {
        return [{ ...caller, work, lastingFrom: priority }];
    }
    // A lasting task that waits goes before late ones, and would take the room.
    const isHopeless = now - task.readyAtMilliseconds >= HOPELESS_WAIT_MILLISECONDS
        && !blocked.some(other => isOverdue(other, now));
    return isHopeless ? [{ ...caller, work, lastingFrom: priority, othersFrom: Infinity }] : [];
}

/** Counts the tasks of each step that wait after the starts of the pass. */
function countWaiting({ isPlaced, startableTasks }: ScarceRoom): Map<StepProgress, number> {
    const counts = new Map<StepProgress, number>();
    for (const task of startableTasks) {
        if (!isPlaced(task)) {
            const step = stepProgressOf(task);
            counts.set(step, (counts.get(step) ?? 0) + 1);
        }
    }
    return counts;
}

/** Room of a pool that becomes free, and the stops that the pass adds. */
interface PoolPlan {
    /** Gives waiting tasks what becomes free without further stops; returns the number of those that are left. */
    leaveComing(size: Size, count: number): number;
    makeRoom(caller: Caller, missing: number): Move[];
}

function createPoolPlan(candidates: readonly Candidate[], room: ScarceRoom, now: number): PoolPlan {
    const moved = new Set(room.moves.map(({ attempt }) => attempt));
    const isStopping = (attempt: Attempt): boolean =>
        attempt.phase === "stopping" || room.attemptsToStop.has(attempt) || moved.has(attempt);
    const budget = createAwayBudget(new Set(candidates.map(({ worker }) => worker.id)), isStopping);
    let coming = sumComing(candidates, isStopping, room, now);
    let { stops, lastingStops } = countStopsLeft(candidates, room, now);
    /** Attempts that may give way, by worker. Where something is being stopped, room is on its way already. */
    const yieldingByWorker = new Map(
        candidates.filter(({ load }) => !load.attempts.some(isStopping))
            .map(candidate => [candidate, listYielding(candidate, { ...room, isStopping }, now)]),
    );

    const accept = ({ candidate, yielding }: Offer): Move[] => {
        const lasting = yielding.filter(({ attempt }) => attempt.task.step.isLasting);
        const isAllowed = yielding.length <= stops && lasting.length <= lastingStops
            && lasting.every(({ attempt }) => budget.isLeft(attempt.task));
        if (!isAllowed) {
            return [];
        }
        yieldingByWorker.delete(candidate);
        stops -= yielding.length;
        lastingStops -= lasting.length;
        lasting.forEach(({ attempt }) => budget.spend(attempt.task));
        return yielding.map(({ attempt }) => ({ attempt, reason: "gives way to more urgent work", isGivingWay: true }));
    };

    return {
        leaveComing(size, count) {
            let left = count;
            while (left > 0 && fitsInto(size, coming)) {
                coming = addSize(coming, size, -1);
                left -= 1;
            }
            return left;
        },
        makeRoom(caller, missing) {
            if (stops <= 0) {
                return [];
            }
            const offers = [...yieldingByWorker]
                .filter(([candidate]) => mayRunOn(caller.task, candidate, now))
                .map(([candidate, yielding]) => findOffer(caller, candidate, yielding, budget))
                .filter(offer => offer !== undefined)
                .sort(compareOffers);
            const moves: Move[] = [];
            let left = missing;
            for (const offer of offers) {
                if (left <= 0) {
                    break;
                }
                const accepted = accept(offer);
                left -= accepted.length > 0 ? offer.tasks : 0;
                moves.push(...accepted);
            }
            return moves;
        },
    };
}

/** Room that becomes free in the time that a stop takes: by attempts that are being stopped, and by those that end soon. */
function sumComing(
    candidates: readonly Candidate[],
    isStopping: (attempt: Attempt) => boolean,
    { durations, stopLimitMilliseconds }: ScarceRoom,
    now: number,
): Size {
    let coming = ZERO_SIZE;
    for (const attempt of candidates.flatMap(({ load }) => load.attempts)) {
        const { orderedAtMilliseconds: orderedAt, runningSinceMilliseconds: since = orderedAt, task: { step } } =
            attempt;
        const estimate = step.isLasting ? Infinity : durations.estimate(step);
        const elapsed = now - since;
        const endsSoon = estimate - elapsed <= stopLimitMilliseconds && elapsed <= estimate * LATEST_END_FACTOR;
        if (endsSoon || isStopping(attempt)) {
            coming = addSize(coming, reservedSize(step));
        }
    }
    return coming;
}

/** Counts the stops that are still allowed: in this pass and second, and of lasting tasks. */
function countStopsLeft(
    candidates: readonly Candidate[],
    { startableTasks }: ScarceRoom,
    now: number,
): { readonly stops: number; readonly lastingStops: number; } {
    const running = candidates.flatMap(({ load }) => load.attempts).map(({ task }) => task);
    const lasting = running.filter(({ step }) => step.isLasting).length;
    const waiting = startableTasks.filter(({ gaveWayAtMilliseconds: gaveWayAt }) => gaveWayAt !== undefined);
    const recent = [...running, ...waiting].filter(({ gaveWayAtMilliseconds: gaveWayAt }) =>
        gaveWayAt !== undefined && now - gaveWayAt < SECOND_MILLISECONDS
    );
    const away = waiting.filter(({ step }) => step.isLasting).length
        + recent.filter(({ attempts, step }) => step.isLasting && attempts.length > 0).length;
    // One that gave way and has waited long shows that there is no room for those that would follow.
    const isRoomOwed = waiting.some(task => isOverdue(task, now));
    return {
        stops: Math.min(MAXIMUM_STOPS_PER_PASS, MAXIMUM_STOPS_PER_SECOND - recent.length),
        lastingStops: isRoomOwed ? 0 : Math.max(1, Math.floor(lasting * MAXIMUM_AWAY_SHARE)) - away,
    };
}
