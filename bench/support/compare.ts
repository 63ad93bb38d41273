/**
 * Comparison of two results of one experiment: what got worse.
 */
import type { BenchResult, Check } from "./experiment.js";

/** Changes smaller than this share of the figure before are noise. */
const NOISE_SHARE = 0.1;

/** What a comparison found. */
export interface Comparison {
    readonly lines: readonly string[];
    /** Names of the checks that got worse, are gone, or hold no more. */
    readonly worse: readonly string[];
}

/** Compares the checks of two results by name. */
export function compareResults(before: BenchResult, after: BenchResult): Comparison {
    const lines: string[] = [];
    const worse: string[] = [];
    for (const old of before.checks) {
        const current = after.checks.find(check => check.name === old.name);
        const verdict = judge(old, current);
        if (verdict !== "same" && verdict !== "better") {
            worse.push(old.name);
        }
        lines.push(`${verdict.padEnd(10)} ${old.name}: ${old.figure} -> ${current?.figure ?? "gone"} ${old.unit}`);
    }
    for (const check of after.checks.filter(each => before.checks.every(old => old.name !== each.name))) {
        lines.push(`${"new".padEnd(10)} ${check.name}: ${check.figure} ${check.unit}`);
    }
    return { lines, worse };
}

type Verdict = "same" | "better" | "worse" | "gone" | "fails now";

function judge(old: Check, current: Check | undefined): Verdict {
    if (current === undefined) {
        return "gone";
    }
    if (old.holds && !current.holds) {
        return "fails now";
    }
    const change = current.figure - old.figure;
    if (Math.abs(change) <= Math.abs(old.figure) * NOISE_SHARE) {
        return "same";
    }
    return (change > 0) === isLowerBetter(old, current) ? "worse" : "better";
}

/** A check that holds above its bound, or fails below it, wants a high figure. */
function isLowerBetter(old: Check, current: Check): boolean {
    const wantsHigh = (check: Check) => check.holds ? check.figure > check.bound : check.figure < check.bound;
    return !wantsHigh(old) && !wantsHigh(current);
}
