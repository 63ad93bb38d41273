/**
 * Straight lines through measured points.
 */

/** A line with the share of the variance that it explains. */
export interface Line {
    readonly base: number;
    readonly slope: number;
    readonly explained: number;
}

/** Fits a line by least squares. */
export function fitLine(points: readonly { readonly size: number; readonly figure: number; }[]): Line {
    const meanSize = mean(points.map(point => point.size));
    const meanFigure = mean(points.map(point => point.figure));
    const spread = sum(points.map(point => (point.size - meanSize) ** 2));
    const common = sum(points.map(point => (point.size - meanSize) * (point.figure - meanFigure)));
    const slope = spread === 0 ? 0 : common / spread;
    const base = meanFigure - slope * meanSize;
    const total = sum(points.map(point => (point.figure - meanFigure) ** 2));
    const left = sum(points.map(point => (point.figure - base - slope * point.size) ** 2));
    return { base, slope, explained: total === 0 ? 1 : 1 - left / total };
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
    return sum(values) / Math.max(1, values.length);
}
