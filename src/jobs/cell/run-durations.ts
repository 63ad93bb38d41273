/**
 * What the runs that a report lists as ended tell of the duration of tasks.
 */
import type { CellContext } from "./context.js";
import type { ReportOutcome } from "./report.js";

/** Updates durations from ended attempts. A filler that shared its cores with others took longer than its image usually does. */
export function recordDurations(
    { durations }: CellContext,
    { ended }: ReportOutcome,
    { wereCoresShared }: { readonly wereCoresShared: boolean; },
    now: number,
): void {
    for (const { attempt, end } of ended) {
        const isUsual = attempt?.percentAtStart === 0 && !(wereCoresShared && attempt.task.step.isFiller);
        if (end.end === "done" && isUsual && attempt.runningSinceMilliseconds !== undefined) {
            durations.record(attempt, now - attempt.runningSinceMilliseconds);
        }
    }
}
