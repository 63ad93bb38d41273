/**
 * Interference learned from usage reports: by how much a batch rule's task raises a service's tail latency.
 *
 * For each service the logarithm of its tail latency alone is kept per band of load, and for each pair of service and
 * batch rule the rise that one task of `REFERENCE_CORES` causes at full load, both as a mean with a variance. Each
 * report updates the estimates of the service and of all neighbours together (an extended Kalman filter with a
 * diagonal covariance), so that a neighbour whose effect is known explains its part away. Estimates drift back to the
 * prior and grow uncertain with time; a run of surprises makes a pair uncertain at once.
 */
import type { AttemptUsage, WorkerReport } from "../platform/worker.js";
import { remember } from "./reports.js";

/** Cores of the task that an effect is stated for. */
export const REFERENCE_CORES = 4;

/** A mean with its standard deviation. */
export interface Estimate {
    readonly mean: number;
    readonly deviation: number;
}

/** Interference as learned so far. */
export interface InterferenceModel {
    observe(report: WorkerReport): void;
    /** Rise of the service's tail by one task of `REFERENCE_CORES` of the batch rule at full load; 0.5 is 50 %. */
    effect(service: string, batchRule: string, now: number): Estimate;
    /** Load of the service's replicas on a worker relative to the most seen, 0 to 1; 1 without fresh reports. */
    load(service: string, worker: string, now: number): number;
    /** Rise of the tail over the service's tail alone at that load, as last reported; `undefined` without news. */
    observedRise(service: string, worker: string, now: number): number | undefined;
}

/** What the model is created from. */
export interface InterferenceOptions {
    /** Reports measured longer ago are no news. */
    readonly longestAgeMilliseconds: number;
}

interface Belief {
    mean: number;
    variance: number;
    /** Sum of surprises in one direction, in deviations, for the detection of changes. */
    surpriseUp: number;
    surpriseDown: number;
    updatedAtMilliseconds: number;
}

interface Observation {
    readonly load: number;
    readonly rise: number;
    readonly measuredAtMilliseconds: number;
}

interface ServiceState {
    peakRequestsPerSecond: number;
    /** Logarithm of the tail alone, by band of load. */
    readonly alone: Map<number, Belief>;
}

interface Neighbour {
    readonly belief: Belief;
    /** How much of the reference task acts on the service. */
    readonly exposure: number;
}

const PRIOR_EFFECT = 0.15;
const PRIOR_EFFECT_VARIANCE = 0.25;
const FIRST_ALONE_VARIANCE = 0.25;
const NEXT_BAND_VARIANCE = 0.02;
const SMALLEST_EFFECT_VARIANCE = 0.000_4;
const ALONE_DRIFT_VARIANCE_PER_SECOND = 0.000_002;
/** Variance of the logarithm of a reported tail. */
const REPORT_VARIANCE = 0.02;
/** Deviations to which a surprise is cut, so that a wrong report does little. */
const LARGEST_SURPRISE = 2.5;
/** Surprises below this, in deviations, are noise. */
const SURPRISE_SLACK = 0.7;
/** Sum of surprises that tells a change of the effect. */
const SURPRISE_LIMIT = 5;
const DRIFT_MILLISECONDS = 7_200_000;
const LOAD_BANDS = 5;
/** Share of its effect that a neighbour keeps on an idle service. */
const IDLE_EFFECT_SHARE = 0.4;
const REMEMBERED_PAIRS = 8_192;
const REMEMBERED_SERVICES = 1_024;
const REMEMBERED_OBSERVATIONS = 8_192;
/** Share by which the most requests seen are forgotten with each report. */
const PEAK_DECAY = 0.000_1;

/** Creates a model that knows the prior only. */
export function createInterferenceModel(options: InterferenceOptions): InterferenceModel {
    const pairs = new Map<string, Belief>();
    const services = new Map<string, ServiceState>();
    const observations = new Map<string, Observation>();

    function readObservation(service: string, worker: string, now: number): Observation | undefined {
        const observation = observations.get(`${worker} ${service}`);
        return observation === undefined || observation.measuredAtMilliseconds < now - options.longestAgeMilliseconds
            ? undefined
            : observation;
    }

    return {
        observe(report) {
            const now = report.measuredAtMilliseconds;
            const exposures = sumExposures(report.usages);
            for (const usage of report.usages) {
                const latency = readLatency(usage);
                if (latency === undefined) {
                    continue;
                }
                const service = services.get(usage.rule) ?? { peakRequestsPerSecond: 0, alone: new Map() };
                remember(services, usage.rule, service, REMEMBERED_SERVICES);
                const load = measureLoad(service, latency.requestsPerSecond);
                const neighbours = [...exposures.entries()].map(([rule, exposure]) => ({
                    belief: readPair(pairs, usage.rule, rule, now),
                    exposure: exposure * scaleByLoad(load),
                }));
                const alone = readAlone(service, load, Math.log(latency.tail) - Math.log(predict(neighbours)), now);
                update(alone, neighbours, Math.log(latency.tail));
                const rise = latency.tail / Math.exp(alone.mean) - 1;
                const observation = { load, rise, measuredAtMilliseconds: now };
                remember(observations, `${report.worker} ${usage.rule}`, observation, REMEMBERED_OBSERVATIONS);
            }
        },
        effect(service, batchRule, now) {
            const belief = pairs.get(`${service} ${batchRule}`);
            const { mean, variance } = belief === undefined ? createPrior(now) : drift(belief, now);
            return { mean: Math.max(0, mean), deviation: Math.sqrt(variance) };
        },
        load: (service, worker, now) => readObservation(service, worker, now)?.load ?? 1,
        observedRise: (service, worker, now) => readObservation(service, worker, now)?.rise,
    };
}

