/**
 * Harm: the rise of services' tail latency that neighbours on a worker cause, and what it costs by the weights.
 */
import type { Random } from "../core/random.js";
import type { Estimate, InterferenceModel } from "./interference.js";
import { REFERENCE_CORES, scaleByLoad } from "./interference.js";
import type { PendingTask } from "./policy.js";
import { priceCleanRoom } from "./pricing.js";
import type { Occupant, WorkerRoom } from "./room.js";
import type { PolicySettings } from "./settings.js";
import type { SizeModel } from "./sizes.js";

/** Harm as one decision sees it. */
export interface HarmView {
    /** Cost of placing the task; only differences between workers count. */
    costOf(task: PendingTask, room: WorkerRoom): number;
    /** Says why the task would do too much harm on the worker, or `undefined` where it would not. */
    refuse(task: PendingTask, room: WorkerRoom): string | undefined;
    /** Expected rise of a service on the worker at its present load, with the tasks and shares given. */
    expectRise(service: string, room: WorkerRoom, shares: ReadonlyMap<string, number>): number;
    /** Part of that rise that comes from one task at a share of 1. */
    expectPart(service: string, room: WorkerRoom, occupant: Occupant): number;
    /** Rise from which on neighbours are throttled. */
    readonly throttleRise: number;
}

/** What a view of harm is created from. */
export interface HarmOptions {
    readonly interference: InterferenceModel;
    readonly sizes: SizeModel;
    readonly settings: PolicySettings;
    readonly random: Random;
    readonly rooms: readonly WorkerRoom[];
    readonly pending: readonly PendingTask[];
    /** Time at which the policy last evicted a task. */
    evictedAt(taskId: string): number | undefined;
    readonly now: number;
}

/** What is on a worker, by rule. Batch rules count in tasks of `REFERENCE_CORES`. */
interface Neighbourhood {
    readonly occupants: number;
    readonly services: readonly string[];
    readonly exposures: ReadonlyMap<string, number>;
}

/** Cost of a replica on a worker that has no service yet: it takes a clean worker from batch. */
const FIRST_SERVICE_PRICE = 0.5;
/** Share of a worker's cores that services may take together before another worker is preferred. */
const SERVICE_SHARE = 0.6;
const CROWDED_SERVICES_PRICE = 1;
/** Slope of the cost at no rise: the cost is the square of the tail's factor. */
const COST_PER_RISE = 2;
/** Deviations by which uncertainty counts as harm, at equal weights. */
const CAUTION = 0.3;
const LARGEST_CAUTION = 1;

