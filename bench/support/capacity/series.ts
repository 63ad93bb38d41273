/**
 * Series of measured points, and lines through them.
 */
import { fitLine } from "./fit.js";
import type { Line } from "./fit.js";
import type { Point } from "./measure.js";

/** Series of points: growing fleets, numbers of entry instances, traffic, and edits. */
export interface Series {
    /** Processes that wanted to run in the minute before the first point. */
    readonly machineLoad: number;
    readonly workers: readonly Point[];
    readonly instances: readonly Point[];
    readonly calls: readonly Point[];
    readonly changes: readonly Point[];
}

/** The size that most series grow by. */
export const workersOf = (point: Point) => point.size.workers;

/** Fits a line through a series. */
export function lineOf(
    points: readonly Point[],
    size: (point: Point) => number,
    figure: (point: Point) => number,
): Line {
    return fitLine(points.map(point => ({ size: size(point), figure: figure(point) })));
}
