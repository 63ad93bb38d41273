/**
 * Intake of usage reports: which of them are news.
 */
import type { WorkerReport } from "../platform/worker.js";
import type { ReportSettings } from "./settings.js";

/** What a report is worth. Only `news` is learned from. */
export type ReportClassification = "news" | "old" | "repeated" | "future";

/** Remembers the newest report of each worker. */
export interface ReportFilter {
    classify(report: WorkerReport, now: number): ReportClassification;
}

const MAX_TRACKED_WORKERS = 4_096;

/** Creates an intake that has seen no report. */
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

/** Sets an entry of a bounded map; the entry that was set longest ago makes room. */
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
