/**
 * Creates the policy of a scheduler. One policy serves all cells that the scheduler owns, so that they learn together.
 */
import type { Logger } from "../core/log.js";
import type { Metrics } from "../core/metrics.js";
import type { Random } from "../core/random.js";
import { readPlacements } from "./constraints.js";
import { explainPending } from "./explain.js";
import type { PlacementContext } from "./placement.js";
import type { CellView, Decision, Policy } from "./policy.js";
import { createTeamShares } from "./queue.js";
import { createQuotas } from "./quotas.js";
import { createReplicaSpread } from "./replicas.js";
import { createRooms } from "./room.js";
import type { PolicySettings } from "./settings.js";
import { decideStarts } from "./start.js";

/** What a policy is created from. */
export interface PolicyOptions {
    readonly settings: PolicySettings;
    readonly random: Random;
    readonly metrics?: Metrics;
    readonly logger?: Logger;
}

/** Creates a policy that has learned nothing yet. */
export function createPolicy(options: PolicyOptions): Policy {
    return {
        observeReport() {
            // Nothing is learned from reports yet.
        },
        observeEnd() {
            // Nothing is learned from ends yet.
        },
        decide: (view, now) => decide(options, view, now),
        explain: (view, taskId, now) => {
            const task = view.pending.find(pending => pending.taskId === taskId);
            return task === undefined
                ? []
                : explainPending(createPlacementContext(options, view), createQuotas(view.quotas), task, now);
        },
        quarantined: () => [],
    };
}

function decide(options: PolicyOptions, view: CellView, now: number): readonly Decision[] {
    const context = {
        placement: createPlacementContext(options, view),
        quotas: createQuotas(view.quotas),
        shares: createTeamShares(view),
        placementsPerDecision: options.settings.placement.placementsPerDecision,
    };
    return decideStarts(context, view, now).decisions;
}

function createPlacementContext(options: PolicyOptions, view: CellView): PlacementContext {
    const sizeOf: PlacementContext["sizeOf"] = task => task.resources;
    return {
        rooms: createRooms(view.workers, sizeOf),
        constraints: readPlacements(view.placements),
        spread: createReplicaSpread(view),
        sizeOf,
        isQuarantined: () => false,
        harmOf: () => 0,
        random: options.random,
        candidates: options.settings.placement.candidates,
    };
}
