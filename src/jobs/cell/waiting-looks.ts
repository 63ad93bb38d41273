/**
 * Looks at the workers of a pool for tasks that wait, which tell what stands against their start.
 *
 * Workload: a thousand steps wait at an owner with a third of a core, most of them like many others. Tasks of one kind share a look. The looks
 * of one check are limited, and the kinds whose latest look is oldest come first.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { Task } from "../job-table/task.js";
import { createKinds } from "../policy/waiting-kind.js";
import type { WaitingReason, WorkerObstacle } from "../policy/waiting-reasons.js";
import { countTasksBefore, explainTurn } from "../policy/waiting-turn.js";
import { explainPlacement } from "../policy/waiting.js";
import type { PlacementExplanation, PoolSituation } from "../policy/waiting.js";
import type { CellContext } from "./context.js";
import type { LatestPass } from "./dispatch.js";
import { findWorkerObstacle } from "./pools.js";

/** Limit of looks that one check makes for counts; those for its lines come besides. */
const MAXIMUM_LOOKS = 100;

/** Why a task is not started, with its turn where the latest pass has not come to it. */
export interface TaskExplanation extends PlacementExplanation {
    readonly tasksBefore?: number;
    readonly startsInFlight?: number;
    readonly oldestStartMilliseconds?: number;
}

/** Looks of one check. */
export interface CheckedLooks {
    /** Explains by a look of this check why a task that the passes look at is not started. */
    explain(task: Task): TaskExplanation;
    /** Finds the reason of each of many tasks by the latest look for its kind; absent if there has been none. */
    findReasons(tasks: readonly Task[]): (WaitingReason | undefined)[];
}

/** Looks for the waiting tasks of a cell. */
export interface WaitingLooks {
    startCheck(latestPass: LatestPass, now: number): CheckedLooks;
}

interface Look {
    readonly atMilliseconds: number;
    readonly explanation: PlacementExplanation;
}

/** A pool with the kinds of its tasks. */
interface DescribedPool {
    readonly situation: PoolSituation;
    readonly kindOf: (task: Task) => string;
}

/** Starts without looks. */
export function createWaitingLooks(cell: CellContext): WaitingLooks {
    let latestLooks = new Map<string, Look>();

    return {
        startCheck(latestPass, now) {
            const describedPoolOf = createPoolDescriptions(cell, latestPass, now);
            const kindOf = (task: Task): string => {
                const pool = poolOf(cell, task);
                return `${pool ?? ""} ${describedPoolOf(pool).kindOf(task)}`;
            };
            const look = (task: Task, kind: string): PlacementExplanation => {
                const explanation = explainPlacement(task, describedPoolOf(poolOf(cell, task)).situation, now);
                latestLooks.set(kind, { atMilliseconds: now, explanation });
                return explanation;
            };
            const tasksBefore = countTasksBefore(latestPass.unreachedTasks, task => poolOf(cell, task));
            const tasksBeforeOf = (task: Task): number | undefined => tasksBefore.get(stepProgressOf(task));
            const lookedAt = (kind: string): number => latestLooks.get(kind)?.atMilliseconds ?? 0;
            return {
                explain(task) {
                    const kind = kindOf(task);
                    const latest = latestLooks.get(kind);
                    const explanation = latest?.atMilliseconds === now ? latest.explanation : look(task, kind);
                    return addTurn(explanation, tasksBeforeOf(task), latestPass, now);
                },
                findReasons(tasks) {
                    const kinds = tasks.map(kindOf);
                    const examples = new Map<string, Task>();
                    tasks.forEach((task, index) => examples.set(kinds[index] ?? "", task));
                    [...examples].filter(([kind]) => lookedAt(kind) < now)
                        .sort(([left], [right]) => lookedAt(left) - lookedAt(right))
                        .slice(0, MAXIMUM_LOOKS)
                        .forEach(([kind, task]) => look(task, kind));
                    latestLooks = new Map([...latestLooks].filter(([kind]) => examples.has(kind)));
                    return tasks.map((task, index) => {
                        const latest = latestLooks.get(kinds[index] ?? "");
                        return latest && explainTurn(latest.explanation, tasksBeforeOf(task));
                    });
                },
            };
        },
    };
}

function addTurn(
    explanation: PlacementExplanation,
    tasksBefore: number | undefined,
    { oldestStartAtMilliseconds: oldestStartAt, startsInFlight }: LatestPass,
    now: number,
): TaskExplanation {
    const reason = explainTurn(explanation, tasksBefore);
    if (tasksBefore === undefined || reason !== "start-limit" && reason !== "turn") {
        return explanation;
    }
    const oldest = oldestStartAt === undefined ? {} : { oldestStartMilliseconds: Math.round(now - oldestStartAt) };
    return { ...explanation, reason, tasksBefore, startsInFlight, ...oldest };
}

/** Name of the pool whose workers may run a task; absent if the configuration has no such queue. */
export function poolOf(cell: CellContext, { entry }: Task): string | undefined {
    return cell.catalog().queues.get(entry.queue)?.pool;
}

/** Returns a function that describes a pool, and remembers what it has described. */
function createPoolDescriptions(
    cell: CellContext,
    { pools }: LatestPass,
    now: number,
): (pool: string | undefined) => DescribedPool {
    const { durations, interference, workers } = cell;
    const described = new Map<string | undefined, DescribedPool>();
    const describe = (pool: string | undefined): DescribedPool => {
        const unavailable = new Map<WorkerObstacle, number>();
        const available = new Set<string>();
        for (const worker of workers.values()) {
            if (worker.listed.pool !== pool) {
                continue;
            }
            const obstacle = findWorkerObstacle(cell, worker, now);
            if (obstacle === undefined) {
                available.add(worker.listed.id);
            }
            else {
                unavailable.set(obstacle, (unavailable.get(obstacle) ?? 0) + 1);
            }
        }
        // Copies, because explanations store expected pressures on the candidates that they look at.
        const candidates = (pools.get(pool ?? "") ?? []).filter(({ worker }) => available.has(worker.id))
            .map(candidate => ({ ...candidate }));
        const { queues } = cell.catalog();
        const situation = { candidates, unavailable, interference, durations, queues };
        return { situation, kindOf: createKinds(situation, now) };
    };
    return pool => {
        const description = described.get(pool) ?? describe(pool);
        described.set(pool, description);
        return description;
    };
}
