/**
 * Counts usage reports and counts and logs the policy's decisions.
 */
import type { Logger } from "../core/log.js";
import type { Metrics } from "../core/metrics.js";
import type { Decision } from "./policy.js";
import type { ReportClassification } from "./reports.js";

/** Metrics and log of the policy; does nothing without metrics and logger. */
export interface DecisionLog {
    countReport(classification: ReportClassification): void;
    countDecisions(cell: string, decisions: readonly Decision[], quarantined: number): void;
}

/** Registers the policy's metrics. */
export function createDecisionLog(metrics: Metrics | undefined, logger: Logger | undefined): DecisionLog {
    const reports = metrics?.counter(
        "flamingowell_policy_reports_total",
        "Usage reports by what they were worth (news, old, repeated, future).",
        ["worth"],
    );
    const decided = metrics?.counter("flamingowell_policy_decisions_total", "Decisions by kind.", ["kind"]);
    const quarantinedWorkers = metrics?.gauge(
        "flamingowell_policy_quarantined_workers",
        "Workers in quarantine or on probation.",
    );
    return {
        countReport: classification => reports?.inc({ worth: classification }),
        countDecisions(cell, decisions, quarantined) {
            for (const decision of decisions) {
                decided?.inc({ kind: decision.kind });
                if (decision.kind !== "place") {
                    logger?.info(decision.kind, { cell, ...decision });
                }
            }
            quarantinedWorkers?.set(quarantined);
        },
    };
}
