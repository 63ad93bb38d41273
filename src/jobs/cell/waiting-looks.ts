/**
 * Looks at the workers of a pool for tasks that wait, which tell what stands against their start.
 *
 * Workload: a thousand steps wait at an owner with a third of a core, most of them like many others. Tasks of one kind share a look, and the
 * looks of one check are limited. Kinds change from check to check, so that nothing is kept for the next one.
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
const MAXIMUM_LOOKS = 200;

/** Why a task is not started, with its turn where the latest pass has not come to it. */
export interface TaskExplanation extends PlacementExplanation {
    readonly tasksBefore?: number;
    readonly startsInFlight?: number;
    readonly oldestStartMilliseconds?: number;
}

/** Looks of one check. */
export interface WaitingLooks {
    /** Explains why a task that the passes look at is not started. */
    explain(task: Task): TaskExplanation;
    /** Finds the reasons of many tasks; absent for those that the limit of looks leaves out. Kinds are looked at in the order of the tasks. */
    findReasons(tasks: readonly Task[]): (WaitingReason | undefined)[];
}

/** A pool with the kinds of its tasks. */
interface DescribedPool {
    readonly situation: PoolSituation;
    readonly kindOf: (task: Task) => string;
}

/** Begins a check without looks. */
export function createWaitingLooks(cell: CellContext, latestPass: LatestPass, now: number): WaitingLooks {
    const describedPoolOf = createPoolDescriptions(cell, latestPass, now);
    const tasksBefore = countTasksBefore(latestPass.unreachedTasks, task => poolOf(cell, task));
    const tasksBeforeOf = (task: Task): number | undefined => tasksBefore.get(stepProgressOf(task));
    const explanations = new Map<string, PlacementExplanation>();

    const kindOf = (task: Task): string => {
        const pool = poolOf(cell, task);
        return `${pool ?? ""} ${describedPoolOf(pool).kindOf(task)}`;
    };
    const look = (task: Task, kind: string): PlacementExplanation => {
        const explanation = explanations.get(kind)
            ?? explainPlacement(task, describedPoolOf(poolOf(cell, task)).situation, now);
        explanations.set(kind, explanation);
        return explanation;
    };

    return {
        explain: task => addTurn(look(task, kindOf(task)), tasksBeforeOf(task), latestPass, now),
        findReasons(tasks) {
            const limit = explanations.size + MAXIMUM_LOOKS;
            return tasks.map(task => {
                const kind = kindOf(task);
                const explanation = explanations.size < limit ? look(task, kind) : explanations.get(kind);
                return explanation && explainTurn(explanation, tasksBeforeOf(task));
            });
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
