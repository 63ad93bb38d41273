/**
 * Health of workers: tells a worker that fails what it starts from jobs that fail wherever they run.
 *
 * The evidence against a worker is the logarithm of how much likelier its failures are if it is broken than if it is
 * sound; a sound worker fails a rule as often as the other workers do. It is computed anew for each decision, so that a
 * rule that turns out to fail everywhere clears the workers that it was tried on first.
 */
import type { AttemptEnd, Decision, PlacedTask, WorkerView } from "./policy.js";
import { remember } from "./reports.js";
import type { QuarantineSettings } from "./settings.js";

/** What may be placed on a worker: everything, one trial at a time, or nothing. */
export type WorkerTrust = "trusted" | "probation" | "quarantine";

/** Judges workers by how attempts end on them. */
export interface HealthModel {
    observeEnd(end: AttemptEnd, now: number): void;
    /** Decides on quarantine and release for the workers of one cell. */
    decide(cell: string, workers: readonly WorkerView[], now: number): Decision[];
    trust(worker: string, now: number): WorkerTrust;
    /** Tells whether a task was started on the worker as a trial that still runs. */
    isTrial(worker: string, task: PlacedTask): boolean;
    /** Worker on which the task failed last. */
    failedOn(taskId: string): string | undefined;
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
    passed: number;
}

const BROKEN_FAILURE_RATE = 0.95;
/** Share of the earlier ends of a rule on a worker that still counts after the next one. */
const COUNT_DECAY = 0.9;
/** Ends elsewhere from which on a rule's failure rate is known. */
const ENDS_TO_KNOW_A_RULE = 8;
/** Most evidence that one rule gives, while its rate elsewhere is known and while it is not. */
const KNOWN_RULE_EVIDENCE = 6;
const UNKNOWN_RULE_EVIDENCE = 1.5;
/** Share of the evidence limit below which a worker in quarantine is cleared. */
const CLEARED_SHARE = 0.5;
/** Failure rate elsewhere from which on a failed trial says nothing about the worker. */
const BAD_RULE_RATE = 0.5;
const REMEMBERED_RULES = 4_096;
const REMEMBERED_FAILURES = 8_192;
const REMEMBERED_SENTENCES = 1_024;

/** Creates a model that trusts every worker. */
export function createHealthModel(settings: QuarantineSettings): HealthModel {
    const rules = new Map<string, Map<string, Counts>>();
    const suspects = new Set<string>();
    const quarantines = new Map<string, Quarantine>();
    const sentences = new Map<string, number>();
    const failures = new Map<string, string>();

    function trust(worker: string, now: number): WorkerTrust {
        const quarantine = quarantines.get(worker);
        if (quarantine === undefined) {
            return "trusted";
        }
        return now >= quarantine.probationFromMilliseconds ? "probation" : "quarantine";
    }

    function sentence(worker: string, cell: string, now: number): void {
        const lengthMilliseconds = Math.min(
            settings.longestMilliseconds,
            (sentences.get(worker) ?? settings.firstMilliseconds / 2) * 2,
        );
        remember(sentences, worker, lengthMilliseconds, REMEMBERED_SENTENCES);
        const probationFromMilliseconds = now + lengthMilliseconds;
        quarantines.set(worker, { cell, probationFromMilliseconds, lengthMilliseconds, passed: 0 });
    }

    function clear(worker: string): void {
        quarantines.delete(worker);
        suspects.delete(worker);
        for (const counts of rules.values()) {
            counts.delete(worker);
        }
    }

    function judgeTrial(end: AttemptEnd, quarantine: Quarantine, now: number): void {
        if (end.outcome === "finished") {
            quarantine.passed += 1;
        }
        else if (rateElsewhere(rules.get(end.rule), end.worker).rate < BAD_RULE_RATE) {
            sentence(end.worker, quarantine.cell, now);
        }
    }

    return {
        observeEnd(end, now) {
            // A lapsed lease says nothing: the worker, its link or the scheduler may have been paused.
            if (end.outcome === "lapsed") {
                return;
            }
            const quarantine = quarantines.get(end.worker);
            if (quarantine !== undefined && trust(end.worker, now) === "probation") {
                judgeTrial(end, quarantine, now);
            }
            count(rules, end);
            if (end.outcome !== "finished") {
                suspects.add(end.worker);
                remember(failures, end.taskId, end.worker, REMEMBERED_FAILURES);
            }
        },
        decide(cell, workers, now) {
            const decisions: Decision[] = [];
            const present = new Set(workers.map(worker => worker.instance.name));
            for (const [worker, quarantine] of quarantines) {
                if (quarantine.cell === cell && !present.has(worker)) {
                    clear(worker);
                }
                else if (quarantine.cell === cell && isCleared(worker, quarantine, now)) {
                    clear(worker);
                    decisions.push({ kind: "release", worker });
                }
            }
            const room = Math.floor(settings.largestShare * workers.length) - countOf(cell);
            for (const { worker, evidence } of rankSuspects(present).slice(0, Math.max(0, room))) {
                sentence(worker, cell, now);
                const reason = `fails what it starts (evidence ${evidence.toFixed(1)})`;
                decisions.push({ kind: "quarantine", worker, reason });
            }
            return decisions;
        },
        trust,
        isTrial(worker, task) {
            const quarantine = quarantines.get(worker);
            return quarantine !== undefined && task.startedAtMilliseconds >= quarantine.probationFromMilliseconds;
        },
        failedOn: taskId => failures.get(taskId),
        quarantined: () => [...quarantines.keys()],
    };

    function isCleared(worker: string, quarantine: Quarantine, now: number): boolean {
        return trust(worker, now) === "probation"
            ? quarantine.passed >= settings.probationTasks
            : weighEvidence(rules, worker) < settings.evidence * CLEARED_SHARE;
    }

    function countOf(cell: string): number {
        return [...quarantines.values()].filter(quarantine => quarantine.cell === cell).length;
    }

    function rankSuspects(present: ReadonlySet<string>): { worker: string; evidence: number; }[] {
        return [...suspects]
            .filter(worker => present.has(worker) && !quarantines.has(worker))
            .map(worker => ({ worker, evidence: weighEvidence(rules, worker) }))
            .filter(({ evidence }) => evidence >= settings.evidence)
            .sort((left, right) => right.evidence - left.evidence);
    }
}

