/**
 * What callers were told, against what ran.
 */
import type { CallRecord } from "../load.js";
import { groupBy, pick } from "./evidence.js";
import type { Evidence, Verdict } from "./evidence.js";
import { findRequestRuns } from "./runs.js";

/** Judges refusals: a call that was refused as `not-run` did not run. */
export function judgeNotRun(evidence: Evidence): Verdict {
    const refused = evidence.calls.filter(call => call.outcome === "not-run");
    const runs = groupBy(findRequestRuns(evidence), run => run.call);
    const keyRuns = groupBy(findRequestRuns(evidence), run => run.idempotencyKey);
    const violations = refused.filter(call => isRun(call, runs, keyRuns, evidence.calls)).map(call =>
        `call ${call.call} was refused as not-run (${call.detail}) and ran`
    );
    return { promise: "not-run did not run", opportunities: refused.length, violations };
}

function isRun(
    call: CallRecord,
    runs: ReadonlyMap<string, unknown[]>,
    keyRuns: ReadonlyMap<string, unknown[]>,
    calls: readonly CallRecord[],
): boolean {
    if (runs.has(call.call)) {
        return true;
    }
    // Without another call of its key, a run under the key can only be this call's.
    const key = call.idempotencyKey;
    return key !== undefined && keyRuns.has(key) && calls.filter(other => other.idempotencyKey === key).length === 1;
}

/** Judges runs of calls that must not be repeated: at most one for each call or, where given, idempotency key. */
export function judgeAtMostOnce(evidence: Evidence): Verdict {
    const calls = evidence.calls.filter(call => call.method === "POST");
    const byCall = groupBy(findRequestRuns(evidence), run => run.call);
    const byKey = groupBy(
        findRequestRuns(evidence).filter(run => run.idempotencyKey !== ""),
        run => run.idempotencyKey,
    );
    const violations = [
        ...calls.filter(call => (byCall.get(call.call)?.length ?? 0) > 1).map(call =>
            `call ${call.call} ran ${byCall.get(call.call)?.length ?? 0} times`
        ),
        ...[...byKey].filter(([, runs]) => runs.length > 1).map(([key, runs]) =>
            `idempotency key ${key} ran ${runs.length} times: ${runs.map(run => run.call).join(", ")}`
        ),
    ];
    const keys = groupBy(calls.filter(call => call.idempotencyKey !== undefined), call => call.idempotencyKey ?? "");
    const repeats = [...keys.values()].reduce((sum, group) => sum + group.length - 1, 0);
    const troubled = calls.filter(call => call.outcome !== "answered").length;
    return { promise: "non-idempotent requests run at most once", opportunities: troubled + repeats, violations };
}

/** Judges answers: each is whole and its caller's own, and a call that was answered did run. */
export function judgeAnswers(evidence: Evidence): Verdict {
    const bad = evidence.calls.filter(call => call.outcome === "wrong" || call.outcome === "partial");
    const answered = evidence.calls.filter(call => call.outcome === "answered");
    const ran = new Set(findRequestRuns(evidence).flatMap(run => [run.call, run.idempotencyKey]));
    const invented = answered.filter(call => !ran.has(call.call) && !ran.has(call.idempotencyKey ?? call.call));
    return {
        promise: "answers are whole and the caller's own",
        opportunities: answered.length + bad.length,
        violations: [
            ...bad.map(call => `call ${call.call}: ${call.detail}`),
            ...invented.map(call => `call ${call.call} was answered and no worker ran it`),
        ],
    };
}

/** Counts the answers that workers spoilt on purpose; callers must not have taken them for whole. */
export function countSpoiltAnswers(evidence: Evidence): number {
    return pick(evidence.workers, "request-ended").filter(end =>
        end.outcome === "truncated" || end.outcome === "dropped"
    )
        .length;
}
