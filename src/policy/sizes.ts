/**
 * Sizes of tasks: what was declared, corrected by what usage reports have shown for the rule.
 *
 * Cores count by the mean that reports show, since workers share them out, with an allowance that shrinks as reports
 * come in; memory counts by the peak with the whole allowance. Until there are enough reports the declared size counts. What was declared is kept to as well, unless
 * `reclaimCores` lets declared cores that are not used be given to others.
 */
import type { WorkerReport } from "../platform/worker.js";
import type { Resources } from "../rules/rule.js";
import type { TaskSize } from "./capacity.js";
import { setBounded } from "./reports.js";
import type { SizeSettings } from "./settings.js";

/** Sizes learned per rule. */
export interface SizeModel {
    observe(report: WorkerReport, now: number): void;
    /** Size that a task of the rule counts for. */
    correct(rule: string, declared: Resources, now: number): TaskSize;
    /** Cores that a task of the rule uses on average; the declared ones until there are reports. */
    estimateCores(rule: string, declared: Resources): number;
}

interface RuleUsage {
    peakMemoryBytes: number;
    meanCores: number;
    reports: number;
    updatedAtMilliseconds: number;
}

const MAX_TRACKED_RULES = 4_096;
/** Weight of the newest report in the averages. */
const AVERAGE_GAIN = 0.02;
/** Usages reported before they count in place of the declared size. */
const MIN_REPORTS_FOR_KNOWN_SIZE = 20;

/** Creates a model that has seen no report. */
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

/** Peaks that were not seen again lately shrink, so that one odd report does not count for ever. */
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
    // A throttled task shows less than it would use.
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
