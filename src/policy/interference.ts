/**
 * Interference model: learns from usage reports how much a batch rule's task raises a service's tail latency.
 *
 * The model estimates two quantities, each with a mean and a variance: the logarithm of a service's baseline tail
 * latency (without batch neighbours) per load band, and, for each pair of service and batch rule, the rise that one
 * task of `REFERENCE_CORES` causes at full load. Each report updates the baseline and all neighbours together, as an
 * extended Kalman filter with a diagonal covariance, so that a rise is not attributed twice. Without reports, a pair's
 * mean and variance return to the prior, so that the estimate grows uncertain with time; a CUSUM test resets the
 * variance of a pair whose effect has changed.
 */
import type { AttemptUsage, WorkerReport } from "../platform/worker.js";
import { setBounded } from "./reports.js";

/** Cores of the reference task in which effects are expressed. */
export const REFERENCE_CORES = 4;

/** A mean with its standard deviation. */
export interface Estimate {
    readonly mean: number;
    readonly deviation: number;
}

/** Estimates of interference between batch rules and services. */
export interface InterferenceModel {
    observe(report: WorkerReport): void;
    /**
     * Returns the rise in the service's tail latency per reference task of the batch rule at full load; 0.5 is 50 %.
     */
    effect(service: string, batchRule: string, now: number): Estimate;
    /** Returns the service's load on a worker as a share of its peak, 0 to 1; 1 without recent reports. */
    load(service: string, worker: string, now: number): number;
    /** Returns the last reported rise over the baseline at that load; `undefined` without recent reports. */
    observedRise(service: string, worker: string, now: number): number | undefined;
}

/** Options of the interference model. */
export interface InterferenceOptions {
    /** Age above which an observation is ignored. */
    readonly longestAgeMilliseconds: number;
}

interface FilterState {
    mean: number;
    variance: number;
    /** CUSUM of innovations in each direction, in standard deviations. */
    cusumUp: number;
    cusumDown: number;
    updatedAtMilliseconds: number;
}

interface Observation {
    readonly load: number;
    readonly rise: number;
    readonly measuredAtMilliseconds: number;
}

interface ServiceState {
    peakRequestsPerSecond: number;
    /** Logarithm of the baseline tail latency, by load band. */
    readonly baseline: Map<number, FilterState>;
}

interface Neighbour {
    readonly state: FilterState;
    /** Reference tasks that act on the service, scaled by its load. */
    readonly exposure: number;
}

const PRIOR_EFFECT = 0.15;
const PRIOR_EFFECT_VARIANCE = 0.25;
const FIRST_BASELINE_VARIANCE = 0.25;
const ADJACENT_BAND_VARIANCE = 0.02;
const MIN_EFFECT_VARIANCE = 0.000_4;
const BASELINE_DRIFT_VARIANCE_PER_SECOND = 0.000_002;
/** Variance of the logarithm of a reported tail latency. */
const REPORT_VARIANCE = 0.02;
/** Limit of an innovation, in standard deviations, which bounds the effect of a wrong report. */
const MAX_INNOVATION_DEVIATIONS = 2.5;
/** Innovations below this, in standard deviations, count as noise. */
const CUSUM_SLACK_DEVIATIONS = 0.7;
/** CUSUM above which the effect counts as changed. */
const CUSUM_LIMIT_DEVIATIONS = 5;
const DRIFT_TIME_CONSTANT_MILLISECONDS = 7_200_000;
const LOAD_BANDS = 5;
/** Share of its full-load effect that a neighbour has on an idle service. */
const IDLE_EFFECT_SHARE = 0.4;
const MAX_TRACKED_PAIRS = 8_192;
const MAX_TRACKED_SERVICES = 1_024;
const MAX_TRACKED_OBSERVATIONS = 8_192;
/** Share by which the stored peak request rate decreases with each report. */
const PEAK_DECAY_PER_REPORT = 0.000_1;

/** Creates a model with the prior for all pairs. */
export function createInterferenceModel(options: InterferenceOptions): InterferenceModel {
    const pairs = new Map<string, FilterState>();
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
                const service = services.get(usage.rule) ?? { peakRequestsPerSecond: 0, baseline: new Map() };
                setBounded(services, usage.rule, service, MAX_TRACKED_SERVICES);
                const load = updateLoad(service, latency.requestsPerSecond);
                const neighbours = [...exposures.entries()].map(([rule, exposure]) => ({
                    state: getPair(pairs, usage.rule, rule, now),
                    exposure: exposure * scaleByLoad(load),
                }));
                const baseline = getBaseline(
                    service,
                    load,
                    Math.log(latency.tail) - Math.log(predictTailFactor(neighbours)),
                    now,
                );
                updateStates(baseline, neighbours, Math.log(latency.tail));
                const rise = latency.tail / Math.exp(baseline.mean) - 1;
                const observation = { load, rise, measuredAtMilliseconds: now };
                setBounded(observations, `${report.worker} ${usage.rule}`, observation, MAX_TRACKED_OBSERVATIONS);
            }
        },
        effect(service, batchRule, now) {
            const state = pairs.get(`${service} ${batchRule}`);
            const { mean, variance } = state === undefined ? createPrior(now) : driftToPrior(state, now);
            return { mean: Math.max(0, mean), deviation: Math.sqrt(variance) };
        },
        load: (service, worker, now) => readObservation(service, worker, now)?.load ?? 1,
        observedRise: (service, worker, now) => readObservation(service, worker, now)?.rise,
    };
}

