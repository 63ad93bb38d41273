/**
 * Usage reports of a worker: measured at intervals, shown with a lag.
 */
import type { AttemptUsage, WorkerReport } from "../../src/platform/worker.js";
import type { Attempts, RunningAttempt } from "./attempts.js";
import type { Interference } from "./interference.js";

/** Options of the reports. */
export interface ReportsOptions {
    readonly worker: string;
    readonly attempts: Attempts;
    readonly interference: Interference;
    readonly lagMilliseconds: number;
    readonly intervalMilliseconds: number;
    incarnation(): string;
    connections(): WorkerReport["connections"];
}

/** Measures and shows. */
export interface Reports {
    readonly addLatency: (attempt: RunningAttempt, milliseconds: number) => void;
    measure(now: number): void;
    /** The newest report that is as old as the lag. */
    readonly read: (now: number) => WorkerReport;
}

const TAIL_QUANTILE = 0.99;

/** Creates the reports of one worker. */
export function createReports(options: ReportsOptions): Reports {
    const { attempts, interference } = options;
    const latencies = new Map<RunningAttempt, number[]>();
    let reports: WorkerReport[] = [];

    function describe(attempt: RunningAttempt): AttemptUsage {
        const profile = interference.profile(attempt.rule);
        const { kind, resources, taskId } = attempt.order;
        const isService = kind === "service";
        const samples = (latencies.get(attempt) ?? []).sort((left, right) => left - right);
        const requestsPerSecond = samples.length * 1_000 / options.intervalMilliseconds;
        const busyCores = Math.min(resources.cores, requestsPerSecond * profile.requestMilliseconds / 1_000);
        return {
            taskId,
            attempt: attempt.order.attempt,
            rule: attempt.rule,
            kind,
            cores: isService ? busyCores : resources.cores * profile.coresFactor * attempt.throttleShare,
            memoryBytes: resources.memoryBytes * profile.memoryFactor,
            progress: attempt.progress,
            throttleShare: attempt.throttleShare,
            ...(isService ? { requestsPerSecond } : {}),
            ...(isService && samples.length > 0
                ? {
                    latencyMedianMilliseconds: quantile(samples, 0.5),
                    latencyTailMilliseconds: quantile(samples, TAIL_QUANTILE),
                }
                : {}),
        };
    }

    const create = (measuredAtMilliseconds: number, usages: AttemptUsage[]): WorkerReport => ({
        worker: options.worker,
        incarnation: options.incarnation(),
        measuredAtMilliseconds,
        usages,
        connections: options.connections(),
    });

    return {
        addLatency(attempt, milliseconds) {
            const samples = latencies.get(attempt);
            if (samples === undefined) {
                latencies.set(attempt, [milliseconds]);
            }
            else {
                samples.push(milliseconds);
            }
        },
        measure(now) {
            reports.push(create(now, attempts.active().map(describe)));
            latencies.clear();
            const visible = findVisible(now);
            reports = reports.filter(report =>
                visible === undefined || report.measuredAtMilliseconds >= visible.measuredAtMilliseconds
            );
        },
        read: now => findVisible(now) ?? create(now - options.lagMilliseconds, []),
    };

    function findVisible(now: number): WorkerReport | undefined {
        return reports.findLast(report => report.measuredAtMilliseconds <= now - options.lagMilliseconds);
    }
}

function quantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
