/**
 * Model of how much fillers slow down serving tasks on the same worker, fitted to the workers' measurements.
 *
 * Workload: some filler images make some serving images many times slower, others have no effect, and callers don't declare
 * which. Tail latency grows like that of a queue, 1 / (1 - pressure). Pressure is the sum of the load of the serving step
 * itself, which all its tasks share and which changes within seconds, and of a weight for each pair of images times the
 * share of the worker that fillers of the image use. Loads and weights are fitted together: a load is learnt from all
 * workers of its step, so that the effect of a filler on one of them stands out after one or two measurements.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import type { WorkerLoad } from "../job-table/occupancy.js";
import { isServing } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";
import type { JobStep } from "../model/job.js";
import { advanceLoad, correctLoad, createServingLoad, loadAt } from "./serving-load.js";
import type { ServingLoad } from "./serving-load.js";

/** Weight of a pair of images: the pressure that a filler adds if it uses the whole worker. */
export interface Weight {
    readonly mean: number;
    readonly deviation: number;
}

/** Model of the observed pairs of images. Pressure ranges up to 1, where 1 is a queue that grows without limit. */
export interface Interference {
    /** Updates the model with the latest measurements of a worker. */
    observe(worker: string, load: Readonly<WorkerLoad>, capacityMillicores: number, now: number): void;
    /** Converts a tail latency of a serving step to pressure. */
    pressure(serving: JobStep, tailMilliseconds: number): number;
    /** Estimates the pressure that a serving step's own load causes at a time. */
    estimateLoad(serving: StepProgress, at: number): number;
    /** Estimates the weight of a filler image beside a serving image. */
    estimateWeight(servingImage: string, fillerImage: string, now: number): Weight;
    /** Whether the weight of a filler image beside a serving image has been measured well enough. */
    isKnown(servingImage: string, fillerImage: string, now: number): boolean;
    /** Whether another trial of an unknown pair is due. */
    mayTry(servingImage: string, fillerImage: string, now: number): boolean;
    /** Records that a filler was placed beside a serving image. */
    recordTrial(servingImage: string, fillerImage: string, now: number): void;
}

/** Time that a measurement covers. */
const WINDOW_MILLISECONDS = 500;

/** Measurements of a serving task are ignored for this time after its start, because they reflect the start-up. */
const WARM_UP_MILLISECONDS = 1_200;

/** Weight of an unobserved pair: most have next to no effect, some reach several times this. */
const DEFAULT_WEIGHT = 0.6;
const DEFAULT_WEIGHT_DEVIATION = 1.2;
const UNOBSERVED_WEIGHT: Weight = { mean: DEFAULT_WEIGHT, deviation: DEFAULT_WEIGHT_DEVIATION };

/** Deviation that a weight gains in ten seconds without an observation, and the part that grows with the weight. */
const WEIGHT_DRIFT = 0.15;
const RELATIVE_WEIGHT_DRIFT = 0.5;
const WEIGHT_DRIFT_MILLISECONDS = 10_000;

/** A weight with a smaller deviation is known well enough for any number of fillers at the same time. */
const KNOWN_WEIGHT_DEVIATION = 0.5;

/** Time between two trials of a pair, after which the effect of the first one has been measured. */
const TRIAL_MILLISECONDS = 900;

/** Deviation of a measurement from the model, besides its rounding. */
const MEASUREMENT_DEVIATION = 0.03;

/** Measurements are whole milliseconds; the variance of the rounding error. */
const ROUNDING_VARIANCE = 1 / 12;

/** Single tasks report a tail above that of the others of their step now and then; such measurements are left out. */
const OUTLIER_PRESSURE = 0.06;

/** A measurement further from its prediction than this many deviations is given less weight. */
const OUTLIER_DEVIATIONS = 3;

/** Assumed latency of a serving image without load, as a share of its objective; only the scale depends on it. */
const UNLOADED_SHARE = 0.2;

/** Tails are reported in whole milliseconds, so that a tail below this appears as 0. */
const SMALLEST_TAIL_MILLISECONDS = 0.5;

/** Latencies far above any objective are not distinguished: from this pressure on, the true one may be higher. */
const SATURATED_PRESSURE = 0.9;
const HIGHEST_PRESSURE = 0.97;

