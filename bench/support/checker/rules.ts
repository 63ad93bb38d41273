/**
 * Accepted configurations are in force everywhere in time and never revert; jobs of ended rules do not run on.
 */
import { groupBy, pickOperators } from "./evidence.js";
import type { Evidence, Verdict } from "./evidence.js";
import { findTaskRuns } from "./runs.js";

/** Time within which an accepted configuration is in force on every process that answers. */
export const SPREAD_LIMIT_MILLISECONDS = 11_000;
/** Time within which the tasks of an ended rule are gone: the spread, a lease on a worker, and the grace of a stop. */
export const CANCEL_LIMIT_MILLISECONDS = 30_000;

/** Judges what daemons said of their revision against what was accepted and what they said before. */
export function judgeConfiguration(evidence: Evidence): Verdict {
    const applied = pickOperators(evidence.operators, "applied");
    const statuses = pickOperators(evidence.operators, "status").filter(status => status.ready);
    const violations: string[] = [];
    for (const [process, seen] of groupBy(statuses, status => status.process)) {
        let highest = 0;
        for (const status of seen) {
            if (status.revision < highest) {
                violations.push(`${process} went back from revision ${highest} to ${status.revision}`);
            }
            highest = Math.max(highest, status.revision);
            const due = applied.filter(apply => apply.at + SPREAD_LIMIT_MILLISECONDS < status.at);
            const wanted = Math.max(0, ...due.map(apply => apply.revision));
            if (status.revision < wanted) {
                violations.push(`${process} had revision ${status.revision} when ${wanted} had been due`);
            }
        }
    }
    return {
        promise: "configuration in force in time, never reverted",
        opportunities: applied.length * new Set(statuses.map(status => status.process)).size,
        violations,
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
    const opportunities = ended.reduce(
        (sum, { at, rule }) => sum + runs.filter(run => run.rule === rule && run.endedAt > at).length,
        0,
    );
    return { promise: "no forgotten job keeps running", opportunities, violations };
}