/** Returns the share of its full-load effect that a neighbour has at a load between 0 and 1. */
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

function updateLoad(service: ServiceState, requestsPerSecond: number): number {
    service.peakRequestsPerSecond = Math.max(
        service.peakRequestsPerSecond * (1 - PEAK_DECAY_PER_REPORT),
        requestsPerSecond,
    );
    return requestsPerSecond / service.peakRequestsPerSecond;
}

function createPrior(now: number): FilterState {
    return {
        mean: PRIOR_EFFECT,
        variance: PRIOR_EFFECT_VARIANCE,
        cusumUp: 0,
        cusumDown: 0,
        updatedAtMilliseconds: now,
    };
}

function getPair(pairs: Map<string, FilterState>, service: string, batchRule: string, now: number): FilterState {
    const key = `${service} ${batchRule}`;
    const stored = pairs.get(key);
    const state = stored === undefined ? createPrior(now) : driftToPrior(stored, now);
    setBounded(pairs, key, state, MAX_TRACKED_PAIRS);
    return state;
}

/** Moves an estimate towards the prior according to the time since its last update. */
function driftToPrior(state: FilterState, now: number): FilterState {
    const elapsed = Math.max(0, now - state.updatedAtMilliseconds);
    const priorWeight = 1 - Math.exp(-elapsed / DRIFT_TIME_CONSTANT_MILLISECONDS);
    return {
        ...state,
        mean: state.mean + (PRIOR_EFFECT - state.mean) * priorWeight,
        variance: state.variance + (PRIOR_EFFECT_VARIANCE - state.variance) * priorWeight,
        updatedAtMilliseconds: Math.max(now, state.updatedAtMilliseconds),
    };
}

function getBaseline(service: ServiceState, load: number, initialMean: number, now: number): FilterState {
    const band = Math.min(LOAD_BANDS - 1, Math.floor(load * LOAD_BANDS));
    const stored = service.baseline.get(band);
    if (stored !== undefined) {
        const elapsedSeconds = Math.max(0, now - stored.updatedAtMilliseconds) / 1_000;
        stored.variance += elapsedSeconds * BASELINE_DRIFT_VARIANCE_PER_SECOND;
        stored.updatedAtMilliseconds = Math.max(now, stored.updatedAtMilliseconds);
        return stored;
    }
    const [nearest] = [...service.baseline.entries()].sort(([left], [right]) =>
        Math.abs(left - band) - Math.abs(right - band)
    );
    const state = nearest === undefined
        ? { ...createPrior(now), mean: initialMean, variance: FIRST_BASELINE_VARIANCE }
        : { ...createPrior(now), mean: nearest[1].mean, variance: nearest[1].variance + ADJACENT_BAND_VARIANCE };
    service.baseline.set(band, state);
    return state;
}

/** Predicts the factor by which neighbours raise the tail latency. */
function predictTailFactor(neighbours: readonly Neighbour[]): number {
    return neighbours.reduce((factor, { state, exposure }) => factor + Math.max(0, state.mean) * exposure, 1);
}

function updateStates(baseline: FilterState, neighbours: readonly Neighbour[], logTail: number): void {
    const factor = predictTailFactor(neighbours);
    const slopes = neighbours.map(neighbour => neighbour.exposure / factor);
    const variance = neighbours.reduce(
        (total, { state }, index) => total + state.variance * (slopes[index] ?? 0) ** 2,
        baseline.variance + REPORT_VARIANCE,
    );
    const deviation = Math.sqrt(variance);
    const innovation = (logTail - baseline.mean - Math.log(factor)) / deviation;
    const step = Math.max(-MAX_INNOVATION_DEVIATIONS, Math.min(MAX_INNOVATION_DEVIATIONS, innovation)) * deviation;
    applyCorrection(baseline, 1, step, variance);
    neighbours.forEach(({ state }, index) => {
        applyCorrection(state, slopes[index] ?? 0, step, variance);
        state.variance = Math.max(state.variance, MIN_EFFECT_VARIANCE);
        detectChange(state, step / deviation);
    });
}

function applyCorrection(state: FilterState, slope: number, step: number, variance: number): void {
    const gain = state.variance * slope / variance;
    state.mean += gain * step;
    state.variance *= 1 - gain * slope;
}

function detectChange(state: FilterState, innovation: number): void {
    state.cusumUp = Math.max(0, state.cusumUp + innovation - CUSUM_SLACK_DEVIATIONS);
    state.cusumDown = Math.max(0, state.cusumDown - innovation - CUSUM_SLACK_DEVIATIONS);
    if (Math.max(state.cusumUp, state.cusumDown) > CUSUM_LIMIT_DEVIATIONS) {
        state.variance = Math.max(state.variance, PRIOR_EFFECT_VARIANCE);
        state.cusumUp = 0;
        state.cusumDown = 0;
    }
}