function count(rules: Map<string, Map<string, Counts>>, end: AttemptEnd): void {
    const workers = rules.get(end.rule) ?? new Map<string, Counts>();
    const counts = workers.get(end.worker) ?? { failed: 0, finished: 0 };
    const failed = end.outcome === "finished" ? 0 : 1;
    counts.failed = counts.failed * COUNT_DECAY + failed;
    counts.finished = counts.finished * COUNT_DECAY + 1 - failed;
    workers.set(end.worker, counts);
    remember(rules, end.rule, workers, REMEMBERED_RULES);
}

/**
 * Failure rate of a rule on all other workers, and the ends that it is known from; 0.5 from none. Where several workers
 * are broken they would make the rule look bad, so that the rate on the worker in the middle counts where it is lower.
 */
function rateElsewhere(workers: Map<string, Counts> | undefined, worker: string): { rate: number; ends: number; } {
    const others = [...workers ?? []].filter(([name]) => name !== worker).map(([, counts]) => counts);
    const total = others.reduce(
        (sum, { failed, finished }) => ({ failed: sum.failed + failed, finished: sum.finished + finished }),
        { failed: 0, finished: 0 },
    );
    const rates = others.map(rateOf).sort((left, right) => left - right);
    const middle = rates[Math.floor(rates.length / 2)] ?? 0.5;
    return { rate: Math.min(rateOf(total), middle), ends: total.failed + total.finished };
}

function rateOf({ failed, finished }: Counts): number {
    return (failed + 1) / (failed + finished + 2);
}

function weighEvidence(rules: ReadonlyMap<string, Map<string, Counts>>, worker: string): number {
    let evidence = 0;
    for (const workers of rules.values()) {
        const counts = workers.get(worker);
        if (counts === undefined) {
            continue;
        }
        const { rate, ends } = rateElsewhere(workers, worker);
        const limit = ends >= ENDS_TO_KNOW_A_RULE ? KNOWN_RULE_EVIDENCE : UNKNOWN_RULE_EVIDENCE;
        const weight = counts.failed * Math.log(BROKEN_FAILURE_RATE / rate)
            + counts.finished * Math.log((1 - BROKEN_FAILURE_RATE) / (1 - rate));
        evidence += Math.max(-limit, Math.min(limit, weight));
    }
    return evidence;
}
