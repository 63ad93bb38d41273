/**
 * Worker health: distinguishes a broken worker from jobs that fail on every worker.
 *
 * The evidence against a worker is a log-likelihood ratio: how much more likely its failures are if it is broken than
 * if
 * it is healthy. A healthy worker has the failure rate that the rule shows on other workers. The evidence is recomputed
 * for each decision, so that the first workers to run a rule are cleared once the rule fails on others as well.
 */
import type { AttemptEnd, Decision, PlacedTask, WorkerView } from "./policy.js";
import { setBounded } from "./reports.js";
import type { QuarantineSettings } from "./settings.js";

/** `trusted` workers accept all tasks, workers on `probation` one trial at a time, those in `quarantine` none. */
export type HealthState = "trusted" | "probation" | "quarantine";

/** Derives worker health from the outcomes of attempts. */
export interface HealthModel {
    observeEnd(end: AttemptEnd, now: number): void;
    /** Decides on quarantine and release for the workers of one cell. */
    decide(cell: string, workers: readonly WorkerView[], now: number): Decision[];
    getHealthState(worker: string, now: number): HealthState;
    /** Returns whether a running task was started as a trial, that is, after the worker's probation began. */
    isTrial(worker: string, task: PlacedTask): boolean;
    /** Returns the worker on which the task failed last. */
    lastFailedWorker(taskId: string): string | undefined;
    quarantined(): string[];
}

interface Counts {
    failed: number;
    finished: number;
}

interface Quarantine {
    readonly cell: string;
    probationFromMilliseconds: number;
    lengthMilliseconds: number;
    finishedTrials: number;
}

const BROKEN_FAILURE_RATE = 0.95;
/** Factor applied to earlier counts of a rule on a worker with each new outcome. */
const COUNT_DECAY = 0.9;
/** Outcomes on other workers that a rule needs before its failure rate counts as known. */
const MIN_ENDS_FOR_KNOWN_RATE = 8;
/** Limits of the evidence from one rule, with a known and with an unknown failure rate on other workers. */
const MAX_KNOWN_RATE_EVIDENCE = 6;
const MAX_UNKNOWN_RATE_EVIDENCE = 1.5;
/** Share of the evidence limit below which a worker is released from quarantine. */
const CLEARED_EVIDENCE_SHARE = 0.5;
/** Failure rate on other workers from which a failed trial does not count against the worker. */
const HIGH_FAILURE_RATE = 0.5;
const MAX_TRACKED_RULES = 4_096;
const MAX_TRACKED_FAILURES = 8_192;
const MAX_TRACKED_QUARANTINES = 1_024;