/** Gives the share of its effect at full load that a neighbour has at a load between 0 and 1. */
export function scaleByLoad(load: number): number {
    return IDLE_EFFECT_SHARE + (1 - IDLE_EFFECT_SHARE) * load;
}

function sumExposures(usages: readonly AttemptUsage[]): Map<string, number> {
    const exposures = new Map<string, number>();
    for (const { kind, rule, cores } of usages) {
        if (kind === "batch" && cores > 0) {
            exposures.set(rule, (exposures.get(rule) ?? 0) + cores / REFERENCE_CORES);
        }
    }
    return exposures;
}

function readLatency(usage: AttemptUsage): { tail: number; requestsPerSecond: number; } | undefined {
    const { kind, latencyTailMilliseconds: tail, requestsPerSecond } = usage;
    if (kind !== "service" || tail === undefined || requestsPerSecond === undefined) {
        return undefined;
    }
    return tail > 0 && requestsPerSecond > 0 && Number.isFinite(tail) ? { tail, requestsPerSecond } : undefined;
}

function measureLoad(service: ServiceState, requestsPerSecond: number): number {
    service.peakRequestsPerSecond = Math.max(service.peakRequestsPerSecond * (1 - PEAK_DECAY), requestsPerSecond);
    return requestsPerSecond / service.peakRequestsPerSecond;
}

function createPrior(now: number): Belief {
    return {
        mean: PRIOR_EFFECT,
        variance: PRIOR_EFFECT_VARIANCE,
        surpriseUp: 0,
        surpriseDown: 0,
        updatedAtMilliseconds: now,
    };
}

function readPair(pairs: Map<string, Belief>, service: string, batchRule: string, now: number): Belief {
    const key = `${service} ${batchRule}`;
    const known = pairs.get(key);
    const belief = known === undefined ? createPrior(now) : drift(known, now);
    remember(pairs, key, belief, REMEMBERED_PAIRS);
    return belief;
}

/** Lets an estimate that gets no news return to the prior. */
function drift(belief: Belief, now: number): Belief {
    const elapsed = Math.max(0, now - belief.updatedAtMilliseconds);
    const forgotten = 1 - Math.exp(-elapsed / DRIFT_MILLISECONDS);
    return {
        ...belief,
        mean: belief.mean + (PRIOR_EFFECT - belief.mean) * forgotten,
        variance: belief.variance + (PRIOR_EFFECT_VARIANCE - belief.variance) * forgotten,
        updatedAtMilliseconds: Math.max(now, belief.updatedAtMilliseconds),
    };
}

function readAlone(service: ServiceState, load: number, firstGuess: number, now: number): Belief {
    const band = Math.min(LOAD_BANDS - 1, Math.floor(load * LOAD_BANDS));
    const known = service.alone.get(band);
    if (known !== undefined) {
        const elapsedSeconds = Math.max(0, now - known.updatedAtMilliseconds) / 1_000;
        known.variance += elapsedSeconds * ALONE_DRIFT_VARIANCE_PER_SECOND;
        known.updatedAtMilliseconds = Math.max(now, known.updatedAtMilliseconds);
        return known;
    }
    const [nearest] = [...service.alone.entries()].sort(([left], [right]) =>
        Math.abs(left - band) - Math.abs(right - band)
    );
    const belief = nearest === undefined
        ? { ...createPrior(now), mean: firstGuess, variance: FIRST_ALONE_VARIANCE }
        : { ...createPrior(now), mean: nearest[1].mean, variance: nearest[1].variance + NEXT_BAND_VARIANCE };
    service.alone.set(band, belief);
    return belief;
}

/** Predicts the factor by which neighbours raise the tail. */
function predict(neighbours: readonly Neighbour[]): number {
    return neighbours.reduce((factor, { belief, exposure }) => factor + Math.max(0, belief.mean) * exposure, 1);
}

function update(alone: Belief, neighbours: readonly Neighbour[], logTail: number): void {
    const factor = predict(neighbours);
    const slopes = neighbours.map(neighbour => neighbour.exposure / factor);
    const variance = neighbours.reduce(
        (total, { belief }, index) => total + belief.variance * (slopes[index] ?? 0) ** 2,
        alone.variance + REPORT_VARIANCE,
    );
    const deviation = Math.sqrt(variance);
    const surprise = (logTail - alone.mean - Math.log(factor)) / deviation;
    const step = Math.max(-LARGEST_SURPRISE, Math.min(LARGEST_SURPRISE, surprise)) * deviation;
    correct(alone, 1, step, variance);
    neighbours.forEach(({ belief }, index) => {
        correct(belief, slopes[index] ?? 0, step, variance);
        belief.variance = Math.max(belief.variance, SMALLEST_EFFECT_VARIANCE);
        watchForChange(belief, step / deviation);
    });
}

function correct(belief: Belief, slope: number, step: number, variance: number): void {
    const gain = belief.variance * slope / variance;
    belief.mean += gain * step;
    belief.variance *= 1 - gain * slope;
}

function watchForChange(belief: Belief, surprise: number): void {
    belief.surpriseUp = Math.max(0, belief.surpriseUp + surprise - SURPRISE_SLACK);
    belief.surpriseDown = Math.max(0, belief.surpriseDown - surprise - SURPRISE_SLACK);
    if (Math.max(belief.surpriseUp, belief.surpriseDown) > SURPRISE_LIMIT) {
        belief.variance = Math.max(belief.variance, PRIOR_EFFECT_VARIANCE);
        belief.surpriseUp = 0;
        belief.surpriseDown = 0;
    }
}
