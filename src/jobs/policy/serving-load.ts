/**
 * Estimate of the load that users' requests put on the tasks of a serving step.
 *
 * Workload: the load of a serving step rises and falls by half within some seconds, alike for all tasks of the step, whatever
 * their workers. A Kalman filter follows its level and its rate of change.
 */

/** Estimated load of a serving step, on the scale of pressure, see `Interference`. */
export interface ServingLoad {
    level: number;
    /** Change of the level in a second. */
    slope: number;
    levelVariance: number;
    slopeVariance: number;
    covariance: number;
    atMilliseconds: number;
}

const INITIAL_LEVEL = 0.45;
const INITIAL_LEVEL_VARIANCE = 0.04;
const INITIAL_SLOPE_VARIANCE = 0.01;

/** Variance that the slope gains in a second: a swing of a quarter of the capacity in ten seconds. */
const SLOPE_VARIANCE_PER_SECOND = 0.006;

/** The slope is not extrapolated beyond this: by then the load may have turned. */
const LONGEST_EXTRAPOLATION_MILLISECONDS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Creates the estimate of a step without measurements. */
export function createServingLoad(now: number): ServingLoad {
    return {
        level: INITIAL_LEVEL,
        slope: 0,
        levelVariance: INITIAL_LEVEL_VARIANCE,
        slopeVariance: INITIAL_SLOPE_VARIANCE,
        covariance: 0,
        atMilliseconds: now,
    };
}

/** Extrapolates the load to a time. */
export function loadAt({ atMilliseconds, level, slope }: ServingLoad, at: number): number {
    const elapsed = Math.min(LONGEST_EXTRAPOLATION_MILLISECONDS, Math.max(0, at - atMilliseconds));
    return level + slope * elapsed / MILLISECONDS_PER_SECOND;
}

/** Moves the estimate to the present time, which makes it less certain. */
export function advanceLoad(load: ServingLoad, now: number): void {
    const seconds = (now - load.atMilliseconds) / MILLISECONDS_PER_SECOND;
    if (seconds <= 0) {
        return;
    }
    load.level = loadAt(load, now);
    load.levelVariance += 2 * seconds * load.covariance + seconds ** 2 * load.slopeVariance
        + SLOPE_VARIANCE_PER_SECOND * seconds ** 3 / 3;
    load.covariance += seconds * load.slopeVariance + SLOPE_VARIANCE_PER_SECOND * seconds ** 2 / 2;
    load.slopeVariance += SLOPE_VARIANCE_PER_SECOND * seconds;
    load.levelVariance = Math.min(load.levelVariance, INITIAL_LEVEL_VARIANCE);
    load.slopeVariance = Math.min(load.slopeVariance, INITIAL_SLOPE_VARIANCE);
    const largestCovariance = Math.sqrt(load.levelVariance * load.slopeVariance);
    load.covariance = Math.max(-largestCovariance, Math.min(largestCovariance, load.covariance));
    load.atMilliseconds = now;
}

/** Corrects the estimate by the error of a prediction whose variance, including the load's own, is given. */
export function correctLoad(load: ServingLoad, error: number, variance: number): void {
    const levelGain = load.levelVariance / variance;
    const slopeGain = load.covariance / variance;
    load.level += levelGain * error;
    load.slope += slopeGain * error;
    load.slopeVariance -= slopeGain * load.covariance;
    load.covariance -= levelGain * load.covariance;
    load.levelVariance -= levelGain * load.levelVariance;
}
