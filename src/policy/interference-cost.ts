/**
 * Interference cost: the rise in services' tail latency caused by batch tasks on the same worker, weighted by the
 * settings.
 */
import type { Random } from "../core/random.js";
import type { FreeCapacity, Occupant } from "./capacity.js";
import type { Estimate, InterferenceModel } from "./interference.js";
import { REFERENCE_CORES, scaleByLoad } from "./interference.js";
import type { PendingTask } from "./policy.js";
import { computeServiceFreeCorePrice } from "./pricing.js";
import type { PolicySettings } from "./settings.js";
import type { SizeModel } from "./sizes.js";

/** Interference costs and estimates for one decision. */
export interface InterferenceCost {
    /** Returns the cost of placing the task on the worker; comparable between workers only. */
    computeCost(task: PendingTask, capacity: FreeCapacity): number;
    /** Returns the reason why the task would slow the worker's services too much, or `undefined` if it would not. */
    findRefusal(task: PendingTask, capacity: FreeCapacity): string | undefined;
    /** Returns the expected rise of a service's tail latency on the worker at its current load and the given shares. */
    estimateRise(service: string, capacity: FreeCapacity, shares: ReadonlyMap<string, number>): number;
    /** Returns the part of that rise that one unthrottled task causes. */
    estimateContribution(service: string, capacity: FreeCapacity, occupant: Occupant): number;
    /** Rise above which batch tasks are throttled; 0.5 is 50 %. */
    readonly throttleRise: number;
}

/** Inputs of the interference cost. */
export interface InterferenceCostOptions {
    readonly interference: InterferenceModel;
    readonly sizes: SizeModel;
    readonly settings: PolicySettings;
    readonly random: Random;
    readonly capacities: readonly FreeCapacity[];
    readonly pending: readonly PendingTask[];
    /** Returns the time at which the policy last evicted the task. */
    evictedAt(taskId: string): number | undefined;
    readonly now: number;
}

/** Tasks on a worker by rule. Batch exposure is measured in tasks of `REFERENCE_CORES`. */
interface OccupantSummary {
    readonly occupants: number;
    readonly services: readonly string[];
    readonly exposures: ReadonlyMap<string, number>;
}

/** Cost of the first replica on a worker: batch tasks lose a worker without services. */
const FIRST_SERVICE_COST = 0.5;
/** Share of a worker's cores that services may use before another worker is preferred. */
const PREFERRED_SERVICE_SHARE = 0.6;
const CROWDED_SERVICES_COST = 1;
/** Derivative of the cost at zero rise; the cost is the square of the tail latency factor. */
const COST_SLOPE_AT_NO_RISE = 2;
/** Standard deviations added to an estimated effect for placement, at equal weights. */
const UNCERTAINTY_DEVIATIONS = 0.3;
const MAX_UNCERTAINTY_DEVIATIONS = 1;

/** Creates the interference cost of one decision. */
export function createInterferenceCost(options: InterferenceCostOptions): InterferenceCost {
    const { interference, sizes, settings, random, capacities, pending, now } = options;
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

    /** Upper estimate of the effect, or the lower one during exploration, so that uncertain pairs are tried. */
    function estimatePlacementEffect(service: string, batchRule: string): number {
        const { mean, deviation } = estimate(service, batchRule);
        return Math.max(0, exploring ? mean - deviation : mean + uncertaintyDeviations * deviation);
    }

    /** Lower estimate of the effect: an uncertain estimate alone does not throttle or evict a running task. */
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

    /** Cost of one core of a batch rule, averaged over the workers that run services. */
    function computeCostPerCore(batchRule: string): number {
        const hosts = capacities.map(capacity => getOccupantSummary(capacity).services).filter(services =>
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

    const serviceFreeCorePrice = computeServiceFreeCorePrice(capacities, pending, computeCostPerCore);
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
