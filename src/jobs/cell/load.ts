/**
 * How full a cell is, for the log: whoever asks why a task waited finds here what there was beside it.
 */
import { isServing } from "../job-table/occupancy.js";
import { addSize, ZERO_SIZE } from "../model/size.js";
import type { CellContext } from "./context.js";

/** Load of a cell at one moment. */
export interface CellLoad {
    readonly jobs: number;
    readonly readyTasks: number;
    /** Longest time that a task has waited which could start. */
    readonly longestWaitMilliseconds: number;
    /** Tasks by the queue in which they wait. */
    readonly readyByQueue: Readonly<Record<string, number>>;
    readonly workers: number;
    readonly answeringWorkers: number;
    /** Workers on which tasks serve. */
    readonly servingWorkers: number;
    readonly capacityCores: number;
    /** Cores that are kept for tasks, those of fillers not counted. */
    readonly keptCores: number;
    readonly servingCores: number;
    /** Cores that fillers ask for, and what the workers say they get. */
    readonly fillerCores: number;
    readonly fillerCoresUsed: number;
    /** Fillers that have been told to stand still or to slow down. */
    readonly slowedFillers: number;
    readonly attempts: number;
}

const MILLICORES_PER_CORE = 1_000;

/** Sums up a cell's load. */
export function summarizeLoad({ jobTable: board, workers }: CellContext, now: number): CellLoad {
    const readyByQueue: Record<string, number> = {};
    let longestWaitMilliseconds = 0;
    for (const { entry: { queue }, readyAtMilliseconds } of board.readyTasks) {
        readyByQueue[queue] = (readyByQueue[queue] ?? 0) + 1;
        longestWaitMilliseconds = Math.max(longestWaitMilliseconds, now - readyAtMilliseconds);
    }
    const answering = [...workers.values()].filter(({ contact }) => contact === "answering");
    const loads = answering.map(({ listed }) => board.occupancy.load(listed.id));
    const attempts = loads.flatMap(load => load.attempts);
    const fillers = attempts.filter(({ task }) => task.step.isFiller);
    const cores = (millicores: number): number => Math.round(millicores / MILLICORES_PER_CORE);
    const sum = (amounts: readonly number[]): number => amounts.reduce((total, amount) => total + amount, 0);
    return {
        jobs: board.jobs.size,
        readyTasks: board.readyTasks.size,
        longestWaitMilliseconds: Math.round(longestWaitMilliseconds),
        readyByQueue,
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
