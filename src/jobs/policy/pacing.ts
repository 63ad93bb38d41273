/**
 * Pace of fillers beside serving tasks.
 *
 * Workload: the load of a serving task changes within seconds, so that fillers which did not affect it begin to. Fillers
 * slow down at once when a serving task nears its latency objective, and return to full pace in steps.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import type { WorkerLoad } from "../job-table/occupancy.js";
import { isServing } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";
import type { Interference } from "./interference.js";
import { shareOf } from "./interference.js";

/** A new pace of an attempt; at 0, an attempt that saves its progress is moved to another worker. */
export interface PaceChange {
    readonly attempt: Attempt;
    readonly percent: number;
}

/** Share of the latency objective that slowing down aims at, and up to which fillers are placed. */
const PLANNED_SHARE = 0.97;

/**
 * Rise of a serving task's load that is planned for. Single tasks have bursts of up to a quarter for half a second; planning
 * for all of them would leave most idle cores unused.
 */
const BURST_SHARE = 0.06;

/** Share of the latency objective that a serving task stays within without fillers, whatever its load. */
const HIGHEST_OWN_SHARE = 0.9;

/** Time until a change of pace shows: the next report arrives, and the worker applies the order. */
const REACTION_MILLISECONDS = 700;

/** How far ahead the load of serving tasks is considered before a filler is placed or sped up. */
const PLANNING_MILLISECONDS = 1_500;

/** Time between two increases of the same filler's pace. */
const RETURN_MILLISECONDS = 1_000;

/** Serving tasks over their objective for this long count as measured: a single report may exaggerate. */
const CONFIRMED_MILLISECONDS = 300;

/** Longest time of a serving task over its objective before all fillers beside it are stopped. */
const LONGEST_OVER_OBJECTIVE_MILLISECONDS = 1_300;

/** Below this pace a filler is stopped: its work would not justify its memory. */
const MINIMUM_PACE_PERCENT = 15;

/** A pace is not raised by less than this. */
const SMALLEST_RETURN_PERCENT = 10;

/** Pressure that does not affect a serving task. */
const NEGLIGIBLE_PRESSURE = 0.01;

/** Lowest weight of each filler while a serving task is over its objective, for pressure that no filler explains. */
const UNATTRIBUTED_WEIGHT = 0.3;

/** A filler without checkpoints that has done more than this waits on its worker until it may go on. */
const LARGEST_LOST_PERCENT = 50;

/** Share of a worker that a filler may use beside images with which it has not been seen yet. */
const TRIAL_SHARE = 0.04;

/** Weight that a filler is assumed to have at most at its trial. */
const TRIAL_WEIGHT = 4;

/** Deviations by which the weight of a filler may exceed its estimate before it is placed. */
const CAUTION_DEVIATIONS = 1;

/** Expected pressure on the tasks of one serving step on a worker. */
export interface ExpectedPressure {
    readonly progress: StepProgress;
    readonly pressure: number;
    /** Pressure that is planned for at most. */
    readonly planned: number;
    /** Pressure above which fillers are slowed down. */
    readonly danger: number;
}

/** Estimates the mean pressure on each serving step on a worker until a time, from its own load and the fillers there. */
export function expectPressures(
    load: Readonly<WorkerLoad>,
    capacityMillicores: number,
    model: Interference,
    until: number,
    now: number,
): ExpectedPressure[] {
    if (load.servingCount === 0) {
        return [];
    }
    const steps = new Set(
        load.attempts.filter(({ task }) => isServing(task.step)).map(({ task }) => stepProgressOf(task)),
    );
    const shares = new Map<string, number>();
    for (const attempt of load.attempts) {
        const { image, isFiller } = attempt.task.step;
        if (isFiller) {
            shares.set(image, (shares.get(image) ?? 0) + shareOf(attempt, capacityMillicores));
        }
    }
    return [...steps].map(progress => {
        const { step } = progress;
        const objective = step.latencyObjectiveMilliseconds;
        const ownLoad = model.estimateLoad(progress, (now + until) / 2);
        const highestOwnLoad = Math.max(ownLoad, model.pressure(step, objective * HIGHEST_OWN_SHARE));
        let pressure = Math.min(highestOwnLoad, ownLoad * (1 + BURST_SHARE));
        shares.forEach((share, image) => {
            pressure += model.estimateWeight(step.image, image, now).mean * share;
        });
        return {
            progress,
            pressure,
            planned: model.pressure(step, objective * PLANNED_SHARE),
            danger: model.pressure(step, objective),
        };
    });
}

/** Chooses the paces of fillers on one worker from its latest measurements. */
export function choosePaces(
    load: Readonly<WorkerLoad>,
    capacityMillicores: number,
    model: Interference,
    now: number,
): PaceChange[] {
    const fillers = load.attempts.filter(({ phase, task }) => task.step.isFiller && phase === "running");
    const serving = load.attempts.filter(({ task }) => isServing(task.step));
    const isLong = serving.some(({ overObjectiveSinceMilliseconds: since = now }) =>
        now - since >= LONGEST_OVER_OBJECTIVE_MILLISECONDS
    );
    if (isLong) {
        // Independent of the model: stopping the fillers is the last way to relieve the serving task.
        return fillers.filter(({ pacePercent }) => pacePercent > 0).map(attempt => ({ attempt, percent: 0 }));
    }
    if (fillers.length === 0) {
        return [];
    }
    const expected = expectPressures(load, capacityMillicores, model, now + REACTION_MILLISECONDS, now);
    const overObjective = new Set(
        serving.filter(({ overObjectiveSinceMilliseconds: since = now }) => now - since >= CONFIRMED_MILLISECONDS)
            .map(({ task }) => stepProgressOf(task)),
    );
    const inDanger = expected.filter(({ danger, pressure, progress }) =>
        pressure > danger || overObjective.has(progress)
    );
    return inDanger.length > 0
        ? slowDownFillers(fillers, inDanger, overObjective, capacityMillicores, model, now)
        : speedUpFillers(load, fillers, capacityMillicores, model, now);
}