/** Creates the view of one decision. */
export function createHarmView(options: HarmOptions): HarmView {
    const { interference, sizes, settings, random, rooms, pending, now } = options;
    const { weights, placement, mitigation } = settings;
    const tailToThroughput = weights.tail / weights.throughput;
    const caution = Math.min(LARGEST_CAUTION, CAUTION * Math.sqrt(tailToThroughput));
    const throttleRise = mitigation.throttleRise / Math.sqrt(tailToThroughput);
    const exploring = random() < placement.exploration / Math.max(1, tailToThroughput);
    const estimates = new Map<string, Estimate>();
    const neighbourhoods = new Map<WorkerRoom, Neighbourhood>();

    function estimate(service: string, batchRule: string): Estimate {
        const key = `${service} ${batchRule}`;
        const known = estimates.get(key) ?? interference.effect(service, batchRule, now);
        estimates.set(key, known);
        return known;
    }

    /** Effect as counted for placement: uncertain pairs count for more, or for less while exploring. */
    function cautiousEffect(service: string, batchRule: string): number {
        const { mean, deviation } = estimate(service, batchRule);
        return Math.max(0, exploring ? mean - deviation : mean + caution * deviation);
    }

    /** Effect as counted against running tasks: what is not known yet is no reason to disturb them. */
    function provenEffect(service: string, batchRule: string): number {
        const { mean, deviation } = estimate(service, batchRule);
        return Math.max(0, mean - deviation);
    }

    function exposureOf(task: Pick<Occupant, "rule" | "resources">): number {
        return sizes.expectCores(task.rule, task.resources) / REFERENCE_CORES;
    }

    function readNeighbourhood(room: WorkerRoom): Neighbourhood {
        const known = neighbourhoods.get(room);
        if (known?.occupants === room.occupants.length) {
            return known;
        }
        const exposures = new Map<string, number>();
        const batch = room.occupants.filter(occupant => occupant.kind === "batch");
        for (const occupant of batch) {
            const exposure = exposureOf(occupant) * occupant.throttleShare;
            exposures.set(occupant.rule, (exposures.get(occupant.rule) ?? 0) + exposure);
        }
        const services = room.occupants.filter(occupant => occupant.kind === "service").map(({ rule }) => rule);
        const neighbourhood = { occupants: room.occupants.length, services, exposures };
        neighbourhoods.set(room, neighbourhood);
        return neighbourhood;
    }

    /** Cost by which one core of a batch rule raises the tails of the services, on average over their workers. */
    function costPerCore(batchRule: string): number {
        const hosts = rooms.map(room => readNeighbourhood(room).services).filter(services => services.length > 0);
        if (hosts.length === 0) {
            return 0;
        }
        const effects = hosts.map(services =>
            services.reduce((total, service) => total + cautiousEffect(service, batchRule), 0)
        );
        return COST_PER_RISE * effects.reduce((total, effect) => total + effect, 0) / hosts.length / REFERENCE_CORES;
    }

    function sumRise(service: string, room: WorkerRoom): number {
        let rise = 0;
        for (const [rule, exposure] of readNeighbourhood(room).exposures) {
            rise += cautiousEffect(service, rule) * exposure;
        }
        return rise;
    }

    function costBatch(task: PendingTask, room: WorkerRoom): number {
        const { services } = readNeighbourhood(room);
        if (services.length === 0) {
            return cleanPricePerCore * task.resources.cores;
        }
        const exposure = exposureOf(task);
        return services.reduce((cost, service) => {
            const before = 1 + sumRise(service, room);
            const after = before + cautiousEffect(service, task.rule) * exposure;
            return cost + after * after - before * before;
        }, 0);
    }

    function costService(task: PendingTask, room: WorkerRoom): number {
        const { services } = readNeighbourhood(room);
        const after = 1 + sumRise(task.rule, room);
        const first = services.length === 0 ? FIRST_SERVICE_PRICE : 0;
        const serviceCores = room.occupants
            .filter(occupant => occupant.kind === "service")
            .reduce((total, occupant) => total + occupant.resources.cores, task.resources.cores);
        const crowded = serviceCores > SERVICE_SHARE * room.view.instance.shape.cores ? CROWDED_SERVICES_PRICE : 0;
        return after * after - 1 + first + crowded;
    }

    const cleanPricePerCore = priceCleanRoom(rooms, pending, costPerCore);
    return {
        throttleRise,
        costOf: (task, room) =>
            weights.tail * (task.kind === "service" ? costService(task, room) : costBatch(task, room)),
        refuse(task, room) {
            if (task.kind === "service" || task.priority <= placement.urgentPriority) {
                return undefined;
            }
            const since = options.evictedAt(task.taskId) ?? task.submittedAtMilliseconds;
            const waited = Math.max(0, now - Math.max(since, task.notBeforeMilliseconds));
            const limit = throttleRise * (1 + waited / placement.patienceMilliseconds);
            const exposure = exposureOf(task);
            const harmed = readNeighbourhood(room).services.find(service =>
                sumRise(service, room) + cautiousEffect(service, task.rule) * exposure > limit
            );
            return harmed === undefined ? undefined : "services on the worker would be slowed too much";
        },
        expectRise(service, room, shares) {
            const load = scaleByLoad(interference.load(service, room.name, now));
            return room.occupants
                .filter(occupant => occupant.kind === "batch")
                .reduce((rise, occupant) => {
                    const share = shares.get(occupant.taskId) ?? occupant.throttleShare;
                    return rise + provenEffect(service, occupant.rule) * exposureOf(occupant) * share * load;
                }, 0);
        },
        expectPart: (service, room, occupant) =>
            provenEffect(service, occupant.rule) * exposureOf(occupant)
            * scaleByLoad(interference.load(service, room.name, now)),
    };
}
