/**
 * Batch tasks run in one place at a time, resume exactly once where they were evicted, and finish once.
 */
import { groupBy, pickOperators, sortFindings } from "./evidence.js";
import type { Evidence, Finding, Verdict } from "./evidence.js";
import { findTaskRuns } from "./runs.js";
import type { TaskRun } from "./runs.js";

/** Time within which an evicted task has to run again, where the log goes on for that long. */
export const RESUME_LIMIT_MILLISECONDS = 60_000;
const PROGRESS_TOLERANCE = 1e-6;

/** Judges attempts of one task against one another: none overlaps, none starts twice, none follows a finished one. */
export function judgeSinglePlace(evidence: Evidence): Verdict {
    const tasks = groupTasks(evidence);
    const doubles = [...tasks.values()].flatMap(findDoubles);
    const opportunities = [...tasks.values()].reduce((sum, runs) => sum + Math.max(0, runs.length - 1), 0);
    return { promise: "tasks run in one place", opportunities, ...sortFindings(doubles) };
}

/** Judges evictions: each is followed by one attempt that goes on from the checkpoint. */
export function judgeResumes(evidence: Evidence): Verdict {
    const ended = new Map(pickOperators(evidence.operators, "rule-ended").map(({ at, rule }) => [rule, at]));
    const findings: Finding[] = [];
    let opportunities = 0;
    for (const runs of groupTasks(evidence).values()) {
        for (const evicted of runs.filter(run => run.state === "stopped" && run.checkpointed)) {
            const next = runs.find(run => run.attempt > evicted.attempt);
            const due = evicted.endedAt + RESUME_LIMIT_MILLISECONDS;
            // The tasks of a rule that has ended need not resume, nor those that the log does not follow for long enough.
            const isJudged = next !== undefined
                || (evidence.endedAt > due && (ended.get(evicted.rule) ?? Infinity) > due);
            opportunities += isJudged ? 1 : 0;
            findings.push(...judgeResume(evicted, next, !isJudged));
        }
    }
    return { promise: "evicted work resumes exactly once", opportunities, ...sortFindings(findings) };
}

function groupTasks(evidence: Evidence): Map<string, TaskRun[]> {
    const runs = findTaskRuns(evidence).filter(run => run.kind === "batch");
    runs.sort((left, right) => left.startedAt - right.startedAt);
    return groupBy(runs, run => run.taskId);
}

function findDoubles(runs: readonly TaskRun[]): Finding[] {
    return runs.flatMap((run, index) =>
        runs.slice(0, index).flatMap(earlier => {
            const pair = `${run.taskId}#${run.attempt} on ${run.worker} and #${earlier.attempt} on ${earlier.worker}`;
            if (earlier.attempt === run.attempt) {
                return [{ text: `one attempt started twice: ${pair}`, isExcused: false }];
            }
            if (run.startedAt < earlier.endedAt) {
                const overlap = (earlier.endedAt - run.startedAt).toFixed(0);
                return [{ text: `${overlap} ms in two places: ${pair}`, isExcused: false }];
            }
            // Where the restart took the end away, only a start after that restart can follow from it.
            const isExcused = earlier.endLostAt !== undefined && run.startedAt >= earlier.endLostAt;
            return earlier.state === "finished"
                ? [{ text: `started again after it had finished: ${pair}`, isExcused }]
                : [];
        })
    );
}

function judgeResume(evicted: TaskRun, next: TaskRun | undefined, isExcused: boolean): Finding[] {
    const name = `${evicted.taskId}#${evicted.attempt}`;
    if (next === undefined) {
        return [{ text: `${name} was evicted and never resumed`, isExcused }];
    }
    return next.resumedProgress < evicted.progress - PROGRESS_TOLERANCE
        ? [{ text: `${name} stopped at ${evicted.progress} and resumed at ${next.resumedProgress}`, isExcused }]
        : [];
}
