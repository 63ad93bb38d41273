/**
 * Bar charts as SVG, one bar a line.
 */

/** A bar chart as an experiment gives it. */
export interface BarChart {
    /** Plain name; the file is named after it. */
    readonly name: string;
    readonly title: string;
    /** What the length of a bar means. */
    readonly unit: string;
    readonly bars: readonly { readonly name: string; readonly value: number; }[];
    /** Value at which a line is drawn across all bars. */
    readonly mark?: number;
}

const WIDTH = 720;
const NAME_WIDTH = 330;
const VALUE_WIDTH = 70;
const TOP = 36;
const BAR_HEIGHT = 20;
const BAR_GAP = 6;
const NAME_LETTERS = 52;

/** Draws a chart; bars begin at zero. */
export function drawBars({ title, unit, bars, mark }: BarChart): string {
    const largest = Math.max(mark ?? 0, ...bars.map(bar => bar.value)) || 1;
    const room = WIDTH - NAME_WIDTH - VALUE_WIDTH;
    const place = (value: number) => NAME_WIDTH + Math.max(0, value) / largest * room;
    const bottom = TOP + bars.length * (BAR_HEIGHT + BAR_GAP);
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${
            bottom + 30
        }" font-family="sans-serif" font-size="12">`,
        `<rect width="${WIDTH}" height="${bottom + 30}" fill="white"/>`,
        `<text x="8" y="20" font-weight="bold">${escape(title)}</text>`,
        ...bars.flatMap(({ name, value }, index) => {
            const y = TOP + index * (BAR_HEIGHT + BAR_GAP);
            const right = place(value);
            return [
                `<text x="${NAME_WIDTH - 8}" y="${y + 15}" text-anchor="end">${escape(shorten(name))}</text>`,
                `<rect x="${NAME_WIDTH}" y="${y}" width="${
                    (right - NAME_WIDTH).toFixed(1)
                }" height="${BAR_HEIGHT}" fill="#1b6ca8"/>`,
                `<text x="${(right + 6).toFixed(1)}" y="${y + 15}">${Number(value.toPrecision(3))}</text>`,
            ];
        }),
        ...(mark === undefined
            ? []
            : [
                `<line x1="${place(mark).toFixed(1)}" y1="${TOP - 6}" x2="${
                    place(mark).toFixed(1)
                }" y2="${bottom}" stroke="#c8553d" stroke-dasharray="4 3"/>`,
            ]),
        `<text x="${NAME_WIDTH}" y="${bottom + 18}">${escape(unit)}</text>`,
        "</svg>",
        "",
    ].join("\n");
}

function shorten(name: string): string {
    return name.length <= NAME_LETTERS ? name : `${name.slice(0, NAME_LETTERS - 1)}…`;
}

function escape(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
