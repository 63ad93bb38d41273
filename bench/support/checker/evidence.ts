/**
 * What the checker reads: the logs of callers, workers and operators. It shares no code with the system.
 */
import type { WorkerRecord } from "../../../stand-ins/worker/index.js";
import type { CallRecord } from "../load.js";

/** What an operator, or the bench in its place, did and saw. Times are milliseconds since the Unix epoch. */
export type OperatorRecord =
    /** A rules file was accepted. */
    | {
        readonly event: "applied";
        readonly at: number;
        readonly team: string;
        readonly revision: number;
        /** Revision that the operator had edited. */
        readonly base: number;
    }
    /** Two operators edited one version at the same time. */
    | { readonly event: "edit-race"; readonly at: number; readonly team: string; }
    /** A rule is in no file any more since this time, or its feature is retired. */
    | { readonly event: "rule-ended"; readonly at: number; readonly rule: string; }
    /** A daemon told the revision that it has in force. */
    | {
        readonly event: "status";
        readonly at: number;
        readonly process: string;
        readonly ready: boolean;
        readonly revision: number;
    }
    /** A daemon was asked for its status and gave none in time. */
    | { readonly event: "no-status"; readonly at: number; readonly process: string; }
    /** The instance list shows a worker as leaving from `at` until `until`. */
    | { readonly event: "worker-leaving"; readonly at: number; readonly until: number; readonly worker: string; }
    /** A daemon was asked to stop and ended. `origin` is where callers reached it; empty for a scheduler. */
    | {
        readonly event: "planned-stop";
        readonly at: number;
        readonly until: number;
        readonly process: string;
        readonly origin: string;
        readonly exitCode: number;
    }
    /**
     * The bench brought about a fault. `pause` (of a process) excuses that process from hearing of anything meanwhile.
     */
    | {
        readonly event: "fault";
        readonly at: number;
        readonly until: number;
        readonly kind: string;
        readonly target: string;
    };

/** All that was written down in a run. */
export interface Evidence {
    readonly calls: readonly CallRecord[];
    readonly workers: readonly WorkerRecord[];
    readonly operators: readonly OperatorRecord[];
    /** Services whose requests with one key never overlap. */
    readonly exclusiveServices: readonly string[];
    readonly endedAt: number;
}

/** What the checker says of one promise. */
export interface Verdict {
    readonly promise: string;
    /** Occasions on which the promise could have been broken. */
    readonly opportunities: number;
    /** One line for each violation. */
    readonly violations: readonly string[];
    /** One line for each event that would be a violation but for a known cause outside the system. */
    readonly excused: readonly string[];
}

/** An event that breaks a promise, or would but for an excuse. */
export interface Finding {
    readonly text: string;
    readonly isExcused: boolean;
}

/** Judges one promise. */
export type Judge = (evidence: Evidence) => Verdict;

/** Picks the workers' records of one kind. */
export function pick<Event extends WorkerRecord["event"]>(
    records: readonly WorkerRecord[],
    event: Event,
): Extract<WorkerRecord, { event: Event; }>[] {
    return records.filter((record): record is Extract<WorkerRecord, { event: Event; }> => record.event === event);
}

/** Picks the operators' records of one kind. */
export function pickOperators<Event extends OperatorRecord["event"]>(
    records: readonly OperatorRecord[],
    event: Event,
): Extract<OperatorRecord, { event: Event; }>[] {
    return records.filter((record): record is Extract<OperatorRecord, { event: Event; }> => record.event === event);
}

/** Parts violations from excused events. */
export function sortFindings(findings: readonly Finding[]): Pick<Verdict, "violations" | "excused"> {
    return {
        violations: findings.filter(finding => !finding.isExcused).map(finding => finding.text),
        excused: findings.filter(finding => finding.isExcused).map(finding => finding.text),
    };
}

/** Groups values by a key. */
export function groupBy<Value>(values: readonly Value[], keyOf: (value: Value) => string): Map<string, Value[]> {
    const groups = new Map<string, Value[]>();
    for (const value of values) {
        const group = groups.get(keyOf(value));
        if (group === undefined) {
            groups.set(keyOf(value), [value]);
        }
        else {
            group.push(value);
        }
    }
    return groups;
}
