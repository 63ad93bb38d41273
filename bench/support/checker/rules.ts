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
    const excuses = pickOperators(evidence.operators, "fault").filter(isExcuse);
    const violations: string[] = [];
    for (const [process, seen] of groupBy(statuses, status => status.process)) {
        let highest = 0;
        for (const status of seen) {
            if (status.revision < highest) {
                violations.push(`${process} went back from revision ${highest} to ${status.revision}`);
            }
            highest = Math.max(highest, status.revision);
            const excused = excuses.filter(excuse => excuse.target === process);
            const due = applied.filter(apply => isDue(apply.at, status.at, excused));
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

function isExcuse({ kind }: { readonly kind: string; }): boolean {
    return kind === "pause" || kind === "isolate";
}

/** A process that could not hear has the whole limit from the moment when it could again. */
function isDue(appliedAt: number, now: number, excuses: readonly { at: number; until: number; }[]): boolean {
    let heardAt = appliedAt;
    for (const excuse of excuses) {
        if (excuse.at < heardAt + SPREAD_LIMIT_MILLISECONDS && excuse.until > heardAt) {
            heardAt = excuse.until;
        }
    }
    return heardAt + SPREAD_LIMIT_MILLISECONDS < now;
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
    return { promise: "no forgotten job keeps running", opportunities, violations };
}
