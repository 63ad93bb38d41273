/**
 * Reports of runs: a Markdown page with the command, the checks and the plots.
 */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { BenchResult, Check } from "../experiment.js";
import { drawBars } from "./bars.js";
import type { BarChart } from "./bars.js";
import { drawPlot } from "./plot.js";
import type { Plot } from "./plot.js";
import { writeTable } from "./table.js";

/** What a report is written from. */
export interface ReportContent {
    readonly result: BenchResult;
    readonly summary: string;
    readonly command: string;
    readonly plots: readonly Drawing[];
    /** Progress lines of the run. */
    readonly lines: readonly string[];
    readonly takenAt: Date;
}

/** What a report can show. */
export type Drawing = Plot | BarChart;

const DIGITS = 6;
const LINES_SHOWN = 60;

/** Writes `NAME.md` and an SVG for each plot into a folder; gives the page's path. */
export async function writeReport(folder: string, content: ReportContent): Promise<string> {
    await mkdir(folder, { recursive: true });
    const { bench } = content.result;
    for (const plot of content.plots) {
        await writeFile(join(folder, nameFile(bench, plot)), "bars" in plot ? drawBars(plot) : drawPlot(plot));
    }
    const page = join(folder, `${bench}.md`);
    await writeFile(page, writePage(content));
    return page;
}

function writePage({ result, summary, command, plots, lines, takenAt }: ReportContent): string {
    return [
        `# ${result.bench}`,
        "",
        `${summary.charAt(0).toUpperCase()}${summary.slice(1)}.`,
        "",
        `Command: \`${command}\`, seed ${result.seed}, on ${
            takenAt.toISOString().slice(0, 10)
        }, one machine, loopback only. `
        + (result.holds ? "All checks hold." : "**Not all checks hold.**"),
        "",
        ...writeTable([["check", "figure", "unit", "bound", "baseline", "holds"], ...result.checks.map(toRow)]),
        "",
        ...plots.flatMap(plot => [`![${plot.title}](${nameFile(result.bench, plot)})`, ""]),
        ...(lines.length === 0
            ? []
            : ["The end of what the run printed:", "", "```", ...lines.slice(-LINES_SHOWN), "```", ""]),
    ].join("\n");
}

function toRow({ name, figure, unit, bound, baseline, holds }: Check): (string | number)[] {
    const base = baseline === undefined ? "" : shorten(baseline);
    return [name, shorten(figure), unit, shorten(bound), base, holds ? "yes" : "**no**"];
}

function nameFile(bench: string, plot: Drawing): string {
    return `${bench}-${plot.name}.svg`;
}

function shorten(figure: number): number {
    return Number(figure.toPrecision(DIGITS));
}