/**
 * Filler images remembered beside each serving image, serving images, and pairs of them with a trial. What was used longest ago is forgotten
 * first, as callers may name any number of images.
 */
const MAXIMUM_FILLER_IMAGES = 150;
const MAXIMUM_SERVING_IMAGES = 300;
const MAXIMUM_TRIALS = 10_000;

/** Weights of the filler images beside one serving image, with their covariance. */
interface Fit {
    /** Tail latency, in milliseconds, at which pressure is 0. */
    readonly unloadedMilliseconds: number;
    readonly index: Map<string, number>;
    readonly weights: number[];
    readonly covariance: number[][];
    /** When each weight was last observed, in milliseconds. */
    readonly observedAt: number[];
}

/** Use of a worker by one filler, now and at the start of the window. */
interface FillerUse {
    readonly image: string;
    readonly share: number;
    readonly formerShare: number;
    /** When the share last changed: at the filler's start, end, or change of pace. */
    readonly changedAtMilliseconds: number;
}

/** Mean pressure of the tasks of one serving step on a worker. */
interface StepMeasurement {
    readonly progress: StepProgress;
    readonly pressure: number;
    readonly variance: number;
}

/** Creates an empty model. */
export function createInterference(): Interference {
    const fits = new Map<string, Fit>();
    const loads = new WeakMap<StepProgress, ServingLoad>();
    const triedAt = new Map<string, number>();
    const fillersByWorker = new Map<string, ReadonlyMap<Attempt, FillerUse>>();

    const fitOf = ({ image, latencyObjectiveMilliseconds }: JobStep): Fit => {
        const found = fits.get(image);
        if (found !== undefined) {
            return found;
        }
        limitSize(fits, MAXIMUM_SERVING_IMAGES - 1);
        const fit: Fit = {
            unloadedMilliseconds: latencyObjectiveMilliseconds * UNLOADED_SHARE,
            index: new Map(),
            weights: [],
            covariance: [],
            observedAt: [],
        };
        fits.set(image, fit);
        return fit;
    };

    const loadOf = (progress: StepProgress, now: number): ServingLoad => {
        const load = loads.get(progress) ?? createServingLoad(now);
        loads.set(progress, load);
        return load;
    };

    const pressureOf = (step: JobStep, tailMilliseconds: number): number =>
        Math.min(
            HIGHEST_PRESSURE,
            1 - fitOf(step).unloadedMilliseconds / Math.max(tailMilliseconds, SMALLEST_TAIL_MILLISECONDS),
        );

    const estimateWeight = (servingImage: string, fillerImage: string, now: number): Weight => {
        const fit = fits.get(servingImage);
        const index = fit?.index.get(fillerImage);
        if (fit === undefined || index === undefined) {
            return UNOBSERVED_WEIGHT;
        }
        const variance = driftedVariance(fit, index, now);
        return { mean: Math.max(0, fit.weights[index] ?? 0), deviation: Math.sqrt(variance) };
    };

    return {
        observe(worker, load, capacityMillicores, now) {
            const fillers = updateFillers(fillersByWorker.get(worker), load, capacityMillicores, now);
            fillersByWorker.set(worker, fillers);
            const shares = averageShares(fillers.values(), now);
            for (const measurement of measureSteps(load, fitOf, pressureOf, now)) {
                const { progress } = measurement;
                update(fitOf(progress.step), loadOf(progress, now), shares, measurement, now);
            }
        },
        pressure: pressureOf,
        estimateLoad: (serving, at) => loadAt(loadOf(serving, at), at),
        estimateWeight,
        isKnown: (servingImage, fillerImage, now) =>
            estimateWeight(servingImage, fillerImage, now).deviation < KNOWN_WEIGHT_DEVIATION,
        mayTry: (servingImage, fillerImage, now) =>
            now - (triedAt.get(nameOfPair(servingImage, fillerImage)) ?? 0) > TRIAL_MILLISECONDS,
        recordTrial(servingImage, fillerImage, now) {
            const pair = nameOfPair(servingImage, fillerImage);
            triedAt.delete(pair);
            triedAt.set(pair, now);
            limitSize(triedAt, MAXIMUM_TRIALS);
        },
    };
}

