/**
 * Model of how much fillers slow down serving tasks on the same worker, fitted to the workers' measurements.
 *
 * Workload: some filler images make some serving images many times slower, others have no effect, and callers don't declare
 * which. Tail latency grows like that of a queue, 1 / (1 - pressure), and pressure grows with the share of the worker that
 * fillers of an image use. For each serving image, the weights of these shares are fitted by recursive least squares.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import { isServing } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";

/** Model of the observed pairs of images. Pressure ranges from 0 to 1, where 1 is a queue that grows without limit. */
export interface Interference {
    /** Updates the model with the latest measurements of a worker. */
    observe(worker: string, load: Readonly<WorkerLoad>, capacityMillicores: number, now: number): void;
    /** Converts a tail latency of a serving image to pressure. */
    pressure(serving: string, tailMilliseconds: number): number;
    /** Estimates the pressure that a filler image adds to a serving image by using this share of its worker. */
    estimatePressure(serving: string, filler: string, share: number, now: number): number;
    /** Whether a filler may be placed beside a serving image: the pair was observed recently, or another trial is due. */
    mayTry(serving: string, filler: string, now: number): boolean;
    /** Records that a filler was placed beside a serving image. */
    recordTrial(serving: string, filler: string, now: number): void;
    /** Pressure of a serving image without fillers. */
    basePressure(serving: string): number;
}

/** Time that a measurement covers. */
const WINDOW_MILLISECONDS = 500;

/** Measurements of a serving task are ignored for this time after its start, because they reflect the start-up. */
const WARM_UP_MILLISECONDS = 1_200;

/** Weight of an unobserved filler image: allows the trial of one filler with a tenth of the worker. */
const DEFAULT_WEIGHT = 0.8;
const DEFAULT_WEIGHT_VARIANCE = 6;

/** Base pressure of an unobserved serving image: a quarter of its latency objective. */
const DEFAULT_BASE_PRESSURE = 0.25;
const DEFAULT_BASE_VARIANCE = 0.03;

/** Variance of a measurement around the model: the load of a serving task varies by half. */
const MEASUREMENT_VARIANCE = 0.02;

/** Growth of a weight's variance with each measurement: interference changes within seconds. */
const DRIFT_VARIANCE = 0.002;

/** Gain for a measurement with a higher, or lower, pressure than expected. */
const RISE_GAIN = 1.4;
const FALL_GAIN = 0.6;

/** Share by which the lowest latency of a serving image rises with each measurement. */
const LOWEST_DRIFT = 0.002;

/** Half-life of an unobserved weight, which decays to the default because interference changes. */
const WEIGHT_HALF_LIFE_MILLISECONDS = 6_000;

/** A pair observed within this time needs no trial. */
const RECENT_PAIR_MILLISECONDS = 5_000;

/** Time between two trials of a pair, after which the effect of the first one is visible. */
const TRIAL_MILLISECONDS = 900;

/** A filler that uses a smaller share of its worker has no visible effect. */
const MINIMUM_OBSERVED_SHARE = 0.03;

/** Limits the change of a weight by one measurement, because another task may be the cause. */
const LARGEST_WEIGHT_CHANGE = 1.2;

/** Upper limit of pressure; latencies far above any objective are not distinguished. */
const HIGHEST_PRESSURE = 0.97;

/** Fit of one serving image: the base pressure first, then a weight for each filler image. */
interface Fit {
    lowestMilliseconds: number | undefined;
    readonly index: Map<string, number>;
    /** When each filler image was last observed beside this one. */
    readonly seenAt: Map<string, number>;
    readonly triedAt: Map<string, number>;
    weights: number[];
    covariance: number[][];
}

/** Creates an empty model. */
export function createInterference(): Interference {
    const fits = new Map<string, Fit>();
    const lastObservations = new Map<
        string,
        { readonly atMilliseconds: number; readonly shares: Map<Attempt, number>; }
    >();

    const fitOf = (serving: string): Fit => {
        const found = fits.get(serving);
        if (found !== undefined) {
            return found;
        }
        const fit: Fit = {
            lowestMilliseconds: undefined,
            index: new Map(),
            seenAt: new Map(),
            triedAt: new Map(),
            weights: [DEFAULT_BASE_PRESSURE],
            covariance: [[DEFAULT_BASE_VARIANCE]],
        };
        fits.set(serving, fit);
        return fit;
    };

    const pressureOf = (serving: string, tailMilliseconds: number): number => {
        const lowest = fits.get(serving)?.lowestMilliseconds ?? tailMilliseconds;
        return Math.min(HIGHEST_PRESSURE, Math.max(0, 1 - lowest / Math.max(tailMilliseconds, lowest)));
    };

    return {
        observe(worker, load, capacityMillicores, now) {
            const former = lastObservations.get(worker);
            const current = currentShares(load, capacityMillicores);
            lastObservations.set(worker, { atMilliseconds: now, shares: current });
            const shares = averageShares(former, current, now);
            const pressures = new Map<string, { sum: number; count: number; }>();
            for (const { measurement: measure, runningSinceMilliseconds = now, task: { step } } of load.attempts) {
                if (!isServing(step) || measure <= 0 || now - runningSinceMilliseconds < WARM_UP_MILLISECONDS) {
                    continue;
                }
                const fit = fitOf(step.image);
                const lowest = fit.lowestMilliseconds ?? measure;
                fit.lowestMilliseconds = Math.min(measure, lowest * (1 + LOWEST_DRIFT));
                const total = pressures.get(step.image) ?? { sum: 0, count: 0 };
                pressures.set(step.image, total);
                total.sum += pressureOf(step.image, measure);
                total.count += 1;
            }
            pressures.forEach(({ count, sum }, image) => update(fitOf(image), shares, sum / count, now));
        },
        pressure: pressureOf,
        estimatePressure(serving, filler, share, now) {
            const fit = fits.get(serving);
            const weightIndex = fit?.index.get(filler);
            const weight = weightIndex === undefined
                ? DEFAULT_WEIGHT
                : Math.max(0, fit?.weights[weightIndex] ?? DEFAULT_WEIGHT);
            const unseenMilliseconds = now - (fit?.seenAt.get(filler) ?? 0);
            return share
                * (DEFAULT_WEIGHT
                    + (weight - DEFAULT_WEIGHT) * 0.5 ** (unseenMilliseconds / WEIGHT_HALF_LIFE_MILLISECONDS));
        },
        mayTry(serving, filler, now) {
            const fit = fits.get(serving);
            return now - (fit?.seenAt.get(filler) ?? 0) < RECENT_PAIR_MILLISECONDS
                || now - (fit?.triedAt.get(filler) ?? 0) > TRIAL_MILLISECONDS;
        },
        recordTrial: (serving, filler, now) => void fitOf(serving).triedAt.set(filler, now),
        basePressure: serving => Math.max(0, fits.get(serving)?.weights[0] ?? DEFAULT_BASE_PRESSURE),
    };
}

