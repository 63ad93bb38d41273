/**
 * Two requests with one key of an exclusive service never run at the same time.
 */
import { groupBy } from "./evidence.js";
import type { Evidence, Verdict } from "./evidence.js";
import { findRequestRuns } from "./runs.js";
import type { RequestRun } from "./runs.js";

/** Judges overlaps on workers; an opportunity is a call that was made while another with its key was open. */
export function judgeExclusive(evidence: Evidence): Verdict {
    const { calls, exclusiveServices } = evidence;
    const keys = new Map(calls.map(call => [call.wire, `${call.service} ${call.key}`]));
    const runs = findRequestRuns(evidence).filter(run => exclusiveServices.includes(run.service));
    const known = runs.filter(run => keys.has(run.call));
    const violations = [...groupBy(known, run => keys.get(run.call) ?? "")].flatMap(([key, its]) =>
        findOverlaps(key, its)
    );
    // A run whose caller wrote nothing down has no known key.
    const excused = runs.filter(run => !keys.has(run.call)).map(run =>
        `${run.worker} ran call ${run.call}, of which no caller knows`
    );
    const exclusiveCalls = calls.filter(call => exclusiveServices.includes(call.service));
    const opportunities = [...groupBy(exclusiveCalls, call => `${call.service} ${call.key}`).values()]
        .flatMap(group => findOverlaps("", group.map(call => ({ ...call, startedAt: call.sentAt }))))
        .length;
    return { promise: "exclusive requests never overlap", opportunities, violations, excused };
}

type Span = Pick<RequestRun, "startedAt" | "endedAt" | "call"> & { readonly worker?: string; };

function findOverlaps(key: string, spans: readonly Span[]): string[] {
    const sorted = [...spans].sort((left, right) => left.startedAt - right.startedAt);
    const found: string[] = [];
    let last: Span | undefined;
    for (const span of sorted) {
        if (last !== undefined && span.startedAt < last.endedAt) {
            const overlap = Math.min(last.endedAt, span.endedAt) - span.startedAt;
            found.push(
                `${key}: call ${span.call} on ${span.worker ?? ""} began ${
                    overlap.toFixed(1)
                } ms before call ${last.call} `
                    + `on ${last.worker ?? ""} ended`,
            );
        }
        last = last === undefined || span.endedAt > last.endedAt ? span : last;
    }
    return found;
}