/** Deletes the entries that were added first, until the map has no more than the limit. */
function limitSize(map: Map<string, unknown>, limit: number): void {
    for (const key of map.keys()) {
        if (map.size <= limit) {
            return;
        }
        map.delete(key);
    }
}

/** Forgets the filler image that was observed longest ago. */
function forgetOldestWeight({ covariance, index, observedAt, weights }: Fit): void {
    const oldest = observedAt.indexOf(Math.min(...observedAt));
    for (const [image, place] of index) {
        if (place === oldest) {
            index.delete(image);
        }
        else if (place > oldest) {
            index.set(image, place - 1);
        }
    }
    [observedAt, weights, covariance, ...covariance].forEach(list => list.splice(oldest, 1));
}

function nameOfPair(servingImage: string, fillerImage: string): string {
    return `${servingImage} ${fillerImage}`;
}

/** Share of the worker that a filler may use at its present pace. */
export function shareOf({ pacePercent, task: { step } }: Attempt, capacityMillicores: number): number {
    return step.isFiller ? step.size.millicores * pacePercent / 100 / capacityMillicores : 0;
}

/** Share of the worker that a filler used at its latest report. */
function usedShareOf(attempt: Attempt, capacityMillicores: number): number {
    const share = shareOf(attempt, capacityMillicores);
    return attempt.measurement > 0 ? Math.min(share, attempt.measurement / capacityMillicores) : share;
}

/** Lists the fillers of the latest report, and those that have left the worker within the window of the measurements. */
function updateFillers(
    former: ReadonlyMap<Attempt, FillerUse> | undefined,
    load: Readonly<WorkerLoad>,
    capacityMillicores: number,
    now: number,
): Map<Attempt, FillerUse> {
    const fillers = new Map<Attempt, FillerUse>();
    for (const attempt of load.attempts) {
        const { pacedAtMilliseconds, phase, runningSinceMilliseconds = now, task } = attempt;
        if (!task.step.isFiller || phase === "ordered") {
            continue;
        }
        const previous = former?.get(attempt);
        const changedAtMilliseconds = Math.max(runningSinceMilliseconds, pacedAtMilliseconds);
        fillers.set(attempt, {
            image: task.step.image,
            share: usedShareOf(attempt, capacityMillicores),
            formerShare: previous === undefined
                ? 0
                : previous.changedAtMilliseconds < changedAtMilliseconds
                ? previous.share
                : previous.formerShare,
            changedAtMilliseconds,
        });
    }
    for (const [attempt, use] of former ?? []) {
        if (fillers.has(attempt) || now - use.changedAtMilliseconds >= WINDOW_MILLISECONDS && use.share === 0) {
            continue;
        }
        // A worker reports an end at once, so that a filler which has left did so shortly before this report.
        fillers.set(
            attempt,
            use.share === 0 ? use : { ...use, share: 0, formerShare: use.share, changedAtMilliseconds: now },
        );
    }
    return fillers;
}

/** Mean shares by image over the window of the measurements. */
function averageShares(fillers: Iterable<FillerUse>, now: number): Map<string, number> {
    const average = new Map<string, number>();
    for (const { changedAtMilliseconds, formerShare, image, share } of fillers) {
        const part = Math.min(1, (now - changedAtMilliseconds) / WINDOW_MILLISECONDS);
        const mean = share * part + formerShare * (1 - part);
        if (mean > 0) {
            average.set(image, (average.get(image) ?? 0) + mean);
        }
    }
    return average;
}

