/**
 * Leaving upstreams get no new work, and planned stops cut off no request.
 */
import { pick, pickOperators, sortFindings } from "./evidence.js";
import type { Evidence, Verdict } from "./evidence.js";
import { findRequestRuns, findTaskRuns } from "./runs.js";

/** Time that the system has to notice a leaving upstream. */
export const LEAVING_LIMIT_MILLISECONDS = 5_000;

/** Time in which a process works off what came while it stood still. */
const STALL_BACKLOG_MILLISECONDS = 200;

/** Judges starts and requests on workers that the list has shown as leaving for 5 s. */
export function judgeLeaving(evidence: Evidence): Verdict {
    const leaves = pickOperators(evidence.operators, "worker-leaving");
    const stalls = pick(evidence.workers, "stalled");
    const tasks = pick(evidence.workers, "attempt-started");
    const requests = pick(evidence.workers, "request-started");
    const sentAt = findFirstSends(evidence);
    const findings = leaves.flatMap(leave => {
        const from = leave.at + LEAVING_LIMIT_MILLISECONDS;
        const isLate = (record: { worker: string; at: number; }) =>
            record.worker === leave.worker && record.at > from && record.at < leave.until;
        const mayHaveWaited = (at: number) => findArrival(at, stalls) <= from;
        return [
            ...tasks.filter(isLate).map(start => ({
                text: `${leave.worker}: ${start.taskId}#${start.attempt} started ${
                    (start.at - leave.at).toFixed(0)
                } ms after it left`,
                isExcused: mayHaveWaited(start.at),
            })),
            ...requests.filter(isLate).map(start => ({
                text: `${leave.worker}: call ${start.call} came ${(start.at - leave.at).toFixed(0)} ms after it left`,
                // What its caller had not even sent in time cannot have waited before the stall.
                isExcused: mayHaveWaited(start.at) && (sentAt.get(start.call) ?? from) <= from,
            })),
        ];
    });
    const judged = leaves.filter(leave => leave.until - leave.at > LEAVING_LIMIT_MILLISECONDS);
    return { promise: "no work for leaving upstreams", opportunities: judged.length, ...sortFindings(findings) };
}

function findFirstSends({ calls }: Evidence): Map<string, number> {
    const sentAt = new Map<string, number>();
    for (const call of calls) {
        sentAt.set(call.wire, Math.min(call.sentAt, sentAt.get(call.wire) ?? Infinity));
    }
    return sentAt;
}

/** What is dated right after a stall of the workers' process may have arrived since the stall began. */
function findArrival(at: number, stalls: readonly { at: number; milliseconds: number; }[]): number {
    const stall = stalls.find(each => at >= each.at - each.milliseconds && at <= each.at + STALL_BACKLOG_MILLISECONDS);
    return stall === undefined ? at : Math.min(at, stall.at - stall.milliseconds);
}

/** Judges planned stops: of gateways with calls open, and of replicas with requests under way. */
export function judgePlannedStops(evidence: Evidence): Verdict {
    const stops = pickOperators(evidence.operators, "planned-stop");
    const violations: string[] = [];
    const excused: string[] = [];
    let opportunities = 0;
    for (const stop of stops) {
        const open = evidence.calls.filter(call =>
            stop.origin !== "" && call.gateway === stop.origin && call.sentAt < stop.until && call.endedAt > stop.at
        );
        opportunities += Math.max(1, open.length);
        violations.push(
            ...open.filter(call => call.outcome === "cut").map(call =>
                `${stop.process}: call ${call.call}, sent ${
                    (call.sentAt - stop.at).toFixed(0)
                } ms after the stop, was cut`
            ),
        );
        // Not cut off: the balancer had not heard yet that the port was closed.
        excused.push(
            ...open.filter(call => call.outcome === "refused").map(call =>
                `${stop.process}: call ${call.call} found the port closed`
            ),
        );
        if (stop.exitCode !== 0) {
            violations.push(`${stop.process} ended its stop with code ${stop.exitCode}`);
        }
    }
    const replicas = judgeReplicaStops(evidence);
    return {
        promise: "planned stops cut off no request",
        opportunities: opportunities + replicas.opportunities,
        violations: [...violations, ...replicas.violations],
        excused,
    };
}

function judgeReplicaStops(evidence: Evidence): Pick<Verdict, "opportunities" | "violations"> {
    const stopped = new Map(
        findTaskRuns(evidence).filter(run => run.state === "stopped" && run.kind === "service")
            .map(run => [`${run.worker} ${run.taskId}#${run.attempt}`, run]),
    );
    const lost = findRequestRuns(evidence).filter(run =>
        run.outcome === "lost" && stopped.has(`${run.worker} ${run.taskId}#${run.attempt}`)
    );
    return {
        opportunities: stopped.size,
        violations: lost.map(run => `${run.worker}: call ${run.call} was cut off by the stop of ${run.taskId}`),
    };
}
