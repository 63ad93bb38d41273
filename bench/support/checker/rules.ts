/**
 * Accepted configurations are in force everywhere in time and never revert; jobs of ended rules do not run on.
 */
import { groupBy, pickOperators, sortFindings } from "./evidence.js";
import type { Evidence, Finding, OperatorRecord, Verdict } from "./evidence.js";
import { findTaskRuns } from "./runs.js";

/** Time within which an accepted configuration is in force on every process that answers. */
export const SPREAD_LIMIT_MILLISECONDS = 11_000;
/** Time within which the tasks of an ended rule are gone: the spread, a lease on a worker, and the grace of a stop. */
export const CANCEL_LIMIT_MILLISECONDS = 30_000;

/** Judges what daemons said of their revision against what was accepted and what they said before. */
export function judgeConfiguration(evidence: Evidence): Verdict {
    const applied = pickOperators(evidence.operators, "applied");
    const statuses = pickOperators(evidence.operators, "status");
    const pauses = pickOperators(evidence.operators, "fault").filter(fault => fault.kind === "pause");
    const findings: Finding[] = [];
    for (const [process, seen] of groupBy(statuses, status => status.process)) {
        const its = pauses.filter(each => each.target === process);
        let highest = 0;
        for (const status of seen) {
            // A process that says that it is not ready takes no traffic.
            const isExcused = !status.ready;
            if (status.revision < highest) {
                const text = `${process} went back from revision ${highest} to ${status.revision}`;
                findings.push({ text, isExcused });
            }
            highest = status.ready ? Math.max(highest, status.revision) : highest;
            findings.push(...findLate(status, applied, its));
        }
    }
    const silent = groupBy(pickOperators(evidence.operators, "no-status"), look => look.process);
    for (const [process, looks] of silent) {
        findings.push({ text: `${process} gave no status ${looks.length} times`, isExcused: true });
    }
    const ready = statuses.filter(status => status.ready);
    return {
        promise: "configuration in force in time, never reverted",
        opportunities: applied.length * new Set(ready.map(status => status.process)).size,
        ...sortFindings(findings),
    };
}

interface Interval {
    readonly at: number;
    readonly until: number;
}

function findLate(
    status: Extract<OperatorRecord, { event: "status"; }>,
    applied: readonly { readonly at: number; readonly revision: number; }[],
    pauses: readonly Interval[],
): Finding[] {
    const { process, ready, revision } = status;
    const late = applied.filter(apply => apply.revision > revision);
    const describe = (wanted: number) => `${process} had revision ${revision} when ${wanted} had been due`;
    const due = late.filter(apply => findDue(apply.at, pauses) < status.at);
    if (due.length > 0) {
        return [{ text: describe(Math.max(...due.map(apply => apply.revision))), isExcused: !ready }];
    }
    const excused = late.filter(apply => findDue(apply.at, []) < status.at);
    return excused.length === 0
        ? []
        : [{ text: describe(Math.max(...excused.map(apply => apply.revision))), isExcused: true }];
}

/** A process that stood still has as much longer as it stood still, no more. */
function findDue(appliedAt: number, pauses: readonly Interval[]): number {
    let due = appliedAt + SPREAD_LIMIT_MILLISECONDS;
    for (const { at, until } of [...pauses].sort((left, right) => left.at - right.at)) {
        const from = Math.max(at, appliedAt);
        due += from < due ? Math.max(0, until - from) : 0;
    }
    return due;
}

/** Judges races of operators: of two edits of one version, one at most is accepted. */
export function judgeEdits(evidence: Evidence): Verdict {
    const byBase = groupBy(
        pickOperators(evidence.operators, "applied"),
        apply => `${apply.team} at revision ${apply.base}`,
    );
    return {
        promise: "no operator's edit is lost",
        opportunities: pickOperators(evidence.operators, "edit-race").length,
        violations: [...byBase].filter(([, edits]) => edits.length > 1).map(([base, edits]) =>
            `${edits.length} edits of ${base} were accepted`
        ),
        excused: [],
    };
}

/** Judges tasks of rules that have ended. */
export function judgeForgottenJobs(evidence: Evidence): Verdict {
    const ended = pickOperators(evidence.operators, "rule-ended");
    const runs = findTaskRuns(evidence);
    const violations = ended.flatMap(({ at, rule }) => {
        const limit = at + CANCEL_LIMIT_MILLISECONDS;
        return runs.filter(run => run.rule === rule && run.endedAt > limit).map(run =>
            `${run.taskId}#${run.attempt} on ${run.worker} still ran ${
                (run.endedAt - at).toFixed(0)
            } ms after ${rule} ended`
        );
    });
    // A rule that ended too late in the run to be judged is no occasion.
    const judged = ended.filter(({ at }) => evidence.endedAt > at + CANCEL_LIMIT_MILLISECONDS);
    const opportunities = judged.reduce(
        (sum, { at, rule }) => sum + runs.filter(run => run.rule === rule && run.endedAt > at).length,
        0,
    );
    return { promise: "no forgotten job keeps running", opportunities, violations, excused: [] };
}
