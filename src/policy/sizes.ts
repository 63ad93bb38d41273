/**
 * Sizes of tasks: what was declared, corrected by what usage reports have shown for the rule.
 *
 * A size never counts for less than reports have shown lately. By default it never counts for less than was declared
 * either; `reclaimCores` lets unused cores be given to others.
 */
import type { WorkerReport } from "../platform/worker.js";
import type { Resources } from "../rules/rule.js";
import { remember } from "./reports.js";
import type { SizeSettings } from "./settings.js";

/** Sizes learned per rule. */
export interface SizeModel {
    observe(report: WorkerReport, now: number): void;
    /** Size that a task of the rule counts for. */
    correct(rule: string, declared: Resources, now: number): Resources;
    /** Cores that a task of the rule uses on average; the declared ones until there are reports. */
    expectCores(rule: string, declared: Resources): number;
}

interface RuleUsage {
    peakCores: number;
    peakMemoryBytes: number;
    meanCores: number;
    varianceCores: number;
    reports: number;
    updatedAtMilliseconds: number;
}

const REMEMBERED_RULES = 4_096;
/** Weight of the newest report in the averages. */
const AVERAGE_GAIN = 0.05;
/** Reports before unused cores may be given to others. */
const REPORTS_BEFORE_RECLAIM = 20;
/** Deviations above the mean that a reclaimed size leaves to a task. */
const RECLAIM_DEVIATIONS = 3;

/** Creates a model that has seen no report. */
export function createSizeModel(settings: SizeSettings): SizeModel {
    const usages = new Map<string, RuleUsage>();
    return {
        observe(report, now) {
            for (const { rule, cores, memoryBytes, throttleShare } of report.usages) {
                const usage = decay(usages.get(rule), settings, now);
                learn(usage, cores, memoryBytes, throttleShare);
                remember(usages, rule, usage, REMEMBERED_RULES);
            }
        },
        correct(rule, declared, now) {
            const known = usages.get(rule);
            return known === undefined ? declared : correctSize(decay(known, settings, now), declared, settings);
        },
        expectCores(rule, declared) {
            const usage = usages.get(rule);
            return usage === undefined || usage.reports === 0 ? declared.cores : usage.meanCores;
        },
    };
}

/** Peaks that were not seen again lately shrink towards the mean, so that one odd report does not count for ever. */
function decay(usage: RuleUsage | undefined, settings: SizeSettings, now: number): RuleUsage {
    if (usage === undefined) {
        return {
            peakCores: 0,
            peakMemoryBytes: 0,
            meanCores: 0,
            varianceCores: 0,
            reports: 0,
            updatedAtMilliseconds: now,
        };
    }
    const kept = 0.5 ** (Math.max(0, now - usage.updatedAtMilliseconds) / settings.halfLifeMilliseconds);
    return {
        ...usage,
        peakCores: usage.meanCores + (usage.peakCores - usage.meanCores) * kept,
        peakMemoryBytes: usage.peakMemoryBytes * kept,
        updatedAtMilliseconds: now,
    };
}

function learn(usage: RuleUsage, cores: number, memoryBytes: number, throttleShare: number): void {
    usage.peakCores = Math.max(usage.peakCores, cores);
    usage.peakMemoryBytes = Math.max(usage.peakMemoryBytes, memoryBytes);
    // A throttled task shows less than it would use.
    if (throttleShare < 1) {
        return;
    }
    usage.reports += 1;
    const gain = Math.max(AVERAGE_GAIN, 1 / usage.reports);
    const difference = cores - usage.meanCores;
    usage.meanCores += gain * difference;
    usage.varianceCores = (1 - gain) * (usage.varianceCores + gain * difference * difference);
}

function correctSize(usage: RuleUsage, declared: Resources, settings: SizeSettings): Resources {
    const shownCores = usage.peakCores * (1 + settings.allowance);
    const shownMemoryBytes = Math.ceil(usage.peakMemoryBytes * (1 + settings.allowance));
    return {
        cores: Math.max(shownCores, leastCores(usage, declared, settings)),
        memoryBytes: Math.max(declared.memoryBytes, shownMemoryBytes),
        accelerators: declared.accelerators,
    };
}

function leastCores(usage: RuleUsage, declared: Resources, settings: SizeSettings): number {
    if (!settings.reclaimCores || usage.reports < REPORTS_BEFORE_RECLAIM) {
        return declared.cores;
    }
    const likely = usage.meanCores + RECLAIM_DEVIATIONS * Math.sqrt(usage.varianceCores);
    return Math.min(declared.cores, likely * (1 + settings.allowance));
}
