/**
 * Line plots as SVG.
 */

/** One line of a plot. */
export interface PlotSeries {
    readonly name: string;
    readonly points: readonly { readonly x: number; readonly y: number; }[];
}

/** A plot as an experiment gives it. */
export interface Plot {
    /** Plain name; the file is named after it. */
    readonly name: string;
    readonly title: string;
    readonly xLabel: string;
    readonly yLabel: string;
    readonly series: readonly PlotSeries[];
}

const WIDTH = 720;
const HEIGHT = 360;
const MARGIN = { left: 70, right: 160, top: 36, bottom: 48 } as const;
const TICKS = 5;
const COLOURS = ["#1b6ca8", "#c8553d", "#3a7d44", "#8e5ea2", "#c49a00", "#5c6b73"] as const;

/** Draws a plot. Both axes begin at zero or at the smallest negative value. */
export function drawPlot(plot: Plot): string {
    const points = plot.series.flatMap(series => series.points);
    const xs = spanOf(points.map(point => point.x));
    const ys = spanOf(points.map(point => point.y));
    const right = WIDTH - MARGIN.right;
    const bottom = HEIGHT - MARGIN.bottom;
    const placeX = (x: number) => MARGIN.left + (x - xs.low) / (xs.high - xs.low) * (right - MARGIN.left);
    const placeY = (y: number) => bottom - (y - ys.low) / (ys.high - ys.low) * (bottom - MARGIN.top);
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="12">`,
        `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
        text(MARGIN.left, 20, plot.title, "start", "bold"),
        ...listTicks(xs).flatMap(x => [
            line(placeX(x), MARGIN.top, placeX(x), bottom, "#e4e4e4"),
            text(placeX(x), bottom + 16, formatTick(x), "middle"),
        ]),
        ...listTicks(ys).flatMap(y => [
            line(MARGIN.left, placeY(y), right, placeY(y), "#e4e4e4"),
            text(MARGIN.left - 6, placeY(y) + 4, formatTick(y), "end"),
        ]),
        line(MARGIN.left, bottom, right, bottom, "#333"),
        line(MARGIN.left, MARGIN.top, MARGIN.left, bottom, "#333"),
        text((MARGIN.left + right) / 2, HEIGHT - 10, plot.xLabel, "middle"),
        `<g transform="translate(16 ${(MARGIN.top + bottom) / 2}) rotate(-90)">${
            text(0, 0, plot.yLabel, "middle")
        }</g>`,
        ...plot.series.flatMap((series, index) => drawSeries(series, index, placeX, placeY)),
        "</svg>",
        "",
    ].join("\n");
}

function drawSeries(
    series: PlotSeries,
    index: number,
    placeX: (x: number) => number,
    placeY: (y: number) => number,
): string[] {
    const colour = COLOURS[index % COLOURS.length] ?? COLOURS[0];
    const path = series.points.map(({ x, y }) => `${placeX(x).toFixed(1)},${placeY(y).toFixed(1)}`).join(" ");
    const legendX = WIDTH - MARGIN.right + 12;
    const legendY = MARGIN.top + 8 + index * 18;
    return [
        `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="1.8"/>`,
        line(legendX, legendY, legendX + 18, legendY, colour),
        text(legendX + 24, legendY + 4, series.name, "start"),
    ];
}

interface Span {
    readonly low: number;
    readonly high: number;
}

function spanOf(values: readonly number[]): Span {
    const low = Math.min(0, ...values);
    const high = Math.max(0, ...values);
    return { low, high: high === low ? low + 1 : high };
}

function listTicks({ low, high }: Span): number[] {
    return Array.from({ length: TICKS + 1 }, (unused, index) => low + (high - low) * index / TICKS);
}

function formatTick(value: number): string {
    return String(Number(value.toPrecision(3)));
}

function line(x1: number, y1: number, x2: number, y2: number, colour: string): string {
    const [fromX, fromY, toX, toY] = [x1, y1, x2, y2].map(value => value.toFixed(1));
    return `<line x1="${fromX}" y1="${fromY}" x2="${toX}" y2="${toY}" stroke="${colour}"/>`;
}

function text(x: number, y: number, content: string, anchor: "start" | "middle" | "end", weight = "normal"): string {
    const escaped = content.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
    const place = `x="${x.toFixed(1)}" y="${y.toFixed(1)}"`;
    return `<text ${place} text-anchor="${anchor}" font-weight="${weight}">${escaped}</text>`;
}