/** Mean pressures of the serving steps on a worker, without the tasks that report far more than others of their step. */
function measureSteps(
    load: Readonly<WorkerLoad>,
    fitOf: (step: JobStep) => Fit,
    pressureOf: (step: JobStep, tailMilliseconds: number) => number,
    now: number,
): StepMeasurement[] {
    const attemptsByStep = new Map<StepProgress, Attempt[]>();
    for (const attempt of load.attempts) {
        const { measurement, runningSinceMilliseconds = now, task } = attempt;
        if (isServing(task.step) && measurement > 0 && now - runningSinceMilliseconds >= WARM_UP_MILLISECONDS) {
            const step = stepProgressOf(task);
            attemptsByStep.set(step, [...attemptsByStep.get(step) ?? [], attempt]);
        }
    }
    return [...attemptsByStep].map(([progress, attempts]) => {
        const { step } = progress;
        const tails = attempts.map(({ measurement }) => measurement);
        const pressures = tails.map(tail => pressureOf(step, tail));
        const lowest = Math.min(...pressures);
        const kept = pressures.filter(pressure => pressure <= lowest + OUTLIER_PRESSURE);
        const rounding = (fitOf(step).unloadedMilliseconds / Math.min(...tails) ** 2) ** 2 * ROUNDING_VARIANCE;
        return {
            progress,
            pressure: kept.reduce((sum, pressure) => sum + pressure, 0) / kept.length,
            variance: MEASUREMENT_DEVIATION ** 2 + rounding / kept.length,
        };
    });
}

/** Corrects the load of a serving step and the weights of the fillers beside it, each by how uncertain it is. */
function update(
    fit: Fit,
    load: ServingLoad,
    shares: ReadonlyMap<string, number>,
    { pressure, variance }: StepMeasurement,
    now: number,
): void {
    advanceLoad(load, now);
    while (fit.weights.length > 0 && fit.weights.length + shares.size > MAXIMUM_FILLER_IMAGES) {
        forgetOldestWeight(fit);
    }
    const inputs = [...shares].map(([image, share]) => ({ index: prepareWeight(fit, image, now), share }));
    const { covariance, weights } = fit;
    const spread = covariance.map(row => inputs.reduce((sum, { index, share }) => sum + (row[index] ?? 0) * share, 0));
    const expected = inputs.reduce((sum, { index, share }) => sum + (weights[index] ?? 0) * share, load.level);
    const weightVariance = inputs.reduce((sum, { index, share }) => sum + (spread[index] ?? 0) * share, 0);
    const totalVariance = load.levelVariance + weightVariance + variance;
    const error = pressure - expected;
    if (pressure >= SATURATED_PRESSURE && error < 0) {
        return;
    }
    const excess = Math.max(1, Math.abs(error) / (OUTLIER_DEVIATIONS * Math.sqrt(totalVariance)));
    const usedVariance = totalVariance * excess;
    correctLoad(load, error, usedVariance);
    if (inputs.length === 0) {
        return;
    }
    for (let row = 0; row < spread.length; row++) {
        const gain = (spread[row] ?? 0) / usedVariance;
        if (gain === 0) {
            continue;
        }
        weights[row] = (weights[row] ?? 0) + gain * error;
        const covarianceRow = covariance[row] ?? [];
        for (let column = 0; column < spread.length; column++) {
            covarianceRow[column] = (covarianceRow[column] ?? 0) - gain * (spread[column] ?? 0);
        }
    }
}

/** Returns the index of a filler image's weight, after its variance has grown by the time since its last observation. */
function prepareWeight(fit: Fit, image: string, now: number): number {
    const { covariance, index, observedAt, weights } = fit;
    const found = index.get(image);
    if (found !== undefined) {
        const row = covariance[found] ?? [];
        row[found] = driftedVariance(fit, found, now);
        observedAt[found] = now;
        return found;
    }
    const added = weights.length;
    index.set(image, added);
    weights.push(DEFAULT_WEIGHT);
    observedAt.push(now);
    covariance.forEach(row => row.push(0));
    covariance.push([...new Array<number>(added).fill(0), DEFAULT_WEIGHT_DEVIATION ** 2]);
    return added;
}

/** Variance of a weight, which grows while it is not observed. */
function driftedVariance({ covariance, observedAt, weights }: Fit, index: number, now: number): number {
    const periods = (now - (observedAt[index] ?? now)) / WEIGHT_DRIFT_MILLISECONDS;
    const drift = WEIGHT_DRIFT ** 2 + (RELATIVE_WEIGHT_DRIFT * (weights[index] ?? 0)) ** 2;
    return Math.min(DEFAULT_WEIGHT_DEVIATION ** 2, (covariance[index]?.[index] ?? 0) + drift * periods);
}
