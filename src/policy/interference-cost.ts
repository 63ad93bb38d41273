/**
 * Harm: the rise of services' tail latency that neighbours on a worker cause, and what it costs by the weights.
 */
import type { Random } from "../core/random.js";
import type { FreeCapacity, Occupant } from "./capacity.js";
import type { Estimate, InterferenceModel } from "./interference.js";
import { REFERENCE_CORES, scaleByLoad } from "./interference.js";
import type { PendingTask } from "./policy.js";
import { computeServiceFreeCorePrice } from "./pricing.js";
import type { PolicySettings } from "./settings.js";
import type { SizeModel } from "./sizes.js";

/** Harm as one decision sees it. */
export interface InterferenceCost {
    /** Cost of placing the task; only differences between workers count. */
    computeCost(task: PendingTask, capacity: FreeCapacity): number;
    /** Says why the task would do too much harm on the worker, or `undefined` where it would not. */
    findRefusal(task: PendingTask, capacity: FreeCapacity): string | undefined;
    /** Expected rise of a service on the worker at its present load, with the tasks and shares given. */
    estimateRise(service: string, capacity: FreeCapacity, shares: ReadonlyMap<string, number>): number;
    /** Part of that rise that comes from one task at a share of 1. */
    estimateContribution(service: string, capacity: FreeCapacity, occupant: Occupant): number;
    /** Rise from which on neighbours are throttled. */
    readonly throttleRise: number;
}

/** What a view of harm is created from. */
export interface InterferenceCostOptions {
    readonly interference: InterferenceModel;
    readonly sizes: SizeModel;
    readonly settings: PolicySettings;
    readonly random: Random;
    readonly capacities: readonly FreeCapacity[];
    readonly pending: readonly PendingTask[];
    /** Time at which the policy last evicted a task. */
    evictedAt(taskId: string): number | undefined;
    readonly now: number;
}

/** What is on a worker, by rule. Batch rules count in tasks of `REFERENCE_CORES`. */
interface OccupantSummary {
    readonly occupants: number;
    readonly services: readonly string[];
    readonly exposures: ReadonlyMap<string, number>;
}

/** Cost of a replica on a worker that has no service yet: it takes a clean worker from batch. */
const FIRST_SERVICE_COST = 0.5;
/** Share of a worker's cores that services may take together before another worker is preferred. */
const PREFERRED_SERVICE_SHARE = 0.6;
const CROWDED_SERVICES_COST = 1;
/** Slope of the cost at no rise: the cost is the square of the tail's factor. */
const COST_SLOPE_AT_NO_RISE = 2;
/** Deviations by which uncertainty counts as harm, at equal weights. */
const UNCERTAINTY_DEVIATIONS = 0.3;
const MAX_UNCERTAINTY_DEVIATIONS = 1;

