/**
 * Second part of a cell's round: plans what the rules ask for, moves tasks off workers, and takes the policy's decisions
 * into the ledger's draft.
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

/** Replicas on a worker that is silent for this share of a lease, or long enough, are replaced by others. */
const SILENT_SHARE_OF_LEASE = 0.75;

/** What planning works on. */
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

/** Plans and decides; true where tasks wait for a place or a worker is silent, so that time alone changes something. */
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
