/**
 * Finds the run of a batch rule that is due.
 */
import { CronExpressionParser } from "cron-parser";
import { MILLISECONDS_PER_SECOND } from "../../core/time.js";
import type { BatchRule } from "../../rules/rule.js";

/**
 * Returns the newest run that is due, in seconds since the Unix epoch: 0 for a rule without a schedule, `undefined`
 * where no scheduled time has passed since the rule was created. Missed runs before the newest are skipped.
 */
export function findDueRun(rule: BatchRule, createdAtMilliseconds: number, now: number): number | undefined {
    if (rule.schedule === undefined) {
        return 0;
    }
    const { expression, timeZone } = rule.schedule;
    // `prev` returns times strictly before the given date, and a run is due exactly at its scheduled time.
    const last = CronExpressionParser.parse(expression, { currentDate: new Date(now + 1), tz: timeZone }).prev();
    return last.getTime() >= createdAtMilliseconds ? Math.floor(last.getTime() / MILLISECONDS_PER_SECOND) : undefined;
}