/** Creates the view of one decision. */
export function createInterferenceCost(options: InterferenceCostOptions): InterferenceCost {
    const { interference, sizes, settings, random, capacities: rooms, pending, now } = options;
    const { weights, placement, mitigation } = settings;
    const tailWeightRatio = weights.tail / weights.throughput;
    const uncertaintyDeviations = Math.min(
        MAX_UNCERTAINTY_DEVIATIONS,
        UNCERTAINTY_DEVIATIONS * Math.sqrt(tailWeightRatio),
    );
    const throttleRise = mitigation.throttleRise / Math.sqrt(tailWeightRatio);
    const exploring = random() < placement.exploration / Math.max(1, tailWeightRatio);
    const estimates = new Map<string, Estimate>();
    const summaries = new Map<FreeCapacity, OccupantSummary>();

    function estimate(service: string, batchRule: string): Estimate {
        const key = `${service} ${batchRule}`;
        const cached = estimates.get(key) ?? interference.effect(service, batchRule, now);
        estimates.set(key, cached);
        return cached;
    }

    /** Effect as counted for placement: uncertain pairs count for more, or for less while exploring. */
    function estimatePlacementEffect(service: string, batchRule: string): number {
        const { mean, deviation } = estimate(service, batchRule);
        return Math.max(0, exploring ? mean - deviation : mean + uncertaintyDeviations * deviation);
    }

    /** Effect as counted against running tasks: what is not known yet is no reason to disturb them. */
    function estimateMitigationEffect(service: string, batchRule: string): number {
        const { mean, deviation } = estimate(service, batchRule);
        return Math.max(0, mean - deviation);
    }

    function exposureOf(task: Pick<Occupant, "rule" | "resources">): number {
        return sizes.estimateCores(task.rule, task.resources) / REFERENCE_CORES;
    }

    function getOccupantSummary(capacity: FreeCapacity): OccupantSummary {
        const cached = summaries.get(capacity);
        if (cached?.occupants === capacity.occupants.length) {
            return cached;
        }
        const exposures = new Map<string, number>();
        const batch = capacity.occupants.filter(occupant => occupant.kind === "batch");
        for (const occupant of batch) {
            const exposure = exposureOf(occupant) * occupant.throttleShare;
            exposures.set(occupant.rule, (exposures.get(occupant.rule) ?? 0) + exposure);
        }
        const services = capacity.occupants.filter(occupant => occupant.kind === "service").map(({ rule }) => rule);
        const summary = { occupants: capacity.occupants.length, services, exposures };
        summaries.set(capacity, summary);
        return summary;
    }

    /** Cost by which one core of a batch rule raises the tails of the services, on average over their workers. */
    function computeCostPerCore(batchRule: string): number {
        const hosts = rooms.map(capacity => getOccupantSummary(capacity).services).filter(services =>
            services.length > 0
        );
        if (hosts.length === 0) {
            return 0;
        }
        const effects = hosts.map(services =>
            services.reduce((total, service) => total + estimatePlacementEffect(service, batchRule), 0)
        );
        return COST_SLOPE_AT_NO_RISE * effects.reduce((total, effect) => total + effect, 0) / hosts.length
            / REFERENCE_CORES;
    }

    function predictRise(service: string, capacity: FreeCapacity): number {
        let rise = 0;
        for (const [rule, exposure] of getOccupantSummary(capacity).exposures) {
            rise += estimatePlacementEffect(service, rule) * exposure;
        }
        return rise;
    }

    function computeBatchCost(task: PendingTask, capacity: FreeCapacity): number {
        const { services } = getOccupantSummary(capacity);
        if (services.length === 0) {
            return serviceFreeCorePrice * task.resources.cores;
        }
        const exposure = exposureOf(task);
        return services.reduce((cost, service) => {
            const before = 1 + predictRise(service, capacity);
            const after = before + estimatePlacementEffect(service, task.rule) * exposure;
            return cost + after * after - before * before;
        }, 0);
    }

    function computeServiceCost(task: PendingTask, capacity: FreeCapacity): number {
        const { services } = getOccupantSummary(capacity);
        const after = 1 + predictRise(task.rule, capacity);
        const firstServiceCost = services.length === 0 ? FIRST_SERVICE_COST : 0;
        const serviceCores = capacity.occupants
            .filter(occupant => occupant.kind === "service")
            .reduce((total, occupant) => total + occupant.resources.cores, task.resources.cores);
        const crowdingCost = serviceCores > PREFERRED_SERVICE_SHARE * capacity.view.instance.shape.cores
            ? CROWDED_SERVICES_COST
            : 0;
        return after * after - 1 + firstServiceCost + crowdingCost;
    }

    const serviceFreeCorePrice = computeServiceFreeCorePrice(rooms, pending, computeCostPerCore);
    return {
        throttleRise,
        computeCost: (task, capacity) =>
            weights.tail
            * (task.kind === "service" ? computeServiceCost(task, capacity) : computeBatchCost(task, capacity)),
        findRefusal(task, capacity) {
            if (task.kind === "service" || task.priority <= placement.urgentPriority) {
                return undefined;
            }
            const since = options.evictedAt(task.taskId) ?? task.submittedAtMilliseconds;
            const waitedMilliseconds = Math.max(0, now - Math.max(since, task.notBeforeMilliseconds));
            const limit = throttleRise * (1 + waitedMilliseconds / placement.patienceMilliseconds);
            const exposure = exposureOf(task);
            const affectedService = getOccupantSummary(capacity).services.find(service =>
                predictRise(service, capacity) + estimatePlacementEffect(service, task.rule) * exposure > limit
            );
            return affectedService === undefined ? undefined : "services on the worker would be slowed too much";
        },
        estimateRise(service, capacity, shares) {
            const load = scaleByLoad(interference.load(service, capacity.name, now));
            return capacity.occupants
                .filter(occupant => occupant.kind === "batch")
                .reduce((rise, occupant) => {
                    const share = shares.get(occupant.taskId) ?? occupant.throttleShare;
                    return rise
                        + estimateMitigationEffect(service, occupant.rule) * exposureOf(occupant) * share * load;
                }, 0);
        },
        estimateContribution: (service, capacity, occupant) =>
            estimateMitigationEffect(service, occupant.rule) * exposureOf(occupant)
            * scaleByLoad(interference.load(service, capacity.name, now)),
    };
}
