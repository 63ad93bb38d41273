/**
 * Task sizes: declared sizes corrected by the measured use of the rule.
 *
 * Cores are measured by their mean, since tasks share a worker's cores, plus a margin that shrinks as reports arrive.
 * Memory is measured by its peak plus the whole margin. Until there are enough reports, the measured use is at least
 * the
 * declared size. The declared size also counts, unless `reclaimCores` makes declared but unused cores available.
 */
import type { WorkerReport } from "../platform/worker.js";
import type { Resources } from "../rules/rule.js";
import type { TaskSize } from "./capacity.js";
import { setBounded } from "./reports.js";
import type { SizeSettings } from "./settings.js";

/** Measured use per rule. */
export interface SizeModel {
    observe(report: WorkerReport, now: number): void;
    /** Returns the size of a task of the rule for placement. */
    correct(rule: string, declared: Resources, now: number): TaskSize;
    /** Returns the mean cores that a task of the rule uses; the declared ones without reports. */
    estimateCores(rule: string, declared: Resources): number;
}

interface RuleUsage {
    peakMemoryBytes: number;
    meanCores: number;
    reports: number;
    updatedAtMilliseconds: number;
}

const MAX_TRACKED_RULES = 4_096;
/** Smallest weight of a new report in the mean. */
const AVERAGE_GAIN = 0.02;
/** Reports from which measured use replaces the declared size. */
const MIN_REPORTS_FOR_KNOWN_SIZE = 20;

/** Creates a model without reports. */
export function createSizeModel(settings: SizeSettings): SizeModel {
    const usages = new Map<string, RuleUsage>();
    return {
        observe(report, now) {
            for (const { rule, cores, memoryBytes, throttleShare } of report.usages) {
                const usage = decayPeak(usages.get(rule), settings, now);
                applyUsage(usage, cores, memoryBytes, throttleShare);
                setBounded(usages, rule, usage, MAX_TRACKED_RULES);
            }
        },
        correct(rule, declared, now) {
            const tracked = usages.get(rule);
            return tracked === undefined
                ? { ...declared, usedCores: declared.cores, usedMemoryBytes: declared.memoryBytes }
                : correctSize(decayPeak(tracked, settings, now), declared, settings);
        },
        estimateCores(rule, declared) {
            const usage = usages.get(rule);
            return usage === undefined || usage.reports === 0 ? declared.cores : usage.meanCores;
        },
    };
}

/** Reduces the stored memory peak with time, so that a single outlier loses its effect. */
function decayPeak(usage: RuleUsage | undefined, settings: SizeSettings, now: number): RuleUsage {
    if (usage === undefined) {
        return {
            peakMemoryBytes: 0,
            meanCores: 0,
            reports: 0,
            updatedAtMilliseconds: now,
        };
    }
    const remainingShare = 0.5 ** (Math.max(0, now - usage.updatedAtMilliseconds) / settings.halfLifeMilliseconds);
    return {
        ...usage,
        peakMemoryBytes: usage.peakMemoryBytes * remainingShare,
        updatedAtMilliseconds: now,
    };
}

function applyUsage(usage: RuleUsage, cores: number, memoryBytes: number, throttleShare: number): void {
    usage.peakMemoryBytes = Math.max(usage.peakMemoryBytes, memoryBytes);
    // A throttled task reports fewer cores than it would use unthrottled.
    if (throttleShare < 1) {
        return;
    }
    usage.reports += 1;
    const gain = Math.max(AVERAGE_GAIN, 1 / usage.reports);
    usage.meanCores += gain * (cores - usage.meanCores);
}

function correctSize(usage: RuleUsage, declared: Resources, settings: SizeSettings): TaskSize {
    const tracked = usage.reports >= MIN_REPORTS_FOR_KNOWN_SIZE;
    const certainty = Math.max(1, Math.sqrt(usage.reports / MIN_REPORTS_FOR_KNOWN_SIZE));
    const observedCores = usage.meanCores * (1 + settings.allowance / certainty);
    const observedMemoryBytes = Math.ceil(usage.peakMemoryBytes * (1 + settings.allowance));
    const usedCores = tracked ? observedCores : Math.max(declared.cores, observedCores);
    return {
        ...declared,
        cores: tracked && settings.reclaimCores ? Math.min(declared.cores, usedCores) : declared.cores,
        usedCores,
        usedMemoryBytes: tracked ? observedMemoryBytes : Math.max(declared.memoryBytes, observedMemoryBytes),
    };
}
