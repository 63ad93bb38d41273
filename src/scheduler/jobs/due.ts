/**
 * Which run of a batch rule is due.
 */
import { CronExpressionParser } from "cron-parser";
import { MILLISECONDS_PER_SECOND } from "../../core/time.js";
import type { BatchRule } from "../../rules/rule.js";

/**
 * Gives the newest run that is due, in seconds since the Unix epoch: 0 for work that runs once, `undefined` where no
 * scheduled time has come since the rule was created. Scheduled times that were missed altogether are not made up for.
 */
export function findDueRun(rule: BatchRule, createdAtMilliseconds: number, now: number): number | undefined {
    if (rule.schedule === undefined) {
        return 0;
    }
    const { expression, timeZone } = rule.schedule;
    // The parser looks strictly before the given time; a run is due at its very second.
    const last = CronExpressionParser.parse(expression, { currentDate: new Date(now + 1), tz: timeZone }).prev();
    return last.getTime() >= createdAtMilliseconds ? Math.floor(last.getTime() / MILLISECONDS_PER_SECOND) : undefined;
}
