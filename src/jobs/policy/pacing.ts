/**
 * Pace of fillers beside serving tasks.
 *
 * Workload: the load of a serving task changes within seconds, so that fillers which did not affect it begin to. Fillers
 * slow down at once when a serving task nears its latency objective, and return to full pace in steps.
 */
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

/** Share of the pressure at the objective above which a serving task counts as in danger. */
const DANGER_SHARE = 0.9;

/** Share of the pressure at the objective that slowing down aims at, and up to which fillers are placed. */
const PLANNED_SHARE = 0.85;

/** How far a serving task's base pressure rises above its mean. */
const BASE_PRESSURE_SWING = 0.15;

/** Time until a change of pace shows in the measurements: the worker applies it, and they cover the last 500 ms. */
const EFFECT_MILLISECONDS = 650;

/** Longest time of a serving task over its objective before all fillers beside it are stopped. */
const LONGEST_OVER_OBJECTIVE_MILLISECONDS = 1_300;

/** Largest increase of the pace at once, in percent. */
const RETURN_STEP_PERCENT = 50;

/** Below this pace a filler is stopped: its work would not justify its memory. */
const MINIMUM_PACE_PERCENT = 15;

/** Pressure that does not affect a serving task. */
const NEGLIGIBLE_PRESSURE = 0.03;

/** Lowest weight of each filler while a serving task is over its objective, for pressure that no filler explains. */
const UNATTRIBUTED_WEIGHT = 0.3;

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
    if (
        fillers.length === 0
        || fillers.some(({ pacedAtMilliseconds }) => now - pacedAtMilliseconds < EFFECT_MILLISECONDS)
    ) {
        return [];
    }
    const inDanger = serving.filter(attempt =>
        currentPressure(attempt, model) > pressureAtObjective(attempt, model) * DANGER_SHARE
    );
    return inDanger.length > 0
        ? slowDownFillers(fillers, inDanger, capacityMillicores, model, now)
        : speedUpFillers(load, fillers, capacityMillicores, model, now);
}

/** Whether all serving tasks on a worker are expected to stay within their objectives beside an additional filler. */
export function isWithinObjectives(
    image: string,
    share: number,
    load: Readonly<WorkerLoad>,
    capacityMillicores: number,
    model: Interference,
    now: number,
): boolean {
    return load.attempts.every(attempt => {
        const { step } = attempt.task;
        if (!isServing(step)) {
            return true;
        }
        const extra = model.estimatePressure(step.image, image, share, now);
        const limit = pressureAtObjective(attempt, model);
        if (extra <= NEGLIGIBLE_PRESSURE) {
            return currentPressure(attempt, model) < limit;
        }
        if (!model.mayTry(step.image, image, now)) {
            return false;
        }
        const others = load.attempts.reduce(
            (sum, other) =>
                sum
                + model.estimatePressure(step.image, other.task.step.image, shareOf(other, capacityMillicores), now),
            0,
        );
        const planned = model.basePressure(step.image) + BASE_PRESSURE_SWING + others;
        return Math.max(planned, currentPressure(attempt, model)) + extra <= limit * PLANNED_SHARE;
    });
}

/** Whether no serving task on a worker is near its objective, and no filler on it is slowed down. */
export function hasHeadroom(load: Readonly<WorkerLoad>, model: Interference): boolean {
    return load.attempts.every(attempt =>
        isServing(attempt.task.step)
            ? currentPressure(attempt, model) < pressureAtObjective(attempt, model) * PLANNED_SHARE
            : attempt.pacePercent === 100
    );
}

/** Measured pressure of a serving task; the base pressure of its image before the first measurement. */
function currentPressure({ measurement: measure, task: { step } }: Attempt, model: Interference): number {
    return measure > 0 ? model.pressure(step.image, measure) : model.basePressure(step.image);
}

/** Pressure at which a serving task reaches its latency objective. */
function pressureAtObjective({ task: { step } }: Attempt, model: Interference): number {
    return model.pressure(step.image, step.latencyObjectiveMilliseconds);
}

/** Slows down the fillers with the highest pressure on tasks in danger, until the excess pressure is removed. */
function slowDownFillers(
    fillers: readonly Attempt[],
    inDanger: readonly Attempt[],
    capacityMillicores: number,
    model: Interference,
    now: number,
): PaceChange[] {
    const isOver = inDanger.some(attempt => currentPressure(attempt, model) >= pressureAtObjective(attempt, model));
    let excess = Math.max(
        ...inDanger.map(attempt =>
            currentPressure(attempt, model) - pressureAtObjective(attempt, model) * PLANNED_SHARE
        ),
    );
    const working = fillers.filter(({ pacePercent }) => pacePercent > 0)
        .map(attempt => {
            const share = shareOf(attempt, capacityMillicores);
            const expected = inDanger.map(({ task }) =>
                model.estimatePressure(task.step.image, attempt.task.step.image, share, now)
            );
            // Over the objective, fillers are slowed down even if the model expects no pressure from them.
            return { attempt, pressure: Math.max(...expected, excess > 0 && isOver ? share * UNATTRIBUTED_WEIGHT : 0) };
        })
        .filter(({ pressure: press }) => press > NEGLIGIBLE_PRESSURE)
        .sort((left, right) => right.pressure - left.pressure);
    const changes: PaceChange[] = [];
    for (const { attempt, pressure: press } of working) {
        if (excess <= 0) {
            break;
        }
        const remainingShare = Math.max(0, 1 - excess / press);
        const percent = Math.floor(attempt.pacePercent * remainingShare);
        excess -= press;
        changes.push({ attempt, percent: percent < MINIMUM_PACE_PERCENT ? 0 : percent });
    }
    return changes;
}

/** Speeds up the first filler that is expected to leave the serving tasks within their objectives. */
function speedUpFillers(
    load: Readonly<WorkerLoad>,
    fillers: readonly Attempt[],
    capacityMillicores: number,
    model: Interference,
    now: number,
): PaceChange[] {
    for (const attempt of fillers) {
        if (attempt.pacePercent >= 100) {
            continue;
        }
        const { image, size } = attempt.task.step;
        const percent = Math.min(100, attempt.pacePercent + RETURN_STEP_PERCENT);
        const extra = size.millicores * (percent - attempt.pacePercent) / 100 / capacityMillicores;
        if (load.servingCount === 0 || isWithinObjectives(image, extra, load, capacityMillicores, model, now)) {
            return [{ attempt, percent: load.servingCount === 0 ? 100 : percent }];
        }
    }
    return [];
}
