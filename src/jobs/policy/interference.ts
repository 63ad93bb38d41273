/**
 * How much fillers slow the tasks that serve beside them, learnt from the workers' figures.
 *
 * The load that this answers: some images that fill make some images that serve many times slower, others leave them alone,
 * and nobody says which beforehand. Tail latency grows as that of a queue, 1 / (1 - pressure), and the pressure as the share
 * of the worker that fillers of an image use. Per serving image the shares' weights are fitted by recursive least squares.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import { isServing } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";

/** Model of the pairs of images seen so far. Pressures run from 0 to 1; 1 is a queue that grows without end. */
export interface Interference {
    /** Takes in the latest figures of a worker. */
    observe(worker: string, load: Readonly<WorkerLoad>, capacityMillicores: number, now: number): void;
    /** Pressure that a tail latency shows on a serving image. */
    pressure(serving: string, tailMilliseconds: number): number;
    /** Pressure that a filler image adds to a serving image by using this share of its worker. */
    estimatePressure(serving: string, filler: string, share: number, now: number): number;
    /** Whether a filler may be put beside a serving image: the pair has been seen lately, or it is time to try it again. */
    mayTry(serving: string, filler: string, now: number): boolean;
    /** A filler has been put beside a serving image. */
    recordTrial(serving: string, filler: string, now: number): void;
    /** Pressure that a serving image is under by itself. */
    basePressure(serving: string): number;
}

/** Figures cover the last half second. */
const WINDOW_MILLISECONDS = 500;

/** A serving task's first figures are of its start. */
const WARM_UP_MILLISECONDS = 1_200;

/** Pressure by a whole worker of a filler of which nothing has been seen: one filler of a tenth may be tried. */
const DEFAULT_WEIGHT = 0.8;
const DEFAULT_WEIGHT_VARIANCE = 6;

/** Own pressure of a serving image before it was seen: a quarter of its objective's latency. */
const DEFAULT_BASE_PRESSURE = 0.25;
const DEFAULT_BASE_VARIANCE = 0.03;

/** Variance of a figure around the model: a serving task's own load swings by half. */
const MEASUREMENT_VARIANCE = 0.02;

/** Growth of a weight's variance with each figure: what disturbs whom changes within seconds. */
const DRIFT_VARIANCE = 0.002;

/** How far the fit follows a figure that is worse, or better, than expected. */
const RISE_GAIN = 1.4;
const FALL_GAIN = 0.6;

/** Share by which the lowest latency of a serving image is forgotten with each figure. */
const LOWEST_DRIFT = 0.002;

/** A weight that has not been seen for this long is half forgotten: what disturbs whom changes. */
const WEIGHT_HALF_LIFE_MILLISECONDS = 6_000;

/** A pair seen within this time need not be tried with care. */
const RECENT_PAIR_MILLISECONDS = 5_000;

/** Time between two trials of a pair: the first one has shown its effect by then. */
const TRIAL_MILLISECONDS = 900;

/** A filler that uses less of its worker shows nothing. */
const MINIMUM_OBSERVED_SHARE = 0.03;

/** Most that one figure moves a weight, so that a neighbour's harm is not believed at once. */
const LARGEST_WEIGHT_CHANGE = 1.2;

/** A latency far over any objective says no more than that the pressure is near 1. */
const HIGHEST_PRESSURE = 0.97;

/** Weights of one serving image: its own pressure first, then a weight for each filler image. */
interface Fit {
    lowestMilliseconds: number | undefined;
    readonly index: Map<string, number>;
    /** When each filler image was last seen at work beside this one. */
    readonly seenAt: Map<string, number>;
    readonly triedAt: Map<string, number>;
    weights: number[];
    covariance: number[][];
}

/** Creates a model that has seen nothing. */
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

/** Shares by image over the window that the figures cover: a filler that came or went within it counts in part. */
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
            // It went somewhere between the two reports.
            const ago = (now - (former?.atMilliseconds ?? now)) / 2;
            add(attempt, share * clamp(1 - ago / WINDOW_MILLISECONDS));
        }
    }
    return average;
}

/** One step of recursive least squares, with weights that drift. */
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
    // Harm comes and goes within seconds: what was seen once is believed longer than that it is over.
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
        // Only what was there can have changed; a weight that is not looked at keeps what is known of it.
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
