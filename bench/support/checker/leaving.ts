/**
 * Leaving upstreams get no new work, and planned stops cut off no request.
 */
import { pick, pickOperators } from "./evidence.js";
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
    const violations = leaves.flatMap(leave => {
        const from = leave.at + LEAVING_LIMIT_MILLISECONDS;
        const isLate = (record: { worker: string; at: number; }) =>
            record.worker === leave.worker && findArrival(record.at, stalls) > from && record.at < leave.until;
        return [
            ...tasks.filter(isLate).map(start =>
                `${leave.worker}: ${start.taskId}#${start.attempt} started ${
                    (start.at - leave.at).toFixed(0)
                } ms after it left`
            ),
            ...requests.filter(isLate).map(start =>
                `${leave.worker}: call ${start.call} came ${(start.at - leave.at).toFixed(0)} ms after it left`
            ),
        ];
    });
    const judged = leaves.filter(leave => leave.until - leave.at > LEAVING_LIMIT_MILLISECONDS);
    return { promise: "no work for leaving upstreams", opportunities: judged.length, violations };
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
        if (stop.exitCode !== 0) {
            violations.push(`${stop.process} ended its stop with code ${stop.exitCode}`);
        }
    }
    const replicas = judgeReplicaStops(evidence);
    return {
        promise: "planned stops cut off no request",
        opportunities: opportunities + replicas.opportunities,
        violations: [...violations, ...replicas.violations],
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
