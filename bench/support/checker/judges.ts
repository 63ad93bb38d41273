/**
 * All promises that the checker judges.
 */
import { judgeResumes, judgeSinglePlace } from "./batch.js";
import { judgeCapacity } from "./capacity.js";
import type { Evidence, Judge, Verdict } from "./evidence.js";
import { judgeExclusive } from "./exclusive.js";
import { judgeLeaving, judgePlannedStops } from "./leaving.js";
import { judgeAnswers, judgeAtMostOnce, judgeNotRun } from "./requests.js";
import { judgeConfiguration, judgeEdits, judgeForgottenJobs } from "./rules.js";

const judges: readonly Judge[] = [
    judgeCapacity,
    judgeExclusive,
    judgeSinglePlace,
    judgeResumes,
    judgeAnswers,
    judgeNotRun,
    judgeAtMostOnce,
    judgeLeaving,
    judgePlannedStops,
    judgeConfiguration,
    judgeEdits,
    judgeForgottenJobs,
];

const FINDINGS_DESCRIBED = 5;

/** Judges all promises. */
export function judgeAll(evidence: Evidence): Verdict[] {
    return judges.map(judge => judge(evidence));
}

/** Says in lines what a verdict found: the numbers, and the first of each kind. */
export function describeVerdict({ promise, opportunities, violations, excused }: Verdict): string[] {
    return [
        `${promise}: ${violations.length} violations (excused: ${excused.length}) on ${opportunities} occasions`,
        ...violations.slice(0, FINDINGS_DESCRIBED).map(each => `    ${each}`),
        ...excused.slice(0, FINDINGS_DESCRIBED).map(each => `    excused: ${each}`),
    ];
}
