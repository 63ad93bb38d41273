/**
 * Pace of fillers beside tasks that serve.
 *
 * The load that this answers: a serving task's own load swings within seconds, and what was harmless beside it is not any
 * more. Fillers give way at once where a task that serves nears its objective, and come back step by step.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import { isServing } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";
import type { Interference } from "./interference.js";
import { shareOf } from "./interference.js";

/** A new pace of an attempt; at 0 it had better go on elsewhere, where it saves its progress. */
export interface PaceChange {
    readonly attempt: Attempt;
    readonly percent: number;
}

/** Share of the pressure at the objective at which a task that serves counts as in danger. */
const DANGER_SHARE = 0.9;

/** Share of it to which fillers give way, and up to which they are planned. */
const PLANNED_SHARE = 0.85;

/** How far a serving task's own pressure swings above its mean. */
const BASE_PRESSURE_SWING = 0.15;

/** A change of pace shows in the figures after the worker has applied it and half a second has passed. */
const EFFECT_MILLISECONDS = 650;

/** A task that serves stays over its objective for no longer before all fillers beside it stop. */
const LONGEST_OVER_OBJECTIVE_MILLISECONDS = 1_300;

/** Steps of the way back to full pace, in percent. */
const RETURN_STEP_PERCENT = 50;

/** A pace below this is no work worth its memory: the filler stands still instead. */
const MINIMUM_PACE_PERCENT = 15;

/** Pressure that makes no difference to a task that serves. */
const NEGLIGIBLE_PRESSURE = 0.03;

/** Pressure that cannot be put down to any filler is shared out as if each weighed this much. */
const UNATTRIBUTED_WEIGHT = 0.3;

/** Decides the fillers' paces on one worker from its latest figures. */
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
        // Whatever the model says: nothing else is left that could make room.
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

/** Whether a filler is expected to leave all tasks that serve on a worker within their objectives. */
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

/** Whether no task that serves on a worker is near its objective, and no filler there has had to give way. */
export function hasHeadroom(load: Readonly<WorkerLoad>, model: Interference): boolean {
    return load.attempts.every(attempt =>
        isServing(attempt.task.step)
            ? currentPressure(attempt, model) < pressureAtObjective(attempt, model) * PLANNED_SHARE
            : attempt.pacePercent === 100
    );
}

/** Pressure that a task shows that serves; its own image's as long as it has shown none. */
function currentPressure({ measurement: measure, task: { step } }: Attempt, model: Interference): number {
    return measure > 0 ? model.pressure(step.image, measure) : model.basePressure(step.image);
}

/** Pressure at which a task that serves reaches its objective. */
function pressureAtObjective({ task: { step } }: Attempt, model: Interference): number {
    return model.pressure(step.image, step.latencyObjectiveMilliseconds);
}

/** The fillers that press most on those in danger slow down, by as much as is too much. */
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
            // Over the objective, fillers are slowed down though none is known to press.
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

/** The one that is expected to press least comes back first. */
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
