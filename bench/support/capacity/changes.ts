/**
 * Estimates of what changes of rules cost at the target's rate.
 */
import type { Estimate } from "./estimate.js";
import type { Line } from "./fit.js";
import type { Point } from "./measure.js";
import { lineOf } from "./series.js";
import type { Series } from "./series.js";
import { target } from "./target.js";

const SECONDS_PER_DAY = 86_400;

/** Edits of rules, at the target's rate of changes. */
export function estimateChanges({ changes }: Series): Estimate[] {
    const perSecond = target.configurationChangesPerDay / SECONDS_PER_DAY;
    const byChanges = (read: (point: Point) => number) => lineOf(changes, point => point.changesPerSecond, read);
    const estimate = (role: string, measure: string, unit: string, line: Line, mechanism: string): Estimate => ({
        role,
        measure,
        unit,
        per: "change a second",
        line,
        atTarget: line.slope * perSecond,
        mechanism,
    });
    return [
        estimate(
            "configuration",
            "writes of the store for changes",
            "writes/s",
            byChanges(point => point.store.writes),
            "one compare-and-swap for each accepted file, whatever the number of processes",
        ),
        estimate(
            "configuration",
            "bytes that the store sends for changes",
            "bytes/s",
            byChanges(point => point.store.bytesOut),
            "a few processes watch the store, the others hear of a change from peers and read what they lack",
        ),
        estimate(
            "configuration",
            "processor time of a gateway for changes",
            "cores",
            byChanges(point => point.gateway.processorShare),
            "a change replaces one team's document",
        ),
        estimate(
            "configuration",
            "processor time of a scheduler for changes",
            "cores",
            byChanges(point => point.scheduler.processorShare),
            "a change replaces one team's document; only jobs of changed rules are looked at",
        ),
    ];
}