/**
 * Chooses the pace at which a filler is started beside serving tasks; `undefined` if it does not fit there. Beside images with
 * which it has not been seen yet it starts slowly, so that its effect is measured before it can do harm.
 */
export function chooseStartingPace(
    image: string,
    share: number,
    expected: readonly ExpectedPressure[],
    model: Interference,
    now: number,
): number | undefined {
    const isKnown = ({ progress }: ExpectedPressure): boolean => model.isKnown(progress.step.image, image, now);
    const known = expected.filter(isKnown);
    const unknown = expected.filter(pressure => !isKnown(pressure));
    const percent = unknown.length === 0 ? 100 : Math.min(100, Math.ceil(100 * TRIAL_SHARE / share));
    const startingShare = share * percent / 100;
    const isSafeTrial = unknown.every(({ planned, pressure, progress }) =>
        pressure + startingShare * TRIAL_WEIGHT <= planned && model.mayTry(progress.step.image, image, now)
    );
    return isSafeTrial && isWithinObjectives(image, startingShare, known, model, now) ? percent : undefined;
}

/** Whether a stopped filler is moved to another worker; without a checkpoint, the work done so far is lost. */
export function isWorthMoving({ percent, task: { step } }: Attempt): boolean {
    return step.savesProgress || percent < LARGEST_LOST_PERCENT;
}

/** Whether the serving steps are expected to stay within their objectives beside an additional filler. */
function isWithinObjectives(
    image: string,
    share: number,
    expected: readonly ExpectedPressure[],
    model: Interference,
    now: number,
): boolean {
    return expected.every(({ planned, pressure, progress: { step } }) => {
        const { deviation, mean } = model.estimateWeight(step.image, image, now);
        const extra = (mean + CAUTION_DEVIATIONS * deviation) * share;
        return pressure + extra <= planned;
    });
}

/** Expected pressures on a worker over the time for which a placement is planned. */
export function planPressures(
    load: Readonly<WorkerLoad>,
    capacityMillicores: number,
    model: Interference,
    now: number,
): ExpectedPressure[] {
    return expectPressures(load, capacityMillicores, model, now + PLANNING_MILLISECONDS, now);
}

/** Whether no serving task on a worker is near its objective, and no filler on it is slowed down. */
export function hasHeadroom(load: Readonly<WorkerLoad>, expected: readonly ExpectedPressure[]): boolean {
    return expected.every(({ planned, pressure }) => pressure <= planned)
        && load.attempts.every(({ pacePercent }) => pacePercent === 100);
}

/** Slows down the fillers with the highest pressure on steps in danger, until the excess pressure is removed. */
function slowDownFillers(
    fillers: readonly Attempt[],
    inDanger: readonly ExpectedPressure[],
    overObjective: ReadonlySet<StepProgress>,
    capacityMillicores: number,
    model: Interference,
    now: number,
): PaceChange[] {
    const paces = new Map<Attempt, number>();
    for (const { danger, planned, pressure, progress } of inDanger) {
        const isOver = overObjective.has(progress);
        // Over the objective, fillers are slowed down even if the model expects no pressure from them.
        let excess = Math.max(pressure, isOver ? danger : 0) - planned;
        const contributions = fillers.filter(({ pacePercent }) => pacePercent > 0).map(attempt => {
            const { mean } = model.estimateWeight(progress.step.image, attempt.task.step.image, now);
            const percent = paces.get(attempt) ?? attempt.pacePercent;
            const before = shareOf(attempt, capacityMillicores) * Math.max(mean, isOver ? UNATTRIBUTED_WEIGHT : 0);
            const remaining = before * percent / attempt.pacePercent;
            // The filler may have been slowed down for another step already.
            excess -= before - remaining;
            return { attempt, percent, pressure: remaining };
        }).filter(({ pressure: contribution }) => contribution > NEGLIGIBLE_PRESSURE)
            .sort((left, right) => right.pressure - left.pressure);
        for (const { attempt, percent, pressure: contribution } of contributions) {
            if (excess <= 0) {
                break;
            }
            const slower = Math.floor(percent * Math.max(0, 1 - excess / contribution));
            paces.set(attempt, slower < MINIMUM_PACE_PERCENT ? 0 : slower);
            excess -= contribution;
        }
    }
    return [...paces].map(([attempt, percent]) => ({ attempt, percent }));
}

/** Speeds up the first filler that is expected to leave the serving tasks within their objectives. */
function speedUpFillers(
    load: Readonly<WorkerLoad>,
    fillers: readonly Attempt[],
    capacityMillicores: number,
    model: Interference,
    now: number,
): PaceChange[] {
    const slowed = fillers.filter(({ pacePercent, pacedAtMilliseconds }) =>
        pacePercent < 100 && now - pacedAtMilliseconds >= RETURN_MILLISECONDS
    );
    if (slowed.length === 0) {
        return [];
    }
    const expected = planPressures(load, capacityMillicores, model, now);
    for (const attempt of slowed) {
        const { image, size } = attempt.task.step;
        const share = size.millicores / capacityMillicores;
        for (let percent = 100; percent >= attempt.pacePercent + SMALLEST_RETURN_PERCENT; percent -= 15) {
            const extra = share * (percent - attempt.pacePercent) / 100;
            if (isWithinObjectives(image, extra, expected, model, now)) {
                return [{ attempt, percent }];
            }
        }
    }
    return [];
}
