/**
 * Longest attempt of an exclusive request, from the rules and from the holder's record.
 */
import type { ConfigurationSource } from "../../rules/rule.js";
import { isHeldBy } from "./claim.js";
import type { Claimant } from "./claim.js";
import type { PartitionRecord } from "./partition.js";

const DEFAULT_LONGEST_ATTEMPT_MILLISECONDS = 5_000;

/** Longest attempt that the current rules allow, and the time since its last change. */
export interface LongestAttempt {
    /** Longest deadline of the exclusive services, in milliseconds. */
    current(now: number): number;
    /** Time since the value last changed, in milliseconds. */
    unchangedMilliseconds(now: number): number;
}

/** Creates the longest attempt from the current rules. */
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
 * Chooses the longest attempt for the record of a claim, in milliseconds. A holder lowers its own record only after
 * every attempt started under the longer limit has ended, since a successor waits for the recorded time.
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
