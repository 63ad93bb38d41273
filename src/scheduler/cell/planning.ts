/**
 * Second step of a cell's round: plans the tasks of the rules, evacuates workers, and applies the policy's decisions to
 * the ledger's draft.
 */
import type { CellView, Policy } from "../../policy/policy.js";
import type { Configuration } from "../../rules/rule.js";
import type { Assignments } from "../jobs/assignments.js";
import type { Overflow } from "../jobs/overflow.js";
import { planCell } from "../jobs/plan.js";
import type { Ledger } from "../ledger/ledger.js";
import type { SchedulerMetrics } from "../metrics.js";
import type { CellSettings } from "../settings.js";
import { applyDecisions } from "./decide.js";
import { evacuateWorker, replaceReplicas } from "./evacuation.js";
import type { WorkerLink } from "./link.js";
import { silenceLimit } from "./renewing.js";
import { delayReplacements } from "./restarts.js";
import { stateOf } from "./view.js";

/**
 * Share of a lease after which the replicas on a silent worker are replaced, unless the silence limit plus one renewal
 * interval is shorter.
 */
const SILENT_SHARE_OF_LEASE = 0.75;

/** Input of the planning step. */
export interface PlanningInput {
    readonly cell: string;
    readonly ledger: Ledger;
    readonly links: ReadonlyMap<string, WorkerLink>;
    readonly settings: CellSettings;
    readonly configuration: Configuration;
    readonly findAssignment: Assignments["find"];
    readonly overflow: Overflow;
    readonly policy: Policy;
    readonly metrics: SchedulerMetrics;
    buildView(now: number): CellView;
}

/**
 * Updates the ledger's draft and applies the policy's decisions. Returns true if a task waits or a worker is silent,
 * since decisions may then change without any other event.
 */
export function planAndDecide(input: PlanningInput, now: number): boolean {
    const { ledger, links, configuration, metrics, overflow, policy, settings } = input;
    planCell({
        cell: input.cell,
        configuration,
        ledger,
        findAssignment: input.findAssignment,
        isInOtherCell: overflow.isInOtherCell,
        maxStops: settings.stopsPerInterval,
    }, now);
    overflow.plan(configuration, now);
    delayReplacements(ledger, settings, now);
    evacuateWorkers(input, now);
    const view = input.buildView(now);
    const silence = { ledger, silentAfterMilliseconds: silenceLimit(settings) };
    applyDecisions(
        {
            ledger,
            links,
            isLive: link => stateOf(silence, link, now) === "live",
            onRejected: ({ kind }, reason) => metrics.decisionsRejected.inc({ kind, reason }),
        },
        policy.decide(view, now),
        now,
    );
    const hasUnansweredWorker = [...links.values()].some(link =>
        link.failedAtMilliseconds > link.answeredAtMilliseconds
    );
    return view.pending.length > 0 || hasUnansweredWorker;
}

function evacuateWorkers({ ledger, links, settings }: PlanningInput, now: number): void {
    const silentAfterMilliseconds = silenceLimit(settings);
    const replaceAfterMilliseconds = Math.min(
        settings.workerLeaseMilliseconds * SILENT_SHARE_OF_LEASE,
        silentAfterMilliseconds + settings.renewIntervalMilliseconds,
    );
    for (const link of links.values()) {
        const state = stateOf({ ledger, silentAfterMilliseconds }, link, now);
        if (state === "leaving" || state === "draining") {
            evacuateWorker(ledger, link.instance.name, state, now);
        }
        else if (now - link.answeredAtMilliseconds >= replaceAfterMilliseconds) {
            replaceReplicas(ledger, link.instance.name, now);
        }
    }
}