/** Share of the worker that a filler uses. */
export function shareOf({ pacePercent, task: { step } }: Attempt, capacityMillicores: number): number {
    return step.isFiller ? step.size.millicores * pacePercent / 100 / capacityMillicores : 0;
}

function currentShares(load: Readonly<WorkerLoad>, capacityMillicores: number): Map<Attempt, number> {
    return new Map(
        load.attempts.filter(({ phase, task }) => task.step.isFiller && phase !== "ordered")
            .map(attempt => [attempt, shareOf(attempt, capacityMillicores)]),
    );
}

/** Mean shares by image over the window of the measurements; a filler that started or ended within it counts in part. */
function averageShares(
    former: { readonly atMilliseconds: number; readonly shares: ReadonlyMap<Attempt, number>; } | undefined,
    current: ReadonlyMap<Attempt, number>,
    now: number,
): Map<string, number> {
    const average = new Map<string, number>();
    const add = (attempt: Attempt, share: number): void => {
        const { image } = attempt.task.step;
        average.set(image, (average.get(image) ?? 0) + share);
    };
    for (const [attempt, share] of current) {
        const since = Math.max(attempt.runningSinceMilliseconds ?? now, attempt.pacedAtMilliseconds);
        const part = clamp((now - since) / WINDOW_MILLISECONDS);
        add(attempt, share * part + (former?.shares.get(attempt) ?? 0) * (1 - part));
    }
    for (const [attempt, share] of former?.shares ?? []) {
        if (!current.has(attempt)) {
            // The filler ended between the two reports; the middle is assumed.
            const ago = (now - (former?.atMilliseconds ?? now)) / 2;
            add(attempt, share * clamp(1 - ago / WINDOW_MILLISECONDS));
        }
    }
    return average;
}

/** Performs one step of recursive least squares with drifting weights. */
function update(fit: Fit, shares: ReadonlyMap<string, number>, pressure: number, now: number): void {
    for (const [image, share] of shares) {
        addWeight(fit, image);
        if (share >= MINIMUM_OBSERVED_SHARE) {
            fit.seenAt.set(image, now);
        }
    }
    const { covariance, index, weights } = fit;
    const size = weights.length;
    const inputs = new Array<number>(size).fill(0);
    inputs[0] = 1;
    shares.forEach((share, image) => {
        inputs[index.get(image) ?? 0] = share;
    });
    const spread = covariance.map(row => dot(row, inputs));
    const variance = MEASUREMENT_VARIANCE + dot(inputs, spread);
    const error = pressure - dot(weights, inputs);
    // Interference comes and goes within seconds: an increase is followed faster than a decrease.
    const gainFactor = error > 0 ? RISE_GAIN : FALL_GAIN;
    for (let row = 0; row < size; row++) {
        const gain = (spread[row] ?? 0) / variance;
        const weightChange = Math.min(
            LARGEST_WEIGHT_CHANGE,
            Math.max(-LARGEST_WEIGHT_CHANGE, gain * error * gainFactor),
        );
        weights[row] = (weights[row] ?? 0) + weightChange;
        const covarianceRow = covariance[row] ?? [];
        for (let column = 0; column < size; column++) {
            covarianceRow[column] = (covarianceRow[column] ?? 0) - gain * (spread[column] ?? 0);
        }
        // Only the weights of images with a share were observed; the variance of the others stays.
        if ((inputs[row] ?? 0) !== 0 && row > 0) {
            covarianceRow[row] = (covarianceRow[row] ?? 0) + DRIFT_VARIANCE;
        }
    }
}

function addWeight(fit: Fit, image: string): void {
    if (fit.index.has(image)) {
        return;
    }
    fit.index.set(image, fit.weights.length);
    fit.weights.push(DEFAULT_WEIGHT);
    fit.covariance.forEach(row => row.push(0));
    fit.covariance.push([...new Array<number>(fit.weights.length - 1).fill(0), DEFAULT_WEIGHT_VARIANCE]);
}

function dot(left: readonly number[], right: readonly number[]): number {
    let sum = 0;
    for (let index = 0; index < left.length; index++) {
        sum += (left[index] ?? 0) * (right[index] ?? 0);
    }
    return sum;
}

function clamp(value: number): number {
    return Math.min(1, Math.max(0, value));
}
