/**
 * Longest time that an attempt of an exclusive request may take, as the rules say and as a holder's record says.
 */
import type { ConfigurationSource } from "../../rules/rule.js";
import { isHeldBy } from "./claim.js";
import type { Claimant } from "./claim.js";
import type { PartitionRecord } from "./partition.js";

const DEFAULT_LONGEST_ATTEMPT_MILLISECONDS = 5_000;

/** What the rules in force allow, and for how long they have. */
export interface LongestAttempt {
    /** Longest deadline of the exclusive services, in milliseconds. */
    current(now: number): number;
    /** Time for which attempts have been limited to the current value or less, in milliseconds. */
    unchangedMilliseconds(now: number): number;
}

/** Follows the rules in force. */
export function createLongestAttempt(configuration: ConfigurationSource, now: number): LongestAttempt {
    let value = findLongest(configuration);
    let sinceMilliseconds = now;
    const current = (time: number): number => {
        const latest = findLongest(configuration);
        if (latest !== value) {
            value = latest;
            sinceMilliseconds = time;
        }
        return value;
    };
    return {
        current,
        unchangedMilliseconds: time => {
            current(time);
            return time - sinceMilliseconds;
        },
    };
}

function findLongest(configuration: ConfigurationSource): number {
    const rules = configuration.current()?.documents.flatMap(document => document.rules) ?? [];
    const deadlines = rules.flatMap(rule =>
        rule.kind === "service" && rule.exclusive !== undefined ? [rule.deadlineMilliseconds] : []
    );
    return deadlines.length === 0 ? DEFAULT_LONGEST_ATTEMPT_MILLISECONDS : Math.max(...deadlines);
}

/**
 * Chooses the longest attempt for the record of a claim. A holder shortens its own record only when every attempt that
 * may have begun under the longer time has ended, since a successor counts on the record.
 */
export function chooseLongestAttempt(
    record: PartitionRecord | undefined,
    claimant: Claimant,
    longest: LongestAttempt,
    now: number,
): number {
    const current = longest.current(now);
    if (record === undefined || !isHeldBy(record, claimant)) {
        return current;
    }
    const haveLongerAttemptsEnded = longest.unchangedMilliseconds(now) > record.longestAttemptMilliseconds;
    return haveLongerAttemptsEnded ? current : Math.max(current, record.longestAttemptMilliseconds);
}
