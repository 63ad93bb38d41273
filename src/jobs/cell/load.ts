/**
 * Summarises the load of a cell for the log, which helps to explain why a task waited.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import { isServing } from "../job-table/occupancy.js";
import { countUnopenedTasks } from "../job-table/ready.js";
import type { JobsMetrics } from "../metrics.js";
import { addSize, ZERO_SIZE } from "../model/size.js";
import type { CellContext } from "./context.js";
import type { Recovery } from "./recovery.js";
import type { WaitingCounts } from "./waiting-lines.js";

/** Load of a cell at one moment. */
export interface CellLoad {
    readonly jobs: number;
    /** Memory that the jobs are counted with, in bytes, and the number of those that wait for memory. */
    readonly heldBytes: number;
    readonly deferredJobs: number;
    readonly readyTasks: number;
    /** Ready tasks that wait because a worker that has not answered since the takeover may run them. */
    readonly heldTasks: number;
    /** Workers in use that have not answered since the takeover. */
    readonly unansweredWorkers: number;
    /** Longest time that a ready task has waited. */
    readonly longestWaitMilliseconds: number;
    /** Number of ready tasks by queue. */
    readonly readyByQueue: Readonly<Record<string, number>>;
    /** Number of tasks that have waited for 2 seconds or more, by what holds them. */
    readonly waitingByReason: WaitingCounts;
    readonly workers: number;
    readonly answeringWorkers: number;
    /** Workers that run serving tasks. */
    readonly servingWorkers: number;
    readonly capacityCores: number;
    /** Cores reserved for tasks other than fillers. */
    readonly keptCores: number;
    readonly servingCores: number;
    /** Cores that fillers request, and cores that they use according to the workers. */
    readonly fillerCores: number;
    readonly fillerCoresUsed: number;
    /** Fillers that run below full pace. */
    readonly slowedFillers: number;
    readonly attempts: number;
}

const MILLICORES_PER_CORE = 1_000;

/** Summarises the load of a cell. */
export function summarizeLoad(
    { jobTable, workers }: CellContext,
    recovery: Recovery,
    waitingByReason: WaitingCounts,
    now: number,
): CellLoad {
    const readyByQueue: Record<string, number> = {};
    let longestWaitMilliseconds = 0;
    let readyTasks = 0;
    let heldTasks = 0;
    const counted = new Set<StepProgress>();
    for (const task of jobTable.readyTasks) {
        const { entry: { queue }, readyAtMilliseconds } = task;
        const step = stepProgressOf(task);
        const count = 1 + (counted.has(step) ? 0 : countUnopenedTasks(step));
        counted.add(step);
        readyTasks += count;
        readyByQueue[queue] = (readyByQueue[queue] ?? 0) + count;
        heldTasks += recovery.mayStart(task) ? 0 : count;
        longestWaitMilliseconds = Math.max(longestWaitMilliseconds, now - readyAtMilliseconds);
    }
    const answering = [...workers.values()].filter(({ contact }) => contact === "answering");
    const loads = answering.map(({ listed }) => jobTable.occupancy.load(listed.id));
    const attempts = loads.flatMap(load => load.attempts);
    const fillers = attempts.filter(({ task }) => task.step.isFiller);
    const cores = (millicores: number): number => Math.round(millicores / MILLICORES_PER_CORE);
    const sum = (amounts: readonly number[]): number => amounts.reduce((total, amount) => total + amount, 0);
    return {
        jobs: jobTable.jobs.size,
        heldBytes: jobTable.heldBytes,
        deferredJobs: jobTable.deferredJobs.size,
        readyTasks,
        heldTasks,
        unansweredWorkers: recovery.unanswered().length,
        longestWaitMilliseconds: Math.round(longestWaitMilliseconds),
        readyByQueue,
        waitingByReason,
        workers: workers.size,
        answeringWorkers: answering.length,
        servingWorkers: loads.filter(({ servingCount }) => servingCount > 0).length,
        capacityCores: cores(
            answering.reduce((total, { listed }) => addSize(total, listed.capacity), ZERO_SIZE).millicores,
        ),
        keptCores: cores(sum(loads.map(({ used }) => used.millicores))),
        servingCores: cores(sum(loads.map(({ servingMillicores }) => servingMillicores))),
        fillerCores: cores(sum(loads.map(({ fillerMillicores }) => fillerMillicores))),
        fillerCoresUsed: cores(
            sum(fillers.filter(({ task }) => !isServing(task.step)).map(({ measurement: measure }) => measure)),
        ),
        slowedFillers: fillers.filter(({ pacePercent }) => pacePercent < 100).length,
        attempts: attempts.length,
    };
}

/** Sets the gauges of a cell's load. */
export function showLoad(
    metrics: JobsMetrics,
    { heldTasks, readyByQueue, unansweredWorkers, waitingByReason }: CellLoad,
): void {
    metrics.readyTasks.reset();
    Object.entries(readyByQueue).forEach(([queue, tasks]) => metrics.readyTasks.set({ queue }, tasks));
    metrics.waitingTasks.reset();
    Object.entries(waitingByReason).forEach(([reason, tasks]) => metrics.waitingTasks.set({ reason }, tasks));
    metrics.heldTasks.set(heldTasks);
    metrics.unansweredWorkers.set(unansweredWorkers);
}

/** Resets the gauges of a cell that this instance no longer owns. */
export function clearLoad(metrics: JobsMetrics): void {
    metrics.readyTasks.reset();
    metrics.waitingTasks.reset();
    metrics.heldTasks.set(0);
    metrics.unansweredWorkers.set(0);
}
