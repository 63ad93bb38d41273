/**
 * Work of the dispatcher between two lines of the log, which shows whether an owner lacks processor time and what uses it.
 */

/** Work of the dispatcher since the last summary. */
export interface DispatchWork {
    readonly passes: number;
    /** Time spent in passes. */
    readonly dispatchMilliseconds: number;
    readonly longestPassMilliseconds: number;
    /** Longest time by which a pass began late, because the process was busy with something else. */
    readonly longestDelayMilliseconds: number;
    /** Ready tasks that were ordered, summed over the passes. */
    readonly orderedTasks: number;
    /** Searches for a worker, each of which looks at all workers of a pool. */
    readonly searches: number;
    /** Most workers that were reserved at the same time for tasks that wait for room. */
    readonly reservedWorkers: number;
}

/** A pass of the dispatcher. */
export interface DispatchPass {
    readonly delayMilliseconds: number;
    readonly milliseconds: number;
    readonly orderedTasks: number;
    readonly searches: number;
    readonly reservedWorkers: number;
}

/** Sums up the passes of a dispatcher. */
export interface DispatchRecord {
    add(pass: DispatchPass): void;
    /** Returns the work since the last call. */
    take(): DispatchWork;
}

/** Starts without a pass. */
export function createDispatchRecord(): DispatchRecord {
    let passes: DispatchPass[] = [];
    return {
        add: pass => void passes.push(pass),
        take() {
            const taken = passes;
            passes = [];
            const sum = (amount: (pass: DispatchPass) => number): number =>
                taken.reduce((total, pass) => total + amount(pass), 0);
            const longest = (amount: (pass: DispatchPass) => number): number =>
                taken.reduce((most, pass) => Math.max(most, amount(pass)), 0);
            return {
                passes: taken.length,
                dispatchMilliseconds: Math.round(sum(({ milliseconds }) => milliseconds)),
                longestPassMilliseconds: Math.round(longest(({ milliseconds }) => milliseconds)),
                longestDelayMilliseconds: Math.round(longest(({ delayMilliseconds }) => delayMilliseconds)),
                orderedTasks: sum(({ orderedTasks }) => orderedTasks),
                searches: sum(({ searches }) => searches),
                reservedWorkers: longest(({ reservedWorkers }) => reservedWorkers),
            };
        },
    };
}
