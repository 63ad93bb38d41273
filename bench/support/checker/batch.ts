/**
 * Batch tasks run in one place at a time, resume exactly once where they were evicted, and finish once.
 */
import { groupBy, pickOperators } from "./evidence.js";
import type { Evidence, Verdict } from "./evidence.js";
import { findTaskRuns } from "./runs.js";
import type { TaskRun } from "./runs.js";

/** Time within which an evicted task has to run again, where the log goes on for that long. */
export const RESUME_LIMIT_MILLISECONDS = 60_000;
const PROGRESS_TOLERANCE = 1e-6;

/** Judges attempts of one task against one another: none overlaps, none starts twice, none follows a finished one. */
export function judgeSinglePlace(evidence: Evidence): Verdict {
    const tasks = groupTasks(evidence);
    const violations = [...tasks.values()].flatMap(findDoubles);
    const opportunities = [...tasks.values()].reduce((sum, runs) => sum + Math.max(0, runs.length - 1), 0);
    return { promise: "tasks run in one place", opportunities, violations };
}

/** Judges evictions: each is followed by one attempt that goes on from the checkpoint. */
export function judgeResumes(evidence: Evidence): Verdict {
    const ended = new Set(pickOperators(evidence.operators, "rule-ended").map(record => record.rule));
    const violations: string[] = [];
    let opportunities = 0;
    for (const runs of groupTasks(evidence).values()) {
        for (const evicted of runs.filter(run => run.state === "stopped" && run.checkpointed && !ended.has(run.rule))) {
            opportunities += 1;
            violations.push(...judgeResume(evicted, runs, evidence.endedAt));
        }
    }
    return { promise: "evicted work resumes exactly once", opportunities, violations };
}

function groupTasks(evidence: Evidence): Map<string, TaskRun[]> {
    const runs = findTaskRuns(evidence).filter(run => run.kind === "batch");
    runs.sort((left, right) => left.startedAt - right.startedAt);
    return groupBy(runs, run => run.taskId);
}

function findDoubles(runs: readonly TaskRun[]): string[] {
    return runs.flatMap((run, index) =>
        runs.slice(0, index).flatMap(earlier => {
            const pair = `${run.taskId}#${run.attempt} on ${run.worker} and #${earlier.attempt} on ${earlier.worker}`;
            if (earlier.attempt === run.attempt) {
                return [`one attempt started twice: ${pair}`];
            }
            if (run.startedAt < earlier.endedAt) {
                return [`${(earlier.endedAt - run.startedAt).toFixed(0)} ms in two places: ${pair}`];
            }
            return earlier.state === "finished" && !earlier.isEndLost
                ? [`started again after it had finished: ${pair}`]
                : [];
        })
    );
}

function judgeResume(evicted: TaskRun, runs: readonly TaskRun[], endedAt: number): string[] {
    const name = `${evicted.taskId}#${evicted.attempt}`;
    const [next] = runs.filter(run => run.attempt > evicted.attempt);
    if (next === undefined) {
        return endedAt - evicted.endedAt > RESUME_LIMIT_MILLISECONDS ? [`${name} was evicted and never resumed`] : [];
    }
    return next.resumedProgress < evicted.progress - PROGRESS_TOLERANCE
        ? [`${name} stopped at ${evicted.progress} and resumed at ${next.resumedProgress}`]
        : [];
}