/** Creates a model without outcomes, in which every worker is `trusted`. */
export function createHealthModel(settings: QuarantineSettings): HealthModel {
    const rules = new Map<string, Map<string, Counts>>();
    const failingWorkers = new Set<string>();
    const quarantines = new Map<string, Quarantine>();
    const quarantineLengths = new Map<string, number>();
    const lastFailures = new Map<string, string>();

    function getHealthState(worker: string, now: number): HealthState {
        const quarantine = quarantines.get(worker);
        if (quarantine === undefined) {
            return "trusted";
        }
        return now >= quarantine.probationFromMilliseconds ? "probation" : "quarantine";
    }

    function startQuarantine(worker: string, cell: string, now: number): void {
        const lengthMilliseconds = Math.min(
            settings.longestMilliseconds,
            (quarantineLengths.get(worker) ?? settings.firstMilliseconds / 2) * 2,
        );
        setBounded(quarantineLengths, worker, lengthMilliseconds, MAX_TRACKED_QUARANTINES);
        const probationFromMilliseconds = now + lengthMilliseconds;
        quarantines.set(worker, { cell, probationFromMilliseconds, lengthMilliseconds, finishedTrials: 0 });
    }

    function resetWorker(worker: string): void {
        quarantines.delete(worker);
        failingWorkers.delete(worker);
        for (const counts of rules.values()) {
            counts.delete(worker);
        }
    }

    function recordTrialEnd(end: AttemptEnd, quarantine: Quarantine, now: number): void {
        if (end.outcome === "finished") {
            quarantine.finishedTrials += 1;
        }
        else if (computeRateElsewhere(rules.get(end.rule), end.worker).rate < HIGH_FAILURE_RATE) {
            startQuarantine(end.worker, quarantine.cell, now);
        }
    }

    return {
        observeEnd(end, now) {
            // A lapsed lease is no evidence: the worker, its link or the scheduler may have been paused.
            if (end.outcome === "lapsed") {
                return;
            }
            const quarantine = quarantines.get(end.worker);
            if (quarantine !== undefined && getHealthState(end.worker, now) === "probation") {
                recordTrialEnd(end, quarantine, now);
            }
            recordEnd(rules, end);
            if (end.outcome !== "finished") {
                failingWorkers.add(end.worker);
                setBounded(lastFailures, end.taskId, end.worker, MAX_TRACKED_FAILURES);
            }
        },
        decide(cell, workers, now) {
            const decisions: Decision[] = [];
            const workerNames = new Set(workers.map(worker => worker.instance.name));
            for (const [worker, quarantine] of quarantines) {
                if (quarantine.cell === cell && !workerNames.has(worker)) {
                    resetWorker(worker);
                }
                else if (quarantine.cell === cell && isCleared(worker, quarantine, now)) {
                    resetWorker(worker);
                    decisions.push({ kind: "release", worker });
                }
            }
            const remainingQuarantines = Math.floor(settings.largestShare * workers.length) - countQuarantined(cell);
            for (
                const { worker, evidence } of rankFailingWorkers(workerNames).slice(
                    0,
                    Math.max(0, remainingQuarantines),
                )
            ) {
                startQuarantine(worker, cell, now);
                const reason = `fails what it starts (evidence ${evidence.toFixed(1)})`;
                decisions.push({ kind: "quarantine", worker, reason });
            }
            return decisions;
        },
        getHealthState,
        isTrial(worker, task) {
            const quarantine = quarantines.get(worker);
            return quarantine !== undefined && task.startedAtMilliseconds >= quarantine.probationFromMilliseconds;
        },
        lastFailedWorker: taskId => lastFailures.get(taskId),
        quarantined: () => [...quarantines.keys()],
    };

    function isCleared(worker: string, quarantine: Quarantine, now: number): boolean {
        return getHealthState(worker, now) === "probation"
            ? quarantine.finishedTrials >= settings.probationTasks
            : computeEvidence(rules, worker) < settings.evidence * CLEARED_EVIDENCE_SHARE;
    }

    function countQuarantined(cell: string): number {
        return [...quarantines.values()].filter(quarantine => quarantine.cell === cell).length;
    }

    function rankFailingWorkers(workerNames: ReadonlySet<string>): { worker: string; evidence: number; }[] {
        return [...failingWorkers]
            .filter(worker => workerNames.has(worker) && !quarantines.has(worker))
            .map(worker => ({ worker, evidence: computeEvidence(rules, worker) }))
            .filter(({ evidence }) => evidence >= settings.evidence)
            .sort((left, right) => right.evidence - left.evidence);
    }
}

function recordEnd(rules: Map<string, Map<string, Counts>>, end: AttemptEnd): void {
    const workers = rules.get(end.rule) ?? new Map<string, Counts>();
    const counts = workers.get(end.worker) ?? { failed: 0, finished: 0 };
    const failed = end.outcome === "finished" ? 0 : 1;
    counts.failed = counts.failed * COUNT_DECAY + failed;
    counts.finished = counts.finished * COUNT_DECAY + 1 - failed;
    workers.set(end.worker, counts);
    setBounded(rules, end.rule, workers, MAX_TRACKED_RULES);
}

/**
 * Returns a rule's failure rate on all other workers and the number of outcomes behind it; the rate is 0.5 without
 * outcomes. Several broken workers would raise the overall rate, so the median rate per worker is used if it is lower.
 */
function computeRateElsewhere(
    workers: Map<string, Counts> | undefined,
    worker: string,
): { rate: number; ends: number; } {
    const others = [...workers ?? []].filter(([name]) => name !== worker).map(([, counts]) => counts);
    const total = others.reduce(
        (sum, { failed, finished }) => ({ failed: sum.failed + failed, finished: sum.finished + finished }),
        { failed: 0, finished: 0 },
    );
    const rates = others.map(computeFailureRate).sort((left, right) => left - right);
    const median = rates[Math.floor(rates.length / 2)] ?? 0.5;
    return { rate: Math.min(computeFailureRate(total), median), ends: total.failed + total.finished };
}

function computeFailureRate({ failed, finished }: Counts): number {
    return (failed + 1) / (failed + finished + 2);
}

function computeEvidence(rules: ReadonlyMap<string, Map<string, Counts>>, worker: string): number {
    let evidence = 0;
    for (const workers of rules.values()) {
        const counts = workers.get(worker);
        if (counts === undefined) {
            continue;
        }
        const { rate, ends } = computeRateElsewhere(workers, worker);
        const limit = ends >= MIN_ENDS_FOR_KNOWN_RATE ? MAX_KNOWN_RATE_EVIDENCE : MAX_UNKNOWN_RATE_EVIDENCE;
        const weight = counts.failed * Math.log(BROKEN_FAILURE_RATE / rate)
            + counts.finished * Math.log((1 - BROKEN_FAILURE_RATE) / (1 - rate));
        evidence += Math.max(-limit, Math.min(limit, weight));
    }
    return evidence;
}
