/**
 * Filter of usage reports: recognises old, repeated and future reports.
 */
import type { WorkerReport } from "../platform/worker.js";
import type { ReportSettings } from "./settings.js";

/** Classification of a report; only `news` is used for learning. */
export type ReportClassification = "news" | "old" | "repeated" | "future";

/** Classifies reports by the time of the newest report of each worker. */
export interface ReportFilter {
    classify(report: WorkerReport, now: number): ReportClassification;
}

const MAX_TRACKED_WORKERS = 4_096;

/** Creates a report filter. */
export function createReportFilter(settings: ReportSettings): ReportFilter {
    const newest = new Map<string, number>();
    return {
        classify(report, now) {
            const { worker, measuredAtMilliseconds } = report;
            if (measuredAtMilliseconds > now + settings.clockToleranceMilliseconds) {
                return "future";
            }
            if (measuredAtMilliseconds < now - settings.longestAgeMilliseconds) {
                return "old";
            }
            if (measuredAtMilliseconds <= (newest.get(worker) ?? Number.NEGATIVE_INFINITY)) {
                return "repeated";
            }
            setBounded(newest, worker, measuredAtMilliseconds, MAX_TRACKED_WORKERS);
            return "news";
        },
    };
}

/** Sets an entry of a map with at most `limit` entries; removes the entry that was set longest ago. */
export function setBounded<Value>(map: Map<string, Value>, key: string, value: Value, limit: number): void {
    map.delete(key);
    map.set(key, value);
    if (map.size > limit) {
        const [oldest] = map.keys();
        if (oldest !== undefined) {
            map.delete(oldest);
        }
    }
}
