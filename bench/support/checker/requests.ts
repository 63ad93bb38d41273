/**
 * What callers were told, against what ran.
 */
import { groupBy, pick, sortFindings } from "./evidence.js";
import type { Evidence, Finding, Verdict } from "./evidence.js";
import { findRequestRuns } from "./runs.js";

/** Clocks of two processes on one machine differ by less. */
const CLOCK_TOLERANCE_MILLISECONDS = 5;

/**
 * Judges refusals: a call that was refused as `not-run` did not run. A run of a call of which one repeat was refused and
 * another was not may be that of the other repeat, unless it began before that one was sent.
 */
export function judgeNotRun(evidence: Evidence): Verdict {
    const runs = groupBy(findRequestRuns(evidence), run => run.call);
    const findings: Finding[] = [];
    let opportunities = 0;
    for (const [wire, repeats] of groupBy(evidence.calls, call => call.wire)) {
        const refused = repeats.filter(call => call.outcome === "not-run");
        const others = repeats.filter(call => call.outcome !== "not-run");
        const firstSentAt = Math.min(...others.map(call => call.sentAt)) - CLOCK_TOLERANCE_MILLISECONDS;
        const its = refused.length === 0 ? [] : runs.get(wire) ?? [];
        opportunities += refused.length > 0 && others.length === 0 ? 1 : 0;
        findings.push(...its.map(run => ({
            text: `call ${wire} was refused as not-run (${refused[0]?.detail ?? ""}) and ran`,
            isExcused: run.startedAt >= firstSentAt,
        })));
    }
    return { promise: "not-run did not run", opportunities, ...sortFindings(findings) };
}

/** Judges runs of calls that must not be repeated: at most one, however often the caller repeats its key. */
export function judgeAtMostOnce(evidence: Evidence): Verdict {
    const calls = evidence.calls.filter(call => call.method === "POST");
    const requestRuns = findRequestRuns(evidence);
    const byCall = groupBy(requestRuns, run => run.call);
    const byKey = groupBy(requestRuns.filter(run => run.idempotencyKey !== ""), run => run.idempotencyKey);
    const groups = [...groupBy(calls, call => call.wire)];
    const violations = [
        ...groups.map(([wire]) => ({ wire, runs: byCall.get(wire)?.length ?? 0 }))
            .filter(({ runs }) => runs > 1)
            .map(({ wire, runs }) => `call ${wire} ran ${runs} times`),
        ...[...byKey].filter(([key, runs]) => runs.length > 1 && !byCall.has(key)).map(([key, runs]) =>
            `idempotency key ${key} ran ${runs.length} times`
        ),
    ];
    const repeats = groups.reduce((sum, [, group]) => sum + group.length - 1, 0);
    const troubled = calls.filter(call => call.outcome !== "answered").length;
    return {
        promise: "non-idempotent requests run at most once",
        opportunities: troubled + repeats,
        violations,
        excused: [],
    };
}

/** Judges answers: each is whole and its caller's own, and a call that was answered did run. */
export function judgeAnswers(evidence: Evidence): Verdict {
    const bad = evidence.calls.filter(call => call.outcome === "wrong" || call.outcome === "partial");
    const answered = evidence.calls.filter(call => call.outcome === "answered");
    const ran = new Set(findRequestRuns(evidence).map(run => run.call));
    const invented = answered.filter(call => !ran.has(call.wire));
    return {
        promise: "answers are whole and the caller's own",
        opportunities: answered.length + bad.length,
        violations: [
            ...bad.map(call => `call ${call.call}: ${call.detail}`),
            ...invented.map(call => `call ${call.call} was answered and no worker ran it`),
        ],
        excused: [],
    };
}

/** Counts the answers that workers spoilt on purpose; callers must not have taken them for whole. */
export function countSpoiltAnswers(evidence: Evidence): number {
    return pick(evidence.workers, "request-ended")
        .filter(({ outcome }) => outcome === "truncated" || outcome === "dropped" || outcome === "crossed")
        .length;
}
