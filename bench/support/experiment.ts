/**
 * Experiments: what `npm run bench -- NAME` runs, and what they give back.
 */
import type { ParseArgsConfig } from "node:util";
import type { Drawing } from "./report/report.js";

/** What an experiment is run with. */
export interface ExperimentContext {
    readonly seed: number;
    /** Values of the options that the experiment declares. */
    readonly values: Readonly<Record<string, string | boolean | (string | boolean)[] | undefined>>;
    /** Prints a line on how far a long run has come. */
    progress(line: string): void;
    /** Adds a plot to the report; it is drawn where the run is given `--report`. */
    plot?(plot: Drawing): void;
}

/** One figure with the bound that it is held to. */
export interface Check {
    readonly name: string;
    readonly figure: number;
    readonly unit: string;
    /** Comes from the target, never from the figure. */
    readonly bound: number;
    /** What the same run measured of the thing that is compared with. */
    readonly baseline?: number;
    readonly holds: boolean;
}

/** An experiment; each module under `bench/experiments` exports one as `experiment`. */
export interface Experiment {
    readonly name: string;
    /** One line on what it measures. */
    readonly summary: string;
    readonly options: ParseArgsConfig["options"];
    run(context: ExperimentContext): Promise<Check[]>;
}

/** The last line of a run, and the content of its result file. */
export interface BenchResult {
    readonly bench: string;
    readonly seed: number;
    readonly holds: boolean;
    readonly checks: readonly Check[];
}

/** Creates a check that holds where the figure is at most the bound. */
export function checkAtMost(name: string, figure: number, unit: string, bound: number, baseline?: number): Check {
    return { name, figure, unit, bound, ...(baseline === undefined ? {} : { baseline }), holds: figure <= bound };
}

/** Creates a check that holds where the figure is at least the bound. */
export function checkAtLeast(name: string, figure: number, unit: string, bound: number, baseline?: number): Check {
    return { name, figure, unit, bound, ...(baseline === undefined ? {} : { baseline }), holds: figure >= bound };
}
